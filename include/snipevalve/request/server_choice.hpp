#ifndef SNIPEVALVE_REQUEST_SERVER_CHOICE_HPP
#define SNIPEVALVE_REQUEST_SERVER_CHOICE_HPP

#include <concepts>
#include <cstdint>
#include <optional>
#include <random>
#include <vector>

#include "snipevalve/core/time.hpp"

namespace snipevalve {

/// @brief A server of a pool as this host sees it.
struct ServerView
{
    bool fit = true; ///< neither draining nor ejected
    double outstanding = 0; ///< requests of this host at the server or waiting for it
    double reported = 0; ///< requests at the server from all hosts, from its last answer
    TimePoint reportedAt;
    double concurrency = 1;
};

using Random = std::mt19937_64;

/// @brief A policy that chooses a server of a pool.
template <typename Policy>
concept ChoicePolicy = requires(Policy policy, const std::vector<ServerView> &servers, Random &random, TimePoint now)
{
    {
        policy.choose(servers, random, now)
        } -> std::same_as<std::optional<std::size_t>>;
};

/// @brief A fit server at random, uniformly.
struct RandomChoice
{
    std::optional<std::size_t> choose(const std::vector<ServerView> &servers, Random &random, TimePoint now);
};

/// @brief Each fit server in turn.
struct RoundRobinChoice
{
    std::optional<std::size_t> choose(const std::vector<ServerView> &servers, Random &random, TimePoint now);

    std::size_t next = 0;
};

/// @brief The less loaded of two random servers, counting this host's own requests (Mitzenmacher, 2001).
struct TwoChoices
{
    std::optional<std::size_t> choose(const std::vector<ServerView> &servers, Random &random, TimePoint now);
};

/// @brief The least loaded of several random servers, by the load in their latest answers plus this host's own
/// requests.
///
/// A report loses weight as it ages, because other hosts keep sending requests (compare Prequal, NSDI 2024).
struct FeedbackChoice
{
    std::optional<std::size_t> choose(const std::vector<ServerView> &servers, Random &random, TimePoint now);

    std::size_t candidates = 3;
    Milliseconds halfLife{50};
};

} // namespace snipevalve

#endif // SNIPEVALVE_REQUEST_SERVER_CHOICE_HPP
