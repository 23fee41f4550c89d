#ifndef SNIPEVALVE_STANDINS_LOAD_GENERATOR_HPP
#define SNIPEVALVE_STANDINS_LOAD_GENERATOR_HPP

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

/// @brief The outcome of a request as its caller saw it.
enum class CallEnd {
    Answered, ///< a complete answer to this request
    NotRun, ///< refused; the server did not run the request
    Unknown, ///< failed; the server may have run the request
    Lost, ///< no complete answer arrived
    Wrong, ///< the answer to another request, or one reported as complete that is damaged
};

/// @brief One request that has ended, as its caller saw it.
struct CallRecord
{
    std::string id;
    std::string service;
    std::string method;
    std::string key;
    CallEnd end = CallEnd::Lost;
    std::string detail; ///< the fault of the answer, the connection error, or the reason that the entry gave
    std::string server; ///< the server that the entry named in its answer
    TimePoint sentAt;
    TimePoint endedAt;
};

/// @brief The load to generate and the entry hosts to send it to.
struct LoadGeneratorOptions
{
    std::vector<Endpoint> entries; ///< traffic endpoints of the entry hosts
    std::vector<Endpoint> readiness; ///< endpoints of `/ready`, in the same order; empty: all hosts are ready
    std::vector<MixPart> mix;
    unsigned workers = 16; ///< concurrent callers, each with one request at a time
    double rate = 0; ///< requests a second of all workers together; 0: each worker sends back to back
    std::uint64_t seed = 1; ///< seeds the choice of requests and is part of the request ids
    Milliseconds deadline{10'000}; ///< sent with each request; a worker gives up 5 s after it
    double zipf = 0; ///< exponent of the Zipf distribution of the keys; 0: uniform
};

/// @brief Generates load as callers behind a load balancer do, and records the outcome of each request.
///
/// Each worker sends a random mix of requests over a keep-alive connection to a ready entry host. All workers share one
/// thread.
class LoadGenerator
{
public:
    explicit LoadGenerator(LoadGeneratorOptions options);
    ~LoadGenerator();

    /// @brief Starts the workers on a thread of their own.
    void start();

    /// @brief Waits until the requests in flight have ended, then stops the thread.
    void stop();

    /// @return the requests that have ended so far
    std::vector<CallRecord> records() const;

private:
    struct Connection;

    Awaitable<void> runWorker(unsigned worker);
    Awaitable<void> pollReadiness();
    Awaitable<CallRecord> sendRequest(Connection &connection, std::mt19937_64 &random, const std::string &id);
    Awaitable<bool> connect(Connection &connection, std::mt19937_64 &random);
    const MixPart &pickMixPart(std::mt19937_64 &random) const;
    std::string pickKey(const MixPart &part, std::mt19937_64 &random);

    LoadGeneratorOptions m_options;
    asio::io_context m_context{1};
    std::thread m_thread;
    std::vector<bool> m_ready; ///< by entry host
    std::vector<double> m_zipfCumulativeWeights; ///< by key; empty when keys are uniform
    std::atomic<bool> m_stopping = false;
    std::atomic<unsigned> m_activeWorkers = 0;
    mutable std::mutex m_mutex;
    std::vector<CallRecord> m_records;
};

} // namespace snipevalve::standins

#endif // SNIPEVALVE_STANDINS_LOAD_GENERATOR_HPP
