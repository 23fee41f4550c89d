#include "snipevalve/node/leader_dispatcher.hpp"

#include <spdlog/spdlog.h>

#include "snipevalve/core/log_text.hpp"
#include "snipevalve/gateway/server_notice_log.hpp"
#include "snipevalve/net/accept.hpp"
#include "snipevalve/net/log_failure.hpp"
#include "snipevalve/node/descriptor_shares.hpp"
#include "snipevalve/node/link_silence.hpp"
#include "snipevalve/node/warmup_limits.hpp"

namespace snipevalve {

namespace {

/// Changes of a view are batched: hosts need views only while there is no leader.
constexpr Milliseconds ViewInterval(500);

/// The leader's share of the retries that the settings allow on top of the ratio; the rest is left for hosts that
/// dispatch locally.
constexpr double LeaderSlackShare = 0.6;

/// Hides the way of a request's end to the leader and of the next request to the server.
constexpr unsigned QueuedPerServer = 1;

/// Number of configuration versions kept as bases for deltas; a host that is further behind gets a whole configuration.
constexpr std::size_t KeptConfigs = 8;

/// The first frame names the host and asks for nothing.
constexpr std::uint32_t MaxFirstFrameBytes = 4 << 10;
constexpr Milliseconds FirstFrameTimeout(10'000);
/// A new connection keeps its place this long, so that hosts that all connect at once don't close each other's.
constexpr Milliseconds NewConnectionTime(100);
constexpr Milliseconds SilentHostTime(1'000);
/// Part of the memory that unfinished frames of all hosts may take. Whole ones are handled at once.
constexpr std::size_t FrameMemoryDivisor = 16;

Ticket ticketOf(const DispatchDecision &decision)
{
    return std::visit(
        [](const auto &each) {
            return each.ticket;
        },
        decision);
}

} // namespace

LeaderDispatcher::LeaderDispatcher(asio::any_io_executor executor, const NodeSettings &settings, std::uint64_t seed)
    : m_executor(std::move(executor))
    , m_settings(settings)
    , m_seed(seed)
    , m_newConnections(
          std::make_shared<ConnectionLimiter>(DescriptorShares(settings.maxDescriptors).newHosts(), NewConnectionTime))
    , m_hostConnections(
          std::make_shared<ConnectionLimiter>(DescriptorShares(settings.maxDescriptors).hosts(), SilentHostTime))
    , m_frameMemory(std::make_shared<FrameMemory>(settings.memoryBytes / FrameMemoryDivisor))
{
}

Awaitable<void> LeaderDispatcher::serve(Tcp::acceptor &acceptor)
{
    const auto onConnection = [this](Tcp::socket socket) {
        asio::co_spawn(m_executor, serveHost(std::make_shared<FrameChannel>(std::move(socket), m_frameMemory)),
                       LogFailure("link"));
    };
    const auto mayAccept = [this]() {
        return m_newConnections->makeRoom(Clock::now());
    };
    co_await acceptConnections(acceptor, onConnection, mayAccept);
}

Awaitable<void> LeaderDispatcher::serveHost(std::shared_ptr<FrameChannel> channel)
{
    const std::shared_ptr<Host> host = co_await awaitFirstFrame(channel);
    if (!host || !m_hostConnections->makeRoom(Clock::now())) {
        channel->close();
        co_return;
    }
    LimitedConnection connection(m_hostConnections, Clock::now(), [channel]() {
        spdlog::warn("link: event=closed reason=\"too many hosts are connected, and this one is silent\"");
        channel->close();
    });
    m_hosts.insert(host);
    spdlog::info("link: event=host_joined host={} hosts={}", escapeLogValue(host->name), m_hosts.size());
    if (onHostCount) {
        onHostCount(m_hosts.size());
    }
    for (const auto &[service, led] : m_ledServices) {
        if (led.isViewSent) {
            *host->pending.add_views() = toProto(led.sentView); // base of the deltas that follow
        }
    }
    flush();
    std::string bytes;
    while (co_await channel->receive(bytes) && handleFrame(host, bytes)) {
        connection.waitForPeer(Clock::now());
    }
    channel->close();
    onHostGone(host);
}

/// @return null if the connection has ended, or must be closed since its first frame says nothing of a host
Awaitable<std::shared_ptr<LeaderDispatcher::Host>>
LeaderDispatcher::awaitFirstFrame(std::shared_ptr<FrameChannel> channel)
{
    const LimitedConnection connection(m_newConnections, Clock::now(), [channel]() {
        channel->close();
    });
    asio::steady_timer timer(m_executor, FirstFrameTimeout);
    timer.async_wait([channel = std::weak_ptr(channel)](const ErrorCode &error) {
        const auto open = channel.lock();
        if (!error && open) {
            open->close();
        }
    });
    std::string bytes;
    proto::HostFrame frame;
    const bool isReceived = co_await channel->receive(bytes, MaxFirstFrameBytes);
    timer.cancel();
    if (!isReceived || bytes.empty() || !frame.ParseFromString(bytes)) {
        co_return nullptr;
    }
    auto host = std::make_shared<Host>();
    host->channel = channel;
    host->number = ++m_lastHostNumber;
    host->name = frame.host();
    host->zone = frame.zone();
    host->run = frame.run();
    host->processorPermille = frame.processor_permille();
    co_return host;
}

/// @return false if the connection must be closed
bool LeaderDispatcher::handleFrame(const std::shared_ptr<Host> &host, const std::string &bytes)
{
    proto::HostFrame frame;
    if (!frame.ParseFromString(bytes)) {
        spdlog::warn("link: event=closed host={} reason=\"a frame can't be read\"", escapeLogValue(host->name));
        return false;
    }
    try {
        onFrame(host, frame);
    } catch (const std::exception &error) {
        spdlog::error("link: event=closed host={} reason=\"{}\"", escapeLogValue(host->name),
                      escapeQuotedText(error.what()));
        return false;
    }
    return true;
}

void LeaderDispatcher::onFrame(const std::shared_ptr<Host> &host, const proto::HostFrame &frame)
{
    const TimePoint now = Clock::now();
    if (frame.has_config_base()) {
        addConfigChange(*host, frame.config_base());
    }
    if (frame.wanted_views_size() > 0) {
        onWantedViews(host, frame);
    }
    for (const proto::KnownView &known : frame.known_views()) {
        if (onKnownView) {
            onKnownView(fromProto(known));
        }
    }
    for (const proto::DeputyConsent &consent : frame.consents()) {
        if (onDeputyConsent && consent.run() == host->run) {
            onDeputyConsent(consent.service(), consent.term(), consent.epoch());
        }
    }
    for (const proto::LeavingServer &leaving : frame.leaving()) {
        addLeaving(fromProto(leaving, now), host->name);
    }
    for (const proto::Done &done : frame.dones()) {
        onDone(host, done, now);
    }
    for (const proto::Ask &ask : frame.asks()) {
        onAsk(host, ask, now);
    }
    flush();
}

void LeaderDispatcher::addLeaving(const LeavingServer &leaving, const std::string &toldBy)
{
    if (!m_leaving.add(leaving)) {
        return;
    }
    const TimePoint now = Clock::now();
    spdlog::info("{}", leavingLogText(leaving, wallTimeOf(leaving.since), toldBy));
    const auto led = m_ledServices.find(leaving.service);
    if (led != m_ledServices.end() && m_leaving.markIn(led->second.view.servers)) {
        led->second.dispatcher->setServers(led->second.view.servers, now);
        led->second.isViewChanged = true;
        collectDecisions(led->second);
    }
    if (onServerLeaving) {
        onServerLeaving();
    }
}

const LeavingServers &LeaderDispatcher::leavingServers() const
{
    return m_leaving;
}

/// Services that are led here need no reply: the host gets their views as a leader's.
void LeaderDispatcher::onWantedViews(const std::shared_ptr<Host> &host, const proto::HostFrame &frame)
{
    std::vector<std::string> services;
    for (const std::string &service : frame.wanted_views()) {
        if (!m_ledServices.contains(service)) {
            services.push_back(service);
        }
    }
    if (services.empty() || !onViewsWanted) {
        return;
    }
    onViewsWanted(std::move(services), [this, host](const std::vector<KnownView> &known) {
        for (const KnownView &each : known) {
            *host->pending.add_known_views() = toProto(each);
        }
        flush();
    });
}

LeaderDispatcher::Host *LeaderDispatcher::hostOfRun(const std::string &run) const
{
    const auto position = std::find_if(m_hosts.begin(), m_hosts.end(), [&run](const std::shared_ptr<Host> &host) {
        return host->run == run;
    });
    return position == m_hosts.end() ? nullptr : position->get();
}

std::string LeaderDispatcher::chooseDeputy(const std::string &current) const
{
    if (!current.empty() && hostOfRun(current) != nullptr) {
        return current;
    }
    const auto rank = [this](const Host &host) {
        return std::make_tuple(host.processorPermille, host.zone != m_settings.zone, host.run);
    };
    const Host *best = nullptr;
    for (const std::shared_ptr<Host> &host : m_hosts) {
        const bool isOther = !host->run.empty() && host->run != m_settings.run;
        if (isOther && (best == nullptr || rank(*host) > rank(*best))) {
            best = host.get();
        }
    }
    return best == nullptr ? std::string() : best->run;
}

void LeaderDispatcher::notifyDeputy(const std::string &service, const std::string &run)
{
    if (Host *host = hostOfRun(run)) {
        host->pending.add_deputy_of(service);
        flush();
    }
}

void LeaderDispatcher::askDeputy(const std::string &service, const AskDeputy &ask, Duration outage)
{
    Host *host = hostOfRun(ask.deputy.run);
    if (host == nullptr) {
        return;
    }
    proto::DeputyConsent *message = host->pending.add_deputy_asks();
    message->set_service(service);
    message->set_term(ask.term);
    message->set_run(ask.deputy.run);
    message->set_epoch(ask.deputy.epoch);
    message->set_outage_ms(static_cast<std::uint32_t>(std::chrono::duration_cast<Milliseconds>(outage).count()));
    flush();
}

void LeaderDispatcher::requestViews(const std::vector<std::string> &services)
{
    for (const std::shared_ptr<Host> &host : m_hosts) {
        host->pending.clear_wanted_views();
        for (const std::string &service : services) {
            host->pending.add_wanted_views(service);
        }
    }
    flush();
}

void LeaderDispatcher::onAsk(const std::shared_ptr<Host> &host, const proto::Ask &ask, TimePoint now)
{
    const auto led = m_ledServices.find(ask.service());
    if (led == m_ledServices.end()) {
        refuseAsFollower(*host, ask, now);
        return;
    }
    const Ticket ticket = ++m_lastTicket;
    m_origins[ticket] = {host, ask.ticket(), ask.service(), ask.repeat()};
    host->tickets[ask.ticket()] = ticket;
    WorkItem item = fromProto(ask, host->zone, now);
    item.ticket = ticket;
    item.host = host->number;
    Dispatcher &dispatcher = *led->second.dispatcher;
    if (!ask.running_on().empty()) {
        dispatcher.adopt(item, ask.running_on(), now);
        return;
    }
    if (item.key && !item.repeat && onKeyedAsk) {
        onKeyedAsk(ask.service(), *item.key, dispatcher.balanceWork(item));
    }
    dispatcher.submit(std::move(item), now);
    collectDecisions(led->second);
}

/// A host that dispatches locally allows few repeats or none. Those that it has asked for before it learns that this
/// host leads the service no more still get their share of the budget that was kept here.
void LeaderDispatcher::refuseAsFollower(Host &host, const proto::Ask &ask, TimePoint now)
{
    const auto former = m_formerRepeats.find(ask.service());
    proto::Refusal *refusal = host.pending.add_refusals();
    refusal->set_ticket(ask.ticket());
    refusal->set_not_leader(true);
    refusal->set_repeat_counted(ask.repeat() && former != m_formerRepeats.end() && former->second.take(now));
}

void LeaderDispatcher::onDone(const std::shared_ptr<Host> &host, const proto::Done &done, TimePoint now)
{
    const auto position = host->tickets.find(done.ticket());
    if (position == host->tickets.end()) {
        return;
    }
    const Ticket ticket = position->second;
    host->tickets.erase(position);
    m_origins.erase(ticket);
    const auto led = m_ledServices.find(done.service());
    if (led != m_ledServices.end()) {
        led->second.dispatcher->finish(ticket, toWorkEnd(done.end()), std::chrono::microseconds(done.took_us()), now,
                                       loadOf(done));
        collectDecisions(led->second);
    }
}

void LeaderDispatcher::onHostGone(const std::shared_ptr<Host> &host)
{
    spdlog::info("link: event=host_left host={} tickets={}", host->name, host->tickets.size());
    m_hosts.erase(host);
    if (onHostCount) {
        onHostCount(m_hosts.size());
    }
    const TimePoint now = Clock::now();
    // Decisions made below may concern other requests of this host and would modify its tickets.
    std::map<Ticket, Ticket> tickets;
    tickets.swap(host->tickets);
    for (const auto &[hostTicket, ticket] : tickets) {
        const auto origin = m_origins.find(ticket);
        if (origin == m_origins.end()) {
            continue;
        }
        const auto led = m_ledServices.find(origin->second.service);
        m_origins.erase(origin);
        if (led != m_ledServices.end()) {
            led->second.dispatcher->finish(ticket, WorkEnd::Abandoned, Duration::zero(), now);
        }
    }
    for (auto &[service, led] : m_ledServices) {
        collectDecisions(led);
    }
    flush();
}

/// Adds the dispatcher's decisions to the pending frames of the hosts that asked.
void LeaderDispatcher::collectDecisions(LedService &led)
{
    for (const DispatchDecision &decision : led.dispatcher->take()) {
        const auto origin = m_origins.find(ticketOf(decision));
        if (origin == m_origins.end()) {
            continue;
        }
        const Origin &asked = origin->second;
        if (const auto *placement = std::get_if<Placement>(&decision)) {
            proto::Permit *permit = asked.host->pending.add_permits();
            *permit = toProto(*placement);
            permit->set_ticket(asked.ticket);
            continue;
        }
        const Rejection &rejection = std::get<Rejection>(decision);
        proto::Refusal *refusal = asked.host->pending.add_refusals();
        *refusal = toProto(rejection);
        refusal->set_ticket(asked.ticket);
        asked.host->tickets.erase(asked.ticket);
        m_origins.erase(origin);
    }
}

void LeaderDispatcher::flush()
{
    const TimePoint now = Clock::now();
    for (const std::shared_ptr<Host> &host : m_hosts) {
        const proto::LeaderFrame &pending = host->pending;
        const bool isUpdateDue = addStoreUpdate(*host);
        const bool hasContent = isUpdateDue || pending.has_config()
            || pending.permits_size() + pending.refusals_size() + pending.views_size() > 0
            || pending.known_views_size() + pending.wanted_views_size() > 0
            || pending.deputy_asks_size() + pending.deputy_of_size() > 0;
        if (!hasContent && now - host->sentAt < LinkSilence::HeartbeatInterval) {
            continue;
        }
        if (m_storeReadTime != TimePoint()) {
            const auto age = std::chrono::duration_cast<Milliseconds>(now - m_storeReadTime);
            host->pending.set_store_age_ms(static_cast<std::uint32_t>(age.count()));
        }
        if (m_leaseRenewedAt != TimePoint()) {
            const auto age = std::chrono::duration_cast<Milliseconds>(now - m_leaseRenewedAt);
            host->pending.set_lease_age_ms(static_cast<std::uint32_t>(age.count()));
        }
        host->pending.set_hosts(static_cast<std::uint32_t>(m_hosts.size()));
        host->channel->send(host->pending);
        host->pending.Clear();
        host->sentAt = now;
    }
}

void LeaderDispatcher::startLeading(const std::string &service)
{
    DispatcherOptions options;
    options.repeats.ratio = m_settings.retryRatio;
    options.repeats.window = m_settings.retryWindow;
    options.repeats.slack = m_settings.retrySlack * LeaderSlackShare;
    options.queuedPerServer = QueuedPerServer;
    options.seed = m_seed;
    LedService &led = m_ledServices[service];
    led.dispatcher = std::make_unique<Dispatcher>(options);
    setWarmupLimits(service, *led.dispatcher);
    led.view.service = service;
    led.sentView.service = service;
}

void LeaderDispatcher::stopLeading(const std::string &service)
{
    const auto led = m_ledServices.find(service);
    if (led == m_ledServices.end()) {
        return;
    }
    for (auto origin = m_origins.begin(); origin != m_origins.end();) {
        if (origin->second.service != service) {
            ++origin;
            continue;
        }
        // The host then dispatches a waiting request locally; it runs a placed one to its end.
        proto::Refusal *refusal = origin->second.host->pending.add_refusals();
        refusal->set_ticket(origin->second.ticket);
        refusal->set_not_leader(true);
        refusal->set_repeat_counted(origin->second.isRepeat);
        origin->second.host->tickets.erase(origin->second.ticket);
        origin = m_origins.erase(origin);
    }
    m_formerRepeats.insert_or_assign(service, led->second.dispatcher->repeats());
    m_ledServices.erase(led);
    flush();
}

void LeaderDispatcher::setView(ServiceView view)
{
    const auto led = m_ledServices.find(view.service);
    if (led == m_ledServices.end()) {
        return;
    }
    m_leaving.markIn(view.servers);
    const TimePoint now = Clock::now();
    const bool serversChanged = led->second.view.servers != view.servers;
    const bool ownersChanged = led->second.view.keyed != view.keyed || !(led->second.view.owners == view.owners);
    if (serversChanged) {
        led->second.dispatcher->setServers(view.servers, now);
    }
    if (view.keyed && ownersChanged) {
        led->second.dispatcher->setOwners(view.owners, now);
    }
    led->second.isViewChanged = led->second.isViewChanged || serversChanged || ownersChanged;
    led->second.view = std::move(view);
    collectDecisions(led->second);
    flush();
}

void LeaderDispatcher::setOrphanedRanges(const std::string &service, std::vector<OrphanedRange> ranges)
{
    const auto led = m_ledServices.find(service);
    if (led != m_ledServices.end()) {
        led->second.dispatcher->setOrphanedRanges(std::move(ranges));
    }
}

void LeaderDispatcher::setConfig(std::shared_ptr<const GatewayConfig> config)
{
    m_configs.push_back(std::move(config));
    if (m_configs.size() > KeptConfigs) {
        m_configs.pop_front();
    }
    for (const auto &[service, led] : m_ledServices) {
        setWarmupLimits(service, *led.dispatcher);
    }
    flush();
}

void LeaderDispatcher::setLeaders(LeaderTable leaders)
{
    m_leaders = std::move(leaders);
    flush();
}

void LeaderDispatcher::setEvacuations(Evacuations evacuations)
{
    m_evacuations = std::move(evacuations);
    flush();
}

void LeaderDispatcher::setLeaseRenewalTime(TimePoint renewedAt)
{
    m_leaseRenewedAt = renewedAt;
}

void LeaderDispatcher::setStoreReadTime(TimePoint current)
{
    m_storeReadTime = current;
}

void LeaderDispatcher::setEntryReadTime(TimePoint current)
{
    m_entryReadTime = current;
}

void LeaderDispatcher::setWarmupLimits(const std::string &service, Dispatcher &dispatcher) const
{
    const GatewayService *config = m_configs.empty() ? nullptr : m_configs.back()->service(service);
    if (config != nullptr) {
        dispatcher.pace().setLimits(warmupLimitsOf(*config, m_settings), 1.0);
    }
}

void LeaderDispatcher::advancePaces(TimePoint now)
{
    for (const auto &[service, led] : m_ledServices) {
        led.dispatcher->pace().advance(m_entryReadTime, now);
        logWarmupEvents(service, led.dispatcher->pace().takeEvents(), "leader");
    }
}

std::uint64_t LeaderDispatcher::configVersion() const
{
    return m_configs.empty() ? 0 : m_configs.back()->version;
}

void LeaderDispatcher::addConfigChange(Host &host, std::uint64_t base) const
{
    if (m_configs.empty() || base >= configVersion()) {
        return;
    }
    const auto known = std::find_if(m_configs.begin(), m_configs.end(), [base](const auto &config) {
        return config->version == base;
    });
    const GatewayConfig *from = known == m_configs.end() ? nullptr : known->get();
    *host.pending.mutable_config() = toProto(changeBetween(from, *m_configs.back()));
}

/// Adds the version of the configuration and, if they have changed, the leader table and the evacuations to the host's
/// pending frame.
/// @return whether the host must be told at once
bool LeaderDispatcher::addStoreUpdate(Host &host) const
{
    host.pending.set_config_version(configVersion());
    const bool isConfigNew = host.configVersion != configVersion();
    host.configVersion = configVersion();
    const std::pair leadersVersion(m_leaders.era, m_leaders.revision);
    const bool areLeadersNew = host.leadersVersion != leadersVersion;
    if (areLeadersNew) {
        *host.pending.mutable_leaders() = toProto(m_leaders);
        host.leadersVersion = leadersVersion;
    }
    const std::pair evacuationsVersion(m_evacuations.era, m_evacuations.revision);
    const bool areEvacuationsNew = host.evacuationsVersion != evacuationsVersion;
    if (areEvacuationsNew) {
        *host.pending.mutable_evacuations() = toProto(m_evacuations);
        host.evacuationsVersion = evacuationsVersion;
    }
    return isConfigNew || areLeadersNew || areEvacuationsNew;
}

void LeaderDispatcher::sendViews(TimePoint now)
{
    for (auto &[service, led] : m_ledServices) {
        if (!led.isViewChanged || now - led.viewSentAt < ViewInterval) {
            continue;
        }
        led.isViewChanged = false;
        led.viewSentAt = now;
        const bool isFirst = !led.isViewSent;
        const proto::View whole = isFirst ? toProto(led.view) : proto::View();
        const proto::ViewChange change = isFirst ? proto::ViewChange() : toProto(changeBetween(led.sentView, led.view));
        led.sentView = led.view;
        led.isViewSent = true;
        for (const std::shared_ptr<Host> &host : m_hosts) {
            if (isFirst) {
                *host->pending.add_views() = whole;
            } else {
                *host->pending.add_view_changes() = change;
            }
        }
    }
}

void LeaderDispatcher::advance()
{
    const TimePoint now = Clock::now();
    advancePaces(now);
    for (auto &[service, led] : m_ledServices) {
        led.dispatcher->advance(now);
        led.reserveLog.update(service, led.dispatcher->slotShares().summary(), now);
        collectDecisions(led);
        led.estimateLog.update(service, led.dispatcher->workEstimates(),
                               m_configs.empty() ? nullptr : m_configs.back().get(), now);
    }
    sendViews(now);
    flush();
}

const Dispatcher *LeaderDispatcher::dispatcher(const std::string &service) const
{
    const auto led = m_ledServices.find(service);
    return led == m_ledServices.end() ? nullptr : led->second.dispatcher.get();
}

} // namespace snipevalve
