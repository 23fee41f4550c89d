#ifndef SNIPEVALVE_GATEWAY_SERVER_NOTICE_HPP
#define SNIPEVALVE_GATEWAY_SERVER_NOTICE_HPP

#include <optional>
#include <string>
#include <vector>

#include "snipevalve/core/time.hpp"
#include "snipevalve/gateway/server_load.hpp"

namespace snipevalve {

/// @brief What a server says of itself in the header of an answer.
struct ServerNotice
{
    bool isLeaving = false; ///< it is shutting down and takes no new requests
    Milliseconds pause{0}; ///< for how long it takes no requests from this host; zero when it asks for no pause
    std::optional<ServerLoad> load = std::nullopt; ///< empty when it says nothing of its load

    bool operator==(const ServerNotice &) const = default;
};

/// @brief A header that was ignored because its value is invalid.
struct InvalidHeader
{
    std::string name;
    std::string value;
    std::string limit; ///< what values are valid
    std::string reason;
};

/// @brief A notice, and the headers that are not part of it because they are invalid.
struct ParsedServerNotice
{
    ServerNotice notice;
    std::vector<InvalidHeader> invalid;
    bool isLoadInvalid = false; ///< `invalid` has the header that tells the load
};

} // namespace snipevalve

#endif // SNIPEVALVE_GATEWAY_SERVER_NOTICE_HPP
