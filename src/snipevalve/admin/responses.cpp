#include "snipevalve/admin/responses.hpp"

#include <sstream>

namespace snipevalve {

namespace {

using Json = nlohmann::json;

} // namespace

HttpResponse errorResponse(http::status status, const std::string &message)
{
    return jsonResponse(status, Json({{"error", message}}).dump());
}

HttpResponse storeUnavailableResponse()
{
    HttpResponse response = errorResponse(http::status::service_unavailable, "the store can't be reached");
    response.set("snipevalve-outcome", "not-run");
    return response;
}

Json resourceJson(const std::string &document, std::uint64_t revision)
{
    Json json = Json::parse(document, nullptr, false);
    json["revision"] = revision;
    return json;
}

HttpResponse changeResponse(const ChangeResult &result, bool isNew)
{
    Json json = {{"revision", result.revision}};
    if (!result.message.empty()) {
        json["error"] = result.message;
    }
    http::status status = isNew ? http::status::created : http::status::ok;
    std::string outcome = "answered";
    if (result.outcome == ChangeOutcome::Conflict) {
        status = http::status::conflict;
        outcome = "not-run";
    } else if (result.outcome == ChangeOutcome::Invalid) {
        status = http::status::unprocessable_entity;
        outcome = "not-run";
        json["error"] = "the resource has findings";
        for (const Finding &finding : result.findings.all()) {
            json["findings"].push_back({{"place", finding.place}, {"message", finding.message}});
        }
    } else if (result.outcome == ChangeOutcome::NotRun) {
        status = http::status::service_unavailable;
        outcome = "not-run";
    } else if (result.outcome == ChangeOutcome::Unknown) {
        status = http::status::gateway_timeout;
        outcome = "unknown";
    }
    HttpResponse response = jsonResponse(status, json.dump());
    response.set("snipevalve-outcome", outcome);
    return response;
}

HttpResponse invalidDocumentResponse(const absl::Status &status)
{
    Json json = {{"error", "the document has findings"}, {"findings", Json::array()}};
    std::istringstream lines{std::string(status.message())};
    for (std::string line; std::getline(lines, line);) {
        const auto colon = line.find(": ");
        const std::string message = colon == std::string::npos ? "" : line.substr(colon + 2);
        json["findings"].push_back({{"place", line.substr(0, colon)}, {"message", message}});
    }
    HttpResponse response = jsonResponse(http::status::unprocessable_entity, json.dump());
    response.set("snipevalve-outcome", "not-run");
    return response;
}

} // namespace snipevalve
