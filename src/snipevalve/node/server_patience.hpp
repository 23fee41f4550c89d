#ifndef SNIPEVALVE_NODE_SERVER_PATIENCE_HPP
#define SNIPEVALVE_NODE_SERVER_PATIENCE_HPP

#include "snipevalve/core/time.hpp"

namespace snipevalve {

/// @brief How long a server is waited for while the request could still be sent elsewhere.
///
/// Answers the load pattern "the owners of busy keys are slow for a moment": a keyed request that was given up began
/// anew at the same owner, which had to do the work twice.
/// @param expected time of the send
/// @param left until the caller has its final answer
/// @param isKeyed whether no other server may run the request
Duration attemptTimeout(Duration expected, Duration left, bool isKeyed);

} // namespace snipevalve

#endif // SNIPEVALVE_NODE_SERVER_PATIENCE_HPP
