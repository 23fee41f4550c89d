#ifndef SNIPEVALVE_MODEL_LOAD_HPP
#define SNIPEVALVE_MODEL_LOAD_HPP

#include <cstdint>
#include <string>
#include <vector>

#include "snipevalve/dispatch/service_times.hpp"

namespace snipevalve::model {

/// @brief One kind of request to the service that is modelled.
struct RequestClass
{
    std::string name;
    double arrivalsPerSecond = 100;
    Seconds meanWork{0.1}; ///< on a server of usual speed
    double workLogDeviation = 0.3; ///< standard deviation of the work's logarithm
    Seconds target{0.5};
    Seconds deadline{3.0};
    double worth = 1.0; ///< of an answer within the target
    double lateWorth = 0.3; ///< of a later one
    int priority = 0;
    int maxRetries = 2; ///< of the caller, after a refusal
};

/// @brief A time in which the load or the servers differ from the rest.
struct Disturbance
{
    Seconds from{0};
    Seconds until{0};
    double arrivalFactor = 1.0; ///< times as many requests
    double slowServerShare = 0; ///< this share of the servers ...
    double slowdownFactor = 1.0; ///< ... takes this many times as long
    double refusalRate = 0; ///< servers refuse this share of the requests without running them
};

/// @brief What is played: servers, hosts, callers.
struct Load
{
    std::string name;
    std::vector<RequestClass> classes;
    std::vector<double> serverSpeeds; ///< one entry a server
    unsigned slotsPerServer = 2; ///< of each server
    unsigned serverQueueCapacity = 8; ///< a server that gets more than slots and queue never answers that request
    unsigned hosts = 11;
    Seconds linkDelay{0.0014}; ///< one way, between two hosts or to a server
    Seconds duration{30};
    std::vector<Disturbance> disturbances;
    std::uint64_t seed = 1;
};

/// @brief What came out, for one class or for all.
struct RequestStats
{
    std::uint64_t requests = 0;
    std::uint64_t inTarget = 0;
    std::uint64_t late = 0;
    std::uint64_t refused = 0; ///< the caller got no answer in all its tries, and nothing ran
    std::uint64_t failed = 0; ///< no answer, but a server had the request
    double worth = 0; ///< earned / owed
    Seconds median{0};
    Seconds p99{0};
};

/// @brief The result of one play.
struct Report
{
    RequestStats all;
    std::vector<RequestStats> byClass; ///< in the order of the load's classes
    std::uint64_t serverOverflows = 0; ///< requests that met a full server
    double maxToMeanLoad = 0; ///< requests served by the busiest server over the mean, weighed by speed
    double worthBound = 0; ///< what no scheduler of these slots can pass, for the offered work; see docs/EXPERIMENTS.md
};

} // namespace snipevalve::model

#endif // SNIPEVALVE_MODEL_LOAD_HPP
