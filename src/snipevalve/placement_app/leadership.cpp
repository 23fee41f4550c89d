#include "snipevalve/placement_app/leadership.hpp"

#include <random>

#include <nlohmann/json.hpp>
#include <spdlog/spdlog.h>

namespace snipevalve {

namespace {

constexpr Milliseconds PollInterval(50);
constexpr Milliseconds BaseElectionDelay(75); ///< of the first candidate, once a group has no leader key
constexpr Milliseconds ElectionDelayPerRank(200); ///< added for each candidate that ranks higher
constexpr std::size_t MaxElectionRank = 5; ///< candidates that rank lower wait no longer than this one

Awaitable<void> sleepFor(asio::any_io_executor executor, Milliseconds duration)
{
    asio::steady_timer timer(std::move(executor), duration);
    co_await timer.async_wait(asio::use_awaitable);
}

std::string leaderKey(const GroupId &group)
{
    return std::string(LeaderPrefix) + toString(group);
}

} // namespace

Leadership::Leadership(PlacementContext &context)
    : m_context(context)
{
}

void Leadership::setHosts(const HostList &hosts)
{
    m_hosts = hosts;
}

const std::map<GroupId, std::shared_ptr<GroupRunner>> &Leadership::runners() const
{
    return m_runners;
}

void Leadership::updateMembers()
{
    for (const auto &[group, runner] : m_runners) {
        runner->updateMembers();
    }
}

void Leadership::updateLoads(const GroupId &group, const std::vector<double> &loads)
{
    const auto runner = m_runners.find(group);
    if (runner != m_runners.end()) {
        runner->second->updateLoads(loads);
    }
}

bool Leadership::hasLeader(const GroupId &group) const
{
    const Item *item = m_context.hub.items().find({ItemKind::Leader, toString(group)});
    return item != nullptr && !item->removed;
}

Milliseconds Leadership::electionDelay(const GroupId &group) const
{
    const HostList ranked = rankHosts(m_hosts, toString(group));
    std::size_t rank = 0;
    while (rank < ranked.size() && ranked[rank].name != m_context.settings.hostName) {
        ++rank;
    }
    return BaseElectionDelay + ElectionDelayPerRank * static_cast<int>(std::min(rank, MaxElectionRank));
}

Awaitable<void> Leadership::runElections()
{
    while (true) {
        const TimePoint now = Clock::now();
        const std::vector<GroupId> groups = m_stopping ? std::vector<GroupId>() : m_context.catalog.groups();
        for (const GroupId &group : groups) {
            if (hasLeader(group) || m_runners.contains(group)) {
                m_leaderlessGroups.erase(group);
                continue;
            }
            const auto [leaderless, isNew] = m_leaderlessGroups.try_emplace(group, LeaderlessGroup{now});
            const bool isDue = now - leaderless->second.since >= electionDelay(group);
            if (isDue && m_acquiring.insert(group).second) {
                m_leaderlessGroups.erase(leaderless);
                asio::co_spawn(m_context.executor, acquireLeadership(group), asio::detached);
            }
        }
        co_await sleepFor(m_context.executor, PollInterval);
    }
}

Awaitable<absl::Status> Leadership::writeLeaderKey(GroupId group)
{
    if (m_lease == 0) {
        const auto lease = co_await m_context.store.createLease(m_context.settings.leaderLease);
        if (!lease.ok()) {
            co_return lease.status();
        }
        m_lease = *lease;
    }
    StoreWrite write;
    write.key = leaderKey(group);
    const nlohmann::json value = {{"host", m_context.settings.hostName}, {"attempt", ++m_leaderKeyWrites}};
    write.value = value.dump();
    write.lease = m_lease;
    const auto result = co_await writeWithRetry(m_context.store, write, Clock::now() + m_context.settings.leaderLease);
    if (!result.ok()) {
        if (absl::IsNotFound(result.status())) {
            m_lease = 0;
        }
        co_return result.status();
    }
    const auto storedLeader = nlohmann::json::parse(result->current.value, nullptr, false);
    const bool isOurs = storedLeader.is_object() && storedLeader.value("host", "") == m_context.settings.hostName;
    co_return result->committed || isOurs ? absl::OkStatus() : absl::AbortedError("another host leads the group");
}

Awaitable<void> Leadership::acquireLeadership(GroupId group)
{
    const absl::Status status = co_await writeLeaderKey(group);
    if (status.ok() && !m_stopping) {
        co_await startTerm(group);
    }
    m_acquiring.erase(group);
}

Awaitable<void> Leadership::startTerm(GroupId group)
{
    const Service *service = m_context.catalog.service(group.service);
    const std::uint32_t slots = service == nullptr ? 0 : service->slots;
    const std::string key = std::string(PlanPrefix) + toString(group);
    const auto storedPlan = co_await m_context.store.read(key);
    if (!storedPlan.ok() || slots == 0) {
        co_return;
    }
    GroupPlan plan = parsePlan(storedPlan->value).value_or(GroupPlan());
    ++plan.term;
    plan.leader = m_context.settings.hostName;
    plan.version = 0;
    plan.writeId = plan.leader + "-takes-" + std::to_string(std::random_device()());
    StoreWrite write;
    write.key = key;
    write.value = toJson(plan);
    write.expectedRevision = storedPlan->revision;
    const auto result = co_await writeWithRetry(m_context.store, write, Clock::now() + m_context.settings.leaderLease);
    if (!result.ok() || !result->committed) {
        co_return;
    }
    spdlog::info("placement: host {} leads group {} in term {}", plan.leader, toString(group), plan.term);
    auto runner = std::make_shared<GroupRunner>(m_context, group, plan, result->current.revision, slots);
    m_runners[group] = runner;
    asio::co_spawn(m_context.executor, runGroup(runner), asio::detached);
}

Awaitable<void> Leadership::runGroup(std::shared_ptr<GroupRunner> runner)
{
    co_await runner->run();
    const auto position = m_runners.find(runner->group());
    if (position != m_runners.end() && position->second == runner) {
        m_runners.erase(position);
    }
}

Awaitable<void> Leadership::keepLeaseAlive()
{
    while (true) {
        co_await sleepFor(m_context.executor, m_context.settings.leaderLease / 4);
        if (m_runners.empty() || m_stopping) {
            continue;
        }
        if (m_lease != 0) {
            const absl::Status status = co_await m_context.store.renewLease(m_lease);
            if (!absl::IsNotFound(status)) {
                continue;
            }
            spdlog::warn("placement: the lease of the leader keys has expired, writing the keys again");
            m_lease = 0;
        }
        std::vector<GroupId> groups;
        for (const auto &[group, runner] : m_runners) {
            groups.push_back(group);
        }
        for (const GroupId &group : groups) {
            const absl::Status status = co_await writeLeaderKey(group);
            if (!status.ok()) {
                spdlog::warn("placement: cannot write the leader key of group {}: {}", toString(group),
                             std::string(status.message()));
            }
        }
    }
}

Awaitable<void> Leadership::handOver()
{
    constexpr Milliseconds MaxHandOverTime(2000);
    m_stopping = true;
    for (const auto &[group, runner] : m_runners) {
        const auto storedLeader = co_await m_context.store.read(leaderKey(group));
        if (!storedLeader.ok() || storedLeader->revision == 0) {
            continue;
        }
        StoreWrite write;
        write.key = leaderKey(group);
        write.expectedRevision = storedLeader->revision;
        write.remove = true;
        co_await m_context.store.write(write);
    }
    const TimePoint deadline = Clock::now() + MaxHandOverTime;
    while (!m_runners.empty() && Clock::now() < deadline) {
        co_await sleepFor(m_context.executor, PollInterval);
    }
}

} // namespace snipevalve
