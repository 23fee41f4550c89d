#ifndef SNIPEVALVE_NODE_CONTROL_PLATFORM_API_HPP
#define SNIPEVALVE_NODE_CONTROL_PLATFORM_API_HPP

#include <concepts>
#include <memory>
#include <optional>
#include <string>

#include "snipevalve/gateway/gateway_config.hpp"
#include "snipevalve/gateway/server_entry.hpp"
#include "snipevalve/gateway/server_notice.hpp"
#include "snipevalve/gateway/upstream_server.hpp"
#include "snipevalve/net/http_client.hpp"
#include "snipevalve/ownership/key_authority.hpp"
#include "snipevalve/store/config_store.hpp"

namespace snipevalve {

/// @brief Requirements on a platform: its store, the formats of its documents, and its calls to servers.
template <typename Platform>
concept PlatformApi = requires(std::string_view text, const GrantKeys &grant, const ReleaseKeys &release,
                               const absl::StatusOr<HttpReply> &reply, const http::response_header<> &header)
{
    requires ConfigStore<typename Platform::Store>;
    {
        Platform::configKey()
        } -> std::convertible_to<std::string>;
    {
        Platform::operatorPrefix() // of the configuration's key and those that ask for an evacuation
        } -> std::convertible_to<std::string>;
    {
        Platform::evacuatedZone(text) // nothing for other keys
        } -> std::same_as<std::optional<std::string>>;
    {
        Platform::serversPrefix()
        } -> std::convertible_to<std::string>;
    {
        Platform::parseConfig(text)
        } -> std::same_as<absl::StatusOr<ParsedConfig>>;
    {
        Platform::parseServer(text, text)
        } -> std::same_as<absl::StatusOr<ServerEntry>>;
    {
        Platform::parseServerNotice(header)
        } -> std::same_as<ParsedServerNotice>;
    {
        Platform::toCall(grant)
        } -> std::same_as<HttpCall>;
    {
        Platform::toCall(release)
        } -> std::same_as<HttpCall>;
    {
        Platform::toCallOutcome(reply)
        } -> std::same_as<KeyCallOutcome>;
    {
        Platform::handoverOf(*reply)
        } -> std::same_as<std::string>;
};

} // namespace snipevalve

#endif // SNIPEVALVE_NODE_CONTROL_PLATFORM_API_HPP
