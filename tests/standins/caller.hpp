#ifndef SNIPEVALVE_STANDINS_CALLER_HPP
#define SNIPEVALVE_STANDINS_CALLER_HPP

#include <atomic>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "snipevalve/core/time.hpp"
#include "snipevalve/net/endpoint.hpp"
#include "standins/deployment_file.hpp"

namespace snipevalve::standins {

/// @brief How a request ended, as its caller saw it.
enum class CallEnd {
    Answered, ///< whole, and the caller's own
    NotRun, ///< refused as not run
    Unknown, ///< told that it may have run
    Lost, ///< no whole answer came
    Wrong, ///< another caller's answer, or one that claims to be whole and is not
};

struct CallRecord
{
    std::string id;
    std::string service;
    std::string method;
    std::string key;
    CallEnd end = CallEnd::Lost;
    std::string detail; ///< what is wrong, or the reason that the entry gave
    std::string server;
    TimePoint sentAt;
    TimePoint endedAt;
};

struct CallerOptions
{
    std::vector<Endpoint> entries; ///< the entry hosts for callers
    std::vector<Endpoint> readiness; ///< their readiness pages, in the same order
    std::vector<MixPart> mix;
    unsigned workers = 16;
    double rate = 0; ///< requests a second of all workers together; 0: each sends the next one at once
    std::uint64_t seed = 1;
    Milliseconds deadline{10'000};
    double zipf = 0; ///< skew of the keys; 0: even
};

/// @brief Callers behind a balancer: sends a mix through ready entry hosts on kept connections, records each end.
class Caller
{
public:
    explicit Caller(CallerOptions options);
    ~Caller();

    void start();

    /// @brief Lets the requests in flight end, then stops.
    void stop();

    /// @brief The requests that have ended so far.
    std::vector<CallRecord> records() const;

private:
    struct Connection;

    Awaitable<void> runWorker(unsigned worker);
    Awaitable<void> pollReadiness();
    Awaitable<CallRecord> sendRequest(Connection &connection, std::mt19937_64 &random, const std::string &id);
    Awaitable<bool> connect(Connection &connection, std::mt19937_64 &random);
    const MixPart &pickMixPart(std::mt19937_64 &random) const;
    std::string pickKey(const MixPart &part, std::mt19937_64 &random);

    CallerOptions m_options;
    asio::io_context m_context{1};
    std::thread m_thread;
    std::vector<bool> m_ready;
    std::vector<double> m_zipfCumulativeWeights;
    std::atomic<bool> m_stopping = false;
    std::atomic<unsigned> m_activeWorkers = 0;
    mutable std::mutex m_mutex;
    std::vector<CallRecord> m_records;
};

} // namespace snipevalve::standins

#endif // SNIPEVALVE_STANDINS_CALLER_HPP
