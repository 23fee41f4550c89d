#ifndef SNIPEVALVE_ADMIN_RESPONSES_HPP
#define SNIPEVALVE_ADMIN_RESPONSES_HPP

#include <string>

#include <absl/status/status.h>
#include <nlohmann/json.hpp>

#include "snipevalve/admin/resource_service.hpp"
#include "snipevalve/net/http_server.hpp"

namespace snipevalve {

/// @brief A response with the body `{"error": message}`.
HttpResponse errorResponse(http::status status, const std::string &message);

/// @brief 503 with the outcome `not-run`, for a store that can't be reached.
HttpResponse storeUnavailableResponse();

/// @brief The resource document with its revision added.
nlohmann::json resourceJson(const std::string &document, std::uint64_t revision);

/// @brief The response to a change; status and `snipevalve-outcome` header follow from its outcome.
/// @param isNew whether the change created the resource
HttpResponse changeResponse(const ChangeResult &result, bool isNew);

/// @brief 422 with the findings of a document that parseResource() rejected.
HttpResponse invalidDocumentResponse(const absl::Status &status);

} // namespace snipevalve

#endif // SNIPEVALVE_ADMIN_RESPONSES_HPP
