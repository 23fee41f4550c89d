#ifndef SNIPEVALVE_NET_SPAWN_HPP
#define SNIPEVALVE_NET_SPAWN_HPP

#include <memory>

#include "snipevalve/net/asio.hpp"
#include "snipevalve/net/log_failure.hpp"

namespace snipevalve {

/// @brief Starts a coroutine that is a member function of a shared object, and keeps the object alive until it ends.
///
/// The executor runs the start of the coroutine later. A reference that the coroutine itself takes at its start would
/// be too late: the object may have been destroyed before.
template <typename Object, typename Executor, typename... Parameters, typename... Arguments>
void spawnMember(const Executor &executor, std::shared_ptr<Object> object,
                 Awaitable<void> (Object::*member)(Parameters...), Arguments... arguments)
{
    asio::co_spawn(
        executor,
        [object = std::move(object), member, ... arguments = std::move(arguments)]() mutable {
            return ((*object).*member)(std::move(arguments)...);
        },
        LogFailure("part"));
}

} // namespace snipevalve

#endif // SNIPEVALVE_NET_SPAWN_HPP
