#include "snipevalve/request/server_choice.hpp"

#include <cmath>
#include <limits>

namespace snipevalve {

namespace {

std::vector<std::size_t> fitServers(const std::vector<ServerView> &servers)
{
    std::vector<std::size_t> fit;
    for (std::size_t index = 0; index < servers.size(); ++index) {
        if (servers[index].fit) {
            fit.push_back(index);
        }
    }
    return fit;
}

std::size_t randomIndex(std::size_t count, Random &random)
{
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
}

/// The least loaded server of a random sample without replacement.
template <typename LoadOf>
std::optional<std::size_t> leastLoadedOfSample(std::vector<std::size_t> fit, std::size_t candidates, Random &random,
                                               LoadOf loadOf)
{
    std::optional<std::size_t> best;
    double bestLoad = std::numeric_limits<double>::max();
    for (std::size_t taken = 0; taken < candidates && !fit.empty(); ++taken) {
        const std::size_t at = randomIndex(fit.size(), random);
        const std::size_t server = fit[at];
        fit[at] = fit.back();
        fit.pop_back();
        const double load = loadOf(server);
        if (load < bestLoad) {
            best = server;
            bestLoad = load;
        }
    }
    return best;
}

} // namespace

std::optional<std::size_t> RandomChoice::choose(const std::vector<ServerView> &servers, Random &random, TimePoint)
{
    const std::vector<std::size_t> fit = fitServers(servers);
    return fit.empty() ? std::nullopt : std::optional(fit[randomIndex(fit.size(), random)]);
}

std::optional<std::size_t> RoundRobinChoice::choose(const std::vector<ServerView> &servers, Random &, TimePoint)
{
    const std::vector<std::size_t> fit = fitServers(servers);
    return fit.empty() ? std::nullopt : std::optional(fit[next++ % fit.size()]);
}

std::optional<std::size_t> TwoChoices::choose(const std::vector<ServerView> &servers, Random &random, TimePoint)
{
    constexpr std::size_t Two = 2;
    const auto loadOf = [&](std::size_t server) {
        return servers[server].outstanding / servers[server].concurrency;
    };
    return leastLoadedOfSample(fitServers(servers), Two, random, loadOf);
}

std::optional<std::size_t> FeedbackChoice::choose(const std::vector<ServerView> &servers, Random &random, TimePoint now)
{
    const auto loadOf = [&](std::size_t index) {
        const ServerView &server = servers[index];
        const std::chrono::duration<double, std::milli> age = now - server.reportedAt;
        const double weight = std::exp2(-age.count() / static_cast<double>(halfLife.count()));
        return (server.outstanding + weight * server.reported) / server.concurrency;
    };
    return leastLoadedOfSample(fitServers(servers), candidates, random, loadOf);
}

} // namespace snipevalve
