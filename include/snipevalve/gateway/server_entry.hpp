#ifndef SNIPEVALVE_GATEWAY_SERVER_ENTRY_HPP
#define SNIPEVALVE_GATEWAY_SERVER_ENTRY_HPP

#include <cstdint>

#include "snipevalve/gateway/upstream_server.hpp"

namespace snipevalve {

/// @brief What a server says of itself in its entry in the store.
struct ServerEntry
{
    UpstreamServer server;
    std::int64_t heartbeat = 0; ///< counts up in each incarnation; orders its entries
};

} // namespace snipevalve

#endif // SNIPEVALVE_GATEWAY_SERVER_ENTRY_HPP
