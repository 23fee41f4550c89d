#ifndef SNIPEVALVE_NET_SPAWN_HPP
#define SNIPEVALVE_NET_SPAWN_HPP

#include <memory>

#include "snipevalve/net/asio.hpp"
#include "snipevalve/net/log_failure.hpp"

namespace snipevalve {

/// @brief Starts a member coroutine of a shared object, and keeps the object until it has ended.
///
/// A coroutine starts only when its executor gets to it. One that takes its own reference at its start may find that
/// the object has gone by then.
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
