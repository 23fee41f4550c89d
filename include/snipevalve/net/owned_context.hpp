#ifndef SNIPEVALVE_NET_OWNED_CONTEXT_HPP
#define SNIPEVALVE_NET_OWNED_CONTEXT_HPP

#include "snipevalve/net/asio.hpp"

namespace snipevalve {

/// @brief An event loop whose pending operations can be destroyed before the state that their coroutines refer to.
class OwnedContext : public asio::io_context
{
public:
    using asio::io_context::io_context;

    /// @brief Destroys all pending operations, with their coroutines. No thread may run the context any more.
    void destroyPending()
    {
        shutdown();
    }
};

} // namespace snipevalve

#endif // SNIPEVALVE_NET_OWNED_CONTEXT_HPP
