#include "snipevalve/net/connection_limiter.hpp"

namespace snipevalve {

ConnectionLimiter::ConnectionLimiter(std::size_t limit, Milliseconds protectedTime)
    : m_limit(limit)
    , m_protectedTime(protectedTime)
{
}

bool ConnectionLimiter::makeRoom(TimePoint now)
{
    while (m_connections.size() >= m_limit) {
        LimitedConnection *longest = findLongestWaiting(now);
        if (longest == nullptr) {
            return false;
        }
        m_connections.erase(longest);
        longest->m_close();
    }
    return true;
}

std::size_t ConnectionLimiter::size() const
{
    return m_connections.size();
}

LimitedConnection *ConnectionLimiter::findLongestWaiting(TimePoint now) const
{
    LimitedConnection *longest = nullptr;
    for (LimitedConnection *connection : m_connections) {
        const bool mayClose = !connection->m_isWorking && now - connection->m_waitsSince >= m_protectedTime;
        if (mayClose && (longest == nullptr || connection->m_waitsSince < longest->m_waitsSince)) {
            longest = connection;
        }
    }
    return longest;
}

LimitedConnection::LimitedConnection(std::shared_ptr<ConnectionLimiter> limiter, TimePoint now,
                                     std::function<void()> close)
    : m_limiter(std::move(limiter))
    , m_close(std::move(close))
    , m_waitsSince(now)
{
    m_limiter->m_connections.insert(this);
}

LimitedConnection::~LimitedConnection()
{
    m_limiter->m_connections.erase(this);
}

void LimitedConnection::waitForPeer(TimePoint now)
{
    m_isWorking = false;
    m_waitsSince = now;
}

void LimitedConnection::work()
{
    m_isWorking = true;
}

} // namespace snipevalve
