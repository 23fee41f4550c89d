#ifndef SNIPEVALVE_NET_CONNECTION_LIMITER_HPP
#define SNIPEVALVE_NET_CONNECTION_LIMITER_HPP

#include <cstddef>
#include <functional>
#include <memory>
#include <set>

#include "snipevalve/core/time.hpp"

namespace snipevalve {

class LimitedConnection;

/// @brief Limits the connections that a listener has accepted.
///
/// While there are too many, the one that has waited longest for its peer is closed, so that silent peers don't keep
/// others from connecting. Not thread-safe.
class ConnectionLimiter
{
public:
    /// @param limit largest number of open connections
    /// @param protectedTime how long a connection may wait for its peer before it can be closed for another one
    explicit ConnectionLimiter(std::size_t limit, Milliseconds protectedTime = Milliseconds(0));

    /// @brief Whether there is room for one more connection. Makes room if there is none.
    /// @return false while all connections are at work or protected
    bool makeRoom(TimePoint now);

    /// @return number of open connections
    std::size_t size() const;

private:
    friend class LimitedConnection;

    LimitedConnection *findLongestWaiting(TimePoint now) const;

    std::size_t m_limit;
    Milliseconds m_protectedTime;
    std::set<LimitedConnection *> m_connections; ///< without those that have been closed for others
};

/// @brief One connection of a ConnectionLimiter, from its construction to its destruction.
class LimitedConnection
{
public:
    /// @param close closes the connection; it then does not count any more
    LimitedConnection(std::shared_ptr<ConnectionLimiter> limiter, TimePoint now, std::function<void()> close);
    ~LimitedConnection();
    LimitedConnection(const LimitedConnection &) = delete;
    LimitedConnection &operator=(const LimitedConnection &) = delete;

    /// @brief The connection waits for its peer from now on, and may be closed for another one.
    void waitForPeer(TimePoint now);

    /// @brief The connection's request is being handled; it is not closed meanwhile.
    void work();

private:
    friend class ConnectionLimiter;

    std::shared_ptr<ConnectionLimiter> m_limiter; ///< may outlive its listener, with the coroutine of the connection
    std::function<void()> m_close;
    TimePoint m_waitsSince;
    bool m_isWorking = false;
};

} // namespace snipevalve

#endif // SNIPEVALVE_NET_CONNECTION_LIMITER_HPP
