#ifndef SNIPEVALVE_NODE_HEADER_NAMES_HPP
#define SNIPEVALVE_NODE_HEADER_NAMES_HPP

#include <string>

namespace snipevalve {

/// @brief The names of the headers that an installation's callers and servers use.
struct HeaderNames
{
    std::string requestId; ///< names one attempt of a caller; servers echo it
    std::string deadline; ///< ms that the sender will wait
    std::string expectedServer; ///< the id of the server that alone may run the request
    std::string serverId; ///< the id of the server that answers
    std::string notExecuted; ///< present when a server refused the request without running it
    std::string stamp; ///< the server's mark on an answer of its own
    std::string key; ///< the request's key, for keyed services
};

} // namespace snipevalve

#endif // SNIPEVALVE_NODE_HEADER_NAMES_HPP
