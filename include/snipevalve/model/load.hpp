#ifndef SNIPEVALVE_MODEL_LOAD_HPP
#define SNIPEVALVE_MODEL_LOAD_HPP

#include <cstdint>
#include <string>
#include <vector>

#include "snipevalve/dispatch/service_times.hpp"

namespace snipevalve::model {

/// @brief A class of requests to the simulated service.
struct RequestClass
{
    std::string name;
    double arrivalsPerSecond = 100;
    Seconds meanWork{0.1}; ///< mean service time on a server of speed 1
    double workLogDeviation = 0.3; ///< standard deviation of the logarithm of the service time
    Seconds target{0.5}; ///< latency up to which a response counts as in time
    Seconds deadline{3.0}; ///< latency beyond which a response counts as failed
    double worth = 1.0; ///< value of a response within the target
    double lateWorth = 0.3; ///< value of a response after the target but within the deadline
    int priority = 0;
    int maxRetries = 2; ///< retries by the caller after a refusal
};

/// @brief A period in which the load or the servers deviate from normal.
struct Disturbance
{
    Seconds from{0};
    Seconds until{0};
    double arrivalFactor = 1.0; ///< multiplies the arrival rate
    double slowServerShare = 0; ///< share of the servers that are slow
    double slowdownFactor = 1.0; ///< multiplies the service time of the slow servers
    double refusalRate = 0; ///< share of the requests that servers refuse without running them
};

/// @brief The input of a simulation: the servers, the hosts and the requests of the callers.
struct Load
{
    std::string name;
    std::vector<RequestClass> classes;
    std::vector<double> serverSpeeds; ///< one entry for each server; 1 is the usual speed
    unsigned slotsPerServer = 2; ///< requests that a server runs at a time
    /// Requests that wait inside a server. A request that arrives when the slots and this queue are full is never
    /// answered.
    unsigned serverQueueCapacity = 8;
    unsigned hosts = 11;
    Seconds linkDelay{0.0014}; ///< one-way delay between two hosts, or between a host and a server
    Seconds duration{30}; ///< time during which requests arrive
    std::vector<Disturbance> disturbances;
    std::uint64_t seed = 1;
};

/// @brief The results of one request class, or of all classes together.
struct RequestStats
{
    std::uint64_t requests = 0; ///< requests that arrived, without their retries
    std::uint64_t inTarget = 0; ///< answered within the target
    std::uint64_t late = 0; ///< answered after the target but within the deadline
    std::uint64_t refused = 0; ///< every attempt was refused, and no server ran the request
    std::uint64_t failed = 0; ///< no response within the deadline although a server had accepted the request
    double worth = 0; ///< worth achieved over the worth if every request had been answered within its target
    Seconds median{0}; ///< latency of the answered requests
    Seconds p99{0}; ///< latency of the answered requests
};

/// @brief The result of one simulation.
struct Report
{
    RequestStats all;
    std::vector<RequestStats> byClass; ///< in the order of the load's classes
    std::uint64_t serverOverflows = 0; ///< requests that reached a server whose slots and queue were full
    double maxToMeanLoad = 0; ///< requests served by the busiest server over the mean, both relative to server speed
    double worthBound = 0; ///< upper bound on the worth that any scheduler can reach with these slots and requests; see
                           ///< docs/EXPERIMENTS.md
};

} // namespace snipevalve::model

#endif // SNIPEVALVE_MODEL_LOAD_HPP
