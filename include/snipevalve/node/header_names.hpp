#ifndef SNIPEVALVE_NODE_HEADER_NAMES_HPP
#define SNIPEVALVE_NODE_HEADER_NAMES_HPP

#include <string>

namespace snipevalve {

/// @brief Names of the HTTP headers that callers and servers of an installation use.
struct HeaderNames
{
    std::string requestId; ///< id of one attempt of a caller; servers echo it in the answer
    std::string deadline; ///< milliseconds that the sender will wait for the answer
    std::string expectedServer; ///< id of the only server that may run the request
    std::string serverId; ///< id of the server that answers
    std::string notExecuted; ///< present when the server refused the request without running it
    std::string stamp; ///< present on answers that the server itself produced
    std::string key; ///< key of the request; used by keyed services only
};

} // namespace snipevalve

#endif // SNIPEVALVE_NODE_HEADER_NAMES_HPP
