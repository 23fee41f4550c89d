#include "snipevalve/placement_app/group_runner.hpp"

#include <spdlog/spdlog.h>

#include "snipevalve/routing/slot_table.hpp"

namespace snipevalve {

namespace {

constexpr Milliseconds TickInterval(20);

AuthorityTimes timesOf(const Settings &settings)
{
    AuthorityTimes times;
    times.grantLifetime = settings.grantLifetime;
    times.renewInterval = settings.renewInterval;
    times.evidenceLifetime = settings.evidenceLifetime;
    times.lostAfter = settings.lostAfter;
    times.balanceInterval = settings.balanceInterval;
    return times;
}

} // namespace

GroupRunner::GroupRunner(PlacementContext &context, GroupId group, const GroupPlan &plan, std::uint64_t revision,
                         std::uint32_t slots)
    : m_context(context)
    , m_group(std::move(group))
    , m_planRevision(revision)
    , m_authority(m_group, plan, slots, timesOf(context.settings), Clock::now())
{
}

void GroupRunner::updateMembers()
{
    std::vector<GroupMember> members;
    for (const Server &server : m_context.catalog.membersOf(m_group)) {
        members.push_back({server.name, server.draining});
        m_endpoints[server.name] = server.endpoint;
    }
    perform(m_authority.onMembers(members, Clock::now()));
}

void GroupRunner::updateLoads(const std::vector<double> &loads)
{
    m_authority.onLoads(loads);
}

Awaitable<void> GroupRunner::run()
{
    const auto self = shared_from_this();
    asio::steady_timer timer(m_context.executor);
    updateMembers();
    while (!m_stopped && !m_authority.isResigned()) {
        perform(m_authority.onTick(Clock::now()));
        timer.expires_after(TickInterval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

void GroupRunner::stop()
{
    m_stopped = true;
}

const GroupId &GroupRunner::group() const
{
    return m_group;
}

const GroupAuthority &GroupRunner::authority() const
{
    return m_authority;
}

std::string GroupRunner::planKey() const
{
    return std::string(PlanPrefix) + toString(m_group);
}

void GroupRunner::perform(std::vector<AuthorityAction> actions)
{
    for (AuthorityAction &action : actions) {
        if (m_stopped) {
            return;
        }
        if (auto *order = std::get_if<SendOrder>(&action)) {
            asio::co_spawn(m_context.executor, sendOrder(std::move(*order)), asio::detached);
        } else if (auto *write = std::get_if<WritePlan>(&action)) {
            asio::co_spawn(m_context.executor, writePlan(std::move(*write)), asio::detached);
        } else if (std::holds_alternative<ConfirmTerm>(action)) {
            asio::co_spawn(m_context.executor, confirmTerm(), asio::detached);
        } else if (const auto *table = std::get_if<PublishTable>(&action)) {
            publish(*table);
        } else if (const auto *resign = std::get_if<Resign>(&action)) {
            spdlog::warn("placement: resigning leadership of group {}: {}", toString(m_group), resign->reason);
        } else if (const auto *message = std::get_if<LogMessage>(&action)) {
            spdlog::info("placement: {}", message->text);
        }
    }
}

Awaitable<void> GroupRunner::sendOrder(SendOrder action)
{
    const auto self = shared_from_this();
    const auto endpoint = m_endpoints.find(action.server);
    std::optional<GrantAnswer> answer;
    if (endpoint != m_endpoints.end()) {
        HttpCall call;
        call.endpoint = endpoint->second;
        call.method = http::verb::post;
        call.target = "/grants";
        call.body = toJson(action.order);
        call.timeout = m_context.settings.orderTimeout;
        const auto reply = co_await m_context.client.call(std::move(call));
        if (reply.ok()) {
            answer = parseGrantAnswer(reply->body);
        }
    }
    const TimePoint now = Clock::now();
    if (answer) {
        perform(m_authority.onAnswer(action.server, action.order.token, *answer, now));
    } else {
        perform(m_authority.onNoAnswer(action.server, action.order.token, now));
    }
}

Awaitable<void> GroupRunner::writePlan(WritePlan action)
{
    constexpr Milliseconds RetryDelay(100);
    const auto self = shared_from_this();
    action.plan.writeId =
        m_context.settings.hostName + "-" + std::to_string(action.plan.term) + "-" + std::to_string(++m_writeCount);
    StoreWrite write;
    write.key = planKey();
    write.value = toJson(action.plan);
    write.expectedRevision = m_planRevision;
    const TimePoint deadline = Clock::now() + m_context.settings.writeTimeout;
    const auto result = co_await writeWithRetry(m_context.store, write, deadline);
    if (result.ok() && result->committed) {
        m_planRevision = result->current.revision;
        perform(m_authority.onPlanWritten(action.plan.version, Clock::now()));
        co_return;
    }
    bool superseded = false;
    if (result.ok()) {
        // The store may hold an earlier write of this leader whose answer was lost. The next write then replaces it.
        const auto storedPlan = parsePlan(result->current.value);
        superseded = !storedPlan || storedPlan->term != action.plan.term || storedPlan->leader != action.plan.leader;
        m_planRevision = result->current.revision;
    }
    asio::steady_timer timer(m_context.executor, RetryDelay);
    co_await timer.async_wait(asio::use_awaitable);
    perform(m_authority.onPlanNotWritten(superseded, Clock::now()));
}

Awaitable<void> GroupRunner::confirmTerm()
{
    const auto self = shared_from_this();
    const TimePoint sentAt = Clock::now();
    const auto value = co_await m_context.store.read(planKey());
    std::optional<std::uint64_t> term;
    if (value.ok()) {
        const auto plan = parsePlan(value->value);
        term = plan ? plan->term : 0;
    }
    perform(m_authority.onTermRead(sentAt, term, Clock::now()));
}

void GroupRunner::publish(const PublishTable &table)
{
    SlotTable slots;
    slots.group = m_group;
    slots.version = table.version;
    slots.committed = table.committed;
    slots.leader = m_context.settings.hostName;
    slots.servers = table.servers;
    slots.owners = table.owners;
    Item item;
    item.key = {ItemKind::Table, toString(m_group)};
    item.version = {table.version.term, table.version.sequence};
    item.payload = encodeTable(slots);
    m_context.hub.publish({item});
}

} // namespace snipevalve
