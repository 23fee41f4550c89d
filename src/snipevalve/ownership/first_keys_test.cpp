#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "snipevalve/ownership/first_keys.hpp"
#include "snipevalve/ownership/key_balance.hpp"
#include "snipevalve/ownership/key_loads.hpp"

namespace snipevalve {

namespace {

const TimePoint Start{std::chrono::hours(1)};

/// A keyed service whose moves take effect at once, with the averages and rounds of its leader.
class KeyedService
{
public:
    explicit KeyedService(std::size_t servers)
        : m_owners(KeyCount)
    {
        for (std::size_t at = 0; at < servers; ++at) {
            m_capacities["s" + std::to_string(at)] = 4;
        }
        for (std::size_t key = 0; key < KeyCount; ++key) {
            m_owners[key] = "s" + std::to_string(key * servers / KeyCount);
        }
    }

    void join(const std::string &server)
    {
        m_capacities[server] = 4;
        m_usedAt[server] = m_now;
    }

    /// @param hotShare of the requests go to 60 adjacent keys
    void run(Milliseconds length, double requestsPerSecond, double hotShare)
    {
        const TimePoint end = m_now + length;
        constexpr Milliseconds Step(10);
        std::poisson_distribution<int> arrivals(requestsPerSecond * Seconds(Step).count());
        std::uniform_int_distribution<std::uint32_t> anyKey(0, KeyCount - 1);
        std::uniform_int_distribution<std::uint32_t> hotKey(30'000, 30'059);
        std::bernoulli_distribution isHot(hotShare);
        while (m_now < end) {
            m_now += Step;
            for (int count = arrivals(m_random); count > 0; --count) {
                const std::uint32_t key = isHot(m_random) ? hotKey(m_random) : anyKey(m_random);
                m_fast.add(static_cast<std::uint16_t>(key), MeanWork);
                m_slow.add(static_cast<std::uint16_t>(key), MeanWork);
                noteRequest(m_owners[key]);
            }
            if ((m_now - Start) % Milliseconds(100) < Step) {
                m_fast.decay(Milliseconds(100));
                m_slow.decay(Milliseconds(100));
            }
            if ((m_now - Start) % Milliseconds(200) < Step) {
                balance();
            }
        }
    }

    std::uint32_t keysOf(const std::string &server) const
    {
        return static_cast<std::uint32_t>(std::count(m_owners.begin(), m_owners.end(), server));
    }

    /// The number of keys that have moved to servers that had none.
    std::uint32_t firstKeys() const
    {
        return m_firstKeys;
    }

    /// The longest time without a request for a server that has joined.
    Milliseconds longestPause(const std::string &server)
    {
        noteRequest(server);
        return m_longestPause[server];
    }

private:
    static constexpr Seconds MeanWork{0.15};

    void noteRequest(const std::string &server)
    {
        const auto used = m_usedAt.find(server);
        if (used != m_usedAt.end()) {
            const auto pause = std::chrono::duration_cast<Milliseconds>(m_now - used->second);
            m_longestPause[server] = std::max(m_longestPause[server], pause);
            used->second = m_now;
        }
    }

    std::vector<OwnedRange> ranges() const
    {
        std::vector<OwnedRange> all;
        for (std::uint32_t key = 0; key < KeyCount; ++key) {
            if (all.empty() || all.back().owner != m_owners[key]) {
                all.push_back({{static_cast<std::uint16_t>(key), static_cast<std::uint16_t>(key)}, m_owners[key]});
            }
            all.back().keys.to = static_cast<std::uint16_t>(key);
        }
        return all;
    }

    void apply(const std::vector<KeyMove> &moves)
    {
        const std::set<std::string> owners(m_owners.begin(), m_owners.end());
        for (const KeyMove &move : moves) {
            m_firstKeys += owners.contains(move.to) ? 0 : move.keys.size();
            m_recent.add(move.keys, move.from, m_now + Milliseconds(10'000));
            std::fill(m_owners.begin() + move.keys.from, m_owners.begin() + move.keys.to + 1, move.to);
        }
    }

    void balance()
    {
        m_recent.expire(m_now);
        KeyBalanceOptions options;
        options.maxMoves = maxMovesPerRound(m_capacities.size());
        options.meanWork = MeanWork;
        options.window = Seconds(6);
        auto moves = planKeyMoves(ranges(), m_slow.byKey(), m_capacities, options, m_recent);
        if (moves.empty()) {
            options.window = Seconds(0.7);
            moves = planKeyMoves(ranges(), m_fast.byKey(), m_capacities, options, m_recent);
        }
        apply(moves);
        if ((m_now - Start) % Milliseconds(4'000) < Milliseconds(10)) {
            apply(planKeyMerges(ranges(), m_slow.byKey(), m_capacities, m_recent));
        }
    }

    TimePoint m_now = Start;
    std::mt19937 m_random{7};
    KeyLoads m_fast{Milliseconds(700)};
    KeyLoads m_slow{Milliseconds(6'000)};
    RecentOwners m_recent;
    std::vector<std::string> m_owners; ///< by key
    std::map<std::string, double> m_capacities;
    std::map<std::string, TimePoint> m_usedAt;
    std::map<std::string, Milliseconds> m_longestPause;
    std::uint32_t m_firstKeys = 0;
};

} // namespace

TEST_CASE("servers that join a keyed service at low load get requests soon and keep getting them")
{
    // Guards against: a joined server gets the few keys that had a request last, which get hardly any more, or keys
    // that the next merge returns.
    struct Example
    {
        std::string name;
        std::size_t servers;
        std::size_t joining;
        double requestsPerSecond;
        double hotShare;
    };
    const auto example = GENERATE(values<Example>({
        {"a third of the slots of a large service", 136, 3, 1'200, 0},
        {"hot keys", 136, 3, 1'200, 0.2},
        {"a tenth of the slots of a large service", 136, 3, 350, 0},
        {"a tenth of the slots and hot keys", 136, 3, 350, 0.4},
        {"a small service", 12, 1, 60, 0},
        {"a zone of 40 servers", 100, 40, 700, 0},
    }));
    INFO(example.name);
    KeyedService service(example.servers);
    service.run(Milliseconds(10'000), example.requestsPerSecond, example.hotShare);
    for (std::size_t at = 0; at < example.joining; ++at) {
        service.join("new" + std::to_string(at));
    }
    service.run(Milliseconds(200 * (1 + example.joining / 4)), example.requestsPerSecond, example.hotShare);
    for (std::size_t at = 0; at < example.joining; ++at) {
        CHECK(service.keysOf("new" + std::to_string(at)) > 0);
    }
    // Each joined server costs at most the move of two thirds of a mean share.
    const double meanKeys = static_cast<double>(KeyCount) / static_cast<double>(example.servers + example.joining);
    const double allowed =
        static_cast<double>(example.joining) * meanKeys * FirstKeysSearch::WidthShare * FirstKeysSearch::Parts;
    CHECK(service.firstKeys() <= allowed);
    service.run(Milliseconds(20'000), example.requestsPerSecond, example.hotShare);
    for (std::size_t at = 0; at < example.joining; ++at) {
        INFO("server " << at << " has " << service.keysOf("new" + std::to_string(at)) << " keys");
        CHECK(service.longestPause("new" + std::to_string(at)) < Milliseconds(4'000));
    }
}

TEST_CASE("the first keys are not hot and leave the donor most of its keys")
{
    std::vector<float> loads(KeyCount, 0.0001F);
    loads[10'000] = 1.0F;
    const FirstKeysSearch search(loads, KeyCount, 4, 0.001);
    const std::vector<KeyDonor> donors = {{"hot", 2.6, {{0, 16'383}}}, {"other", 1.6, {{16'384, 32'767}}}};
    const auto first = search.find(donors, "new", 10, {});
    REQUIRE(first);
    CHECK(first->from == "hot");
    CHECK(!first->keys.contains(10'000));
    CHECK(first->keys.size() == 5'570);
    // A cold server gets so many keys as its pace allows, here the load of 2,000 keys.
    const auto few = search.find(donors, "cold", 0.2, {});
    REQUIRE(few);
    CHECK(few->load <= 0.2);
    CHECK(few->keys.size() >= 1'000);
    CHECK(search.isNeeded(0, 0));
    CHECK(search.isNeeded(3, 0.1)); // keys that were hot once
    CHECK(!search.isNeeded(8'192, 0));
    CHECK(!search.isNeeded(3, 1.0));
}

} // namespace snipevalve
