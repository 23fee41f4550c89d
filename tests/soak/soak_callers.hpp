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
/// All callers run on one thread, which this class owns. Request ids are unique within a run.
class SoakCallers
{
public:
    SoakCallers(std::vector<Endpoint> nodes, unsigned connectionsPerNode, std::uint64_t seed);
    ~SoakCallers();

    void start();

    /// @brief Sets the newest configuration version; it keeps the routes of all earlier versions.
    void setVersion(std::uint64_t version);

    /// @brief Counts the completed requests that were sent at or after `since`.
    /// @return their number, and how many of them were served
    std::pair<std::size_t, std::size_t> servedSince(TimePoint since) const;

    /// @return the processor time that the callers' thread has used
    Milliseconds processorTime();

    /// @brief Stops the traffic.
    /// @return the records of all requests
    std::vector<CallerRecord> stop();

private:
    /// The next request of one caller, with the record to complete.
    struct PreparedRequest
    {
        CallerRecord record;
        std::string bytes; ///< the serialized request
        std::size_t firstPart = 0; ///< how many of the bytes are sent before a pause; 0 for all
        std::size_t answerBytes = 0; ///< expected after the text of the answer
    };

    Awaitable<void> call(std::size_t node, Milliseconds maxPause);
    Awaitable<void> sendOne(beast::tcp_stream &stream, PreparedRequest &prepared);
    Awaitable<void> write(beast::tcp_stream &stream, const PreparedRequest &prepared, ErrorCode &error);
    PreparedRequest prepareRequest(std::size_t node);
    void addRecord(CallerRecord record);

    std::vector<Endpoint> m_nodes;
    unsigned m_connectionsPerNode;
    std::mt19937_64 m_random;
    std::string m_idPrefix; ///< prefix of all request ids of this run
    std::uint64_t m_lastId = 0;
    std::atomic<std::uint64_t> m_configVersion = 0;
    std::atomic<bool> m_stopping = false;
    mutable std::mutex m_mutex;
    std::vector<CallerRecord> m_records;
    asio::io_context m_context{1};
    std::thread m_thread;
};

} // namespace snipevalve::soak

#endif // SNIPEVALVE_SOAK_SOAK_CALLERS_HPP
