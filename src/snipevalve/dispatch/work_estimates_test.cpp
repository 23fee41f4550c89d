#include <catch2/catch.hpp>

#include <random>

#include "snipevalve/dispatch/work_estimates.hpp"

namespace snipevalve {

namespace {

using Refinement = WorkEstimates::Refinement;

/// Draws requests of one class, some of which cost 20 times as much as the others.
class Load
{
public:
    /// @param costOf the mean work in seconds of a request
    Load(std::uint64_t seed, std::function<double(const WorkTraits &)> costOf)
        : m_random(seed)
        , m_costOf(std::move(costOf))
    {
    }

    WorkTraits draw(unsigned keys)
    {
        WorkTraits traits;
        traits.workClass = 1;
        traits.key = static_cast<std::uint16_t>(m_random() % keys);
        traits.bodyBytes = static_cast<std::uint32_t>(1'000 + m_random() % 100'000);
        return traits;
    }

    Seconds workOf(const WorkTraits &traits)
    {
        return Seconds(m_costOf(traits) * std::lognormal_distribution<double>(-0.045, 0.3)(m_random));
    }

    /// @param spread how much the servers' slownesses differ from their mean
    /// @return the mean factor, up or down, by which the estimates differ from the real work
    double feed(WorkEstimates &estimates, int requests, unsigned keys, double spread = 0.0)
    {
        double logErrors = 0;
        for (int request = 0; request < requests; ++request) {
            const double slowness = request % 2 == 0 ? 1.0 - spread : 1.0 + spread;
            const WorkTraits traits = draw(keys);
            const Seconds work = workOf(traits);
            logErrors += std::abs(std::log(work / estimates.expected(traits)));
            estimates.observe(traits, std::chrono::duration_cast<Duration>(work * slowness), Slowness(slowness));
        }
        return std::exp(logErrors / requests);
    }

private:
    std::mt19937_64 m_random;
    std::function<double(const WorkTraits &)> m_costOf;
};

double costByKey(const WorkTraits &traits)
{
    return *traits.key % 5 == 0 ? 0.4 : 0.02;
}

double costBySize(const WorkTraits &traits)
{
    return traits.bodyBytes * 5e-6;
}

Refinement refinementOf(const WorkEstimates &estimates)
{
    return estimates.summaries().front().refinement;
}

} // namespace

TEST_CASE("the work of a request is learned by what explains it: the key, the body's size or nothing")
{
    struct Case
    {
        std::string name;
        std::function<double(const WorkTraits &)> costOf;
        Refinement refinement;
        double mostError; ///< mean factor between estimate and work
    };
    const std::vector<Case> cases = {
        {"key", costByKey, Refinement::Key, 1.4},
        {"body size", costBySize, Refinement::BodySize, 1.4},
        {"noise only",
         [](const WorkTraits &) {
             return 0.1;
         },
         Refinement::None, 1.4},
    };
    for (const Case &each : cases) {
        for (const double spread : {0.0, 0.6}) {
            INFO(each.name << ", spread " << spread);
            Load load(5, each.costOf);
            WorkEstimates estimates;
            load.feed(estimates, 3'000, 100, spread);
            CHECK(refinementOf(estimates) == each.refinement);
            CHECK(load.feed(estimates, 1'000, 100, spread) < each.mostError);
            CHECK(estimates.areAlike() == (each.refinement == Refinement::None));
        }
    }
}

TEST_CASE("where nothing explains the differences, the estimate is the mean of the class")
{
    Load load(9, [](const WorkTraits &) {
        return 0.1;
    });
    WorkEstimates estimates;
    for (int round = 0; round < 50; ++round) {
        load.feed(estimates, 200, 40);
        for (std::uint16_t key = 0; key < 40; ++key) {
            CHECK(estimates.expected({1, key, 5'000}) == estimates.mean(1));
        }
    }
    CHECK(estimates.expected({2, 7, 0}) == Seconds(0.1)); // nothing is known of the class
}

TEST_CASE("a key without enough requests of its own gets the mean of the class")
{
    Load load(2, costByKey);
    WorkEstimates estimates;
    load.feed(estimates, 2'000, 50);
    REQUIRE(refinementOf(estimates) == Refinement::Key);
    const WorkTraits rare{1, 777, 0};
    CHECK(estimates.expected(rare) == estimates.mean(1));
    estimates.observe(rare, Milliseconds(400), Slowness());
    estimates.observe(rare, Milliseconds(400), Slowness());
    CHECK(estimates.expected(rare) == estimates.mean(1));
    estimates.observe(rare, Milliseconds(400), Slowness());
    CHECK(estimates.expected(rare) > 2 * estimates.mean(1));
}

TEST_CASE("a kind whose cost changes is estimated anew, within twenty requests of its key")
{
    double heavy = 0.4;
    Load load(3, [&heavy](const WorkTraits &traits) {
        return *traits.key % 5 == 0 ? heavy : 0.02;
    });
    WorkEstimates estimates;
    load.feed(estimates, 3'000, 50);
    REQUIRE(estimates.expected({1, 10, 0}) > 6 * estimates.expected({1, 11, 0}));
    heavy = 0.02; // all alike now
    load.feed(estimates, 1'000, 50); // 20 of each key
    CHECK(estimates.expected({1, 10, 0}) < 2 * estimates.expected({1, 11, 0}));
    heavy = 0.4;
    load.feed(estimates, 1'000, 50);
    CHECK(estimates.expected({1, 10, 0}) > 6 * estimates.expected({1, 11, 0}));
}

TEST_CASE("estimates deviate from the mean by bounded factors, and refusals bring them back to it")
{
    WorkEstimates estimates;
    for (int request = 0; request < 2'000; ++request) {
        const bool isHeavy = request % 20 == 0;
        const std::uint16_t key = isHeavy ? 1 : 2;
        estimates.observe({1, key, 0}, isHeavy ? Milliseconds(2'000) : Milliseconds(5), Slowness());
    }
    const Seconds mean = estimates.mean(1);
    CHECK(estimates.expected({1, 1, 0}) == mean * WorkEstimates::MaxShareOfMean);
    CHECK(estimates.expected({1, 2, 0}) == mean * WorkEstimates::MinShareOfMean);
    for (int refusal = 0; refusal < 60; ++refusal) {
        estimates.onRejected({1, 1, 0});
        estimates.onRejected({1, 2, 0});
    }
    CHECK(estimates.expected({1, 1, 0}) < 1.3 * mean);
    CHECK(estimates.expected({1, 2, 0}) == mean * WorkEstimates::MinShareOfMean);
}

TEST_CASE("frequent keys keep their estimates among all keys that there are")
{
    Load load(4, costByKey);
    WorkEstimates estimates;
    load.feed(estimates, 2'000, 50);
    for (int round = 0; round < 200; ++round) {
        load.feed(estimates, 20, 50);
        load.feed(estimates, 200, 65'536);
    }
    int known = 0;
    for (std::uint16_t key = 0; key < 50; ++key) {
        const Seconds expected = estimates.expected({1, key, 0});
        known += key % 5 == 0 ? expected > 2 * estimates.mean(1) : expected < estimates.mean(1) / 2;
    }
    CHECK(known >= 45);
}

TEST_CASE("classes without end take no more memory than a fixed number of them")
{
    WorkEstimates estimates;
    for (std::uint64_t workClass = 1; workClass <= 5'000; ++workClass) {
        estimates.observe({workClass, std::nullopt, 0}, Milliseconds(50), Slowness());
    }
    CHECK(estimates.summaries().size() <= 256);
    CHECK(estimates.expected({5'000, std::nullopt, 0}) == Seconds(0.05));
}

TEST_CASE("the means keep their scale although the servers' slownesses are averages of few answers")
{
    // Guards against: the mean of a class doubles within a minute, and with it what requests seem to need.
    for (const double noise : {0.3, 1.0}) {
        INFO("noise " << noise);
        std::mt19937_64 random(6);
        std::lognormal_distribution<double> work(std::log(0.15) - noise * noise / 2, noise);
        WorkEstimates estimates;
        std::vector<Slowness> servers(20);
        for (int request = 0; request < 50'000; ++request) {
            Slowness &server = servers[random() % servers.size()];
            const auto took = std::chrono::duration_cast<Duration>(Seconds(work(random)));
            server.observe(estimates.observe({1, std::nullopt, 0}, took, server));
        }
        CHECK(estimates.mean(1).count() == Approx(0.15).epsilon(0.5 * noise));
    }
}

} // namespace snipevalve
