#ifndef SNIPEVALVE_ADMIN_RESPONSES_HPP
#define SNIPEVALVE_ADMIN_RESPONSES_HPP

#include <string>

#include <absl/status/status.h>
#include <nlohmann/json.hpp>

#include "snipevalve/admin/resource_service.hpp"
#include "snipevalve/net/http_server.hpp"

namespace snipevalve {

/// @brief An answer with `{"error": message}`.
HttpResponse errorResponse(http::status status, const std::string &message);

/// @brief 503 and the outcome `not-run`: the store can't be reached.
HttpResponse storeUnavailableResponse();

/// @brief A resource document with its revision.
nlohmann::json resourceJson(const std::string &document, std::uint64_t revision);

/// @brief The answer to a change, with its outcome.
/// @param isNew whether the change created the resource
HttpResponse changeResponse(const ChangeResult &result, bool isNew);

/// @brief 422 with the findings of a document that parseResource() refused.
HttpResponse invalidDocumentResponse(const absl::Status &status);

} // namespace snipevalve

#endif // SNIPEVALVE_ADMIN_RESPONSES_HPP
