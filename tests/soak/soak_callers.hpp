#ifndef SNIPEVALVE_SOAK_SOAK_CALLERS_HPP
#define SNIPEVALVE_SOAK_SOAK_CALLERS_HPP

#include <atomic>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "snipevalve/net/asio.hpp"
#include "snipevalve/net/endpoint.hpp"
#include "soak/records.hpp"

namespace snipevalve::soak {

/// @brief Callers that keep connections to all nodes and use them until the node closes them.
///
/// All run on one thread of their own. Each request has an id that no other one of the run has.
class SoakCallers
{
public:
    SoakCallers(std::vector<Endpoint> nodes, unsigned connectionsPerNode, std::uint64_t seed);
    ~SoakCallers();

    void start();

    /// @brief The newest version of the configuration, which has a route for each earlier one too.
    void setVersion(std::uint64_t version);

    /// @brief Requests that have ended so far and were sent after this time, and how many of them were served.
    std::pair<std::size_t, std::size_t> servedSince(TimePoint since) const;

    /// @brief Ends the traffic. @return all requests
    std::vector<CallerRecord> stop();

private:
    /// What one caller wants next.
    struct Wish
    {
        CallerRecord record;
        std::string bytes; ///< the whole request
    };

    Awaitable<void> call(std::size_t node);
    Awaitable<void> sendOne(beast::tcp_stream &stream, CallerRecord &record, const std::string &bytes);
    Wish nextWish(std::size_t node);
    void keep(CallerRecord record);

    std::vector<Endpoint> m_nodes;
    unsigned m_connectionsPerNode;
    std::mt19937_64 m_random;
    std::string m_run; ///< begins all ids of this run
    std::uint64_t m_lastId = 0;
    std::atomic<std::uint64_t> m_version = 0;
    std::atomic<bool> m_stopping = false;
    mutable std::mutex m_mutex;
    std::vector<CallerRecord> m_records;
    asio::io_context m_context{1};
    std::thread m_thread;
};

} // namespace snipevalve::soak

#endif // SNIPEVALVE_SOAK_SOAK_CALLERS_HPP
