#ifndef SNIPEVALVE_NODE_ATTEMPT_TIMEOUT_HPP
#define SNIPEVALVE_NODE_ATTEMPT_TIMEOUT_HPP

#include "snipevalve/core/time.hpp"

namespace snipevalve {

/// @brief The timeout of one attempt at one server, for a request that may be sent again.
///
/// Keyed requests get a longer one: only the owner of the key may run them, so a retry after a timeout goes to the same
/// server, which then does the work twice. This happened when the owners of busy keys were slow for a moment.
/// @param expected expected duration of the attempt
/// @param left time until the caller must have its final answer
/// @param isKeyed whether only the owner of the key may run the request
/// @return how long to wait for the server's answer
Duration attemptTimeout(Duration expected, Duration left, bool isKeyed);

} // namespace snipevalve

#endif // SNIPEVALVE_NODE_ATTEMPT_TIMEOUT_HPP
