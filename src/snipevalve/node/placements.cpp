#include "snipevalve/node/placements.hpp"

#include <algorithm>
#include <utility>

#include <spdlog/spdlog.h>

#include "snipevalve/core/log_text.hpp"
#include "snipevalve/gateway/server_notice_log.hpp"
#include "snipevalve/node/warmup_limits.hpp"

namespace snipevalve {

namespace {

/// Without a leader, a host may fill this multiple of its even share of a server's slots, rounded up to one slot. The
/// multiple exceeds 1 because load is uneven across hosts.
constexpr double LocalShareFactor = 2.0;
/// Share of a server's slots until a leader tells the number of hosts.
constexpr double InitialSlotShare = 0.34;
/// A request is rejected after this many permits for servers that this host may not use. A leader that knows which
/// servers are leaving gives none.
constexpr int MaxReturnedPermits = 4;
/// A request whose key's owner is evacuated asks its leader again after this time. The leader learns of the evacuation
/// within milliseconds if it is in touch, and moves the key within about a second.
constexpr Milliseconds EvacuatedAskInterval(50);

} // namespace

Placements::Placements(asio::any_io_executor executor, const NodeSettings &settings, std::uint64_t seed)
    : m_executor(std::move(executor))
    , m_settings(settings)
    , m_seed(seed)
    , m_random(seed)
{
}

Placements::~Placements()
{
    for (const auto &[endpoint, link] : m_links) {
        link->stop();
    }
}

Dispatcher &Placements::localDispatcher(const std::string &service)
{
    std::unique_ptr<Dispatcher> &dispatcher = m_localDispatchers[service];
    if (!dispatcher) {
        DispatcherOptions options;
        options.repeats.ratio =
            m_settings.retryRatio / 2; // the leader's dispatcher may have spent the other half in this window
        options.repeats.window = m_settings.retryWindow;
        options.slotShare = InitialSlotShare;
        options.seed = m_seed;
        dispatcher = std::make_unique<Dispatcher>(options);
        setWarmupLimits(service, *dispatcher);
    }
    return *dispatcher;
}

LeaderLink *Placements::leaderLinkOf(const std::string &service) const
{
    const auto leader = m_leaders.find(service);
    if (leader == m_leaders.end()) {
        return nullptr;
    }
    const auto link = m_links.find(leader->second);
    return link != m_links.end() && link->second->isOpen() ? link->second.get() : nullptr;
}

/// Whether the service's leader can be reached and has not denied that it leads the service.
bool Placements::isLed(const std::string &service) const
{
    return leaderLinkOf(service) != nullptr && !m_nextAskOfDenier.contains(service);
}

/// A host that has denied leading the service is asked again only now and then: it may have taken the service over.
LeaderLink *Placements::leaderLinkForAsk(const std::string &service, TimePoint now)
{
    constexpr Milliseconds AskInterval(500);
    const auto nextAsk = m_nextAskOfDenier.find(service);
    if (nextAsk != m_nextAskOfDenier.end()) {
        if (now < nextAsk->second) {
            return nullptr;
        }
        nextAsk->second = now + AskInterval;
    }
    return leaderLinkOf(service);
}

/// A permit may have been on its way when its server said that it leaves or asked for a pause, or when its zone was
/// evacuated; it is returned, and the leader is asked again. A request that is still queued then is taken back by
/// reviewWaiting().
Awaitable<DispatchDecision> Placements::acquire(std::string service, WorkItem item, Ticket &ticket)
{
    std::string owner; // of the key, which the leader may know sooner than this host; empty: as in the known view
    for (int returned = 0; returned <= MaxReturnedPermits;) {
        const TimePoint now = Clock::now();
        const std::optional<TimePoint> pause = pauseOf(service, item, owner, now);
        if (pause) {
            const double draw = std::uniform_real_distribution<double>(0, 1)(m_random);
            const auto resumeAt = ServerPauses::returnTime(*pause, latestSend(service, item), now, draw);
            if (!resumeAt) {
                co_return Rejection{ticket, RejectReason::Paused, ServerPauses::retryAfter(*pause, now, draw)};
            }
            const AwaitedPause awaited{owner, *pause}; // GCC 12 destroys such a temporary twice in a `co_await`
            const WaitEnd end = co_await waitUntil(awaited, *resumeAt, service, item, ticket);
            if (end.rejection) {
                co_return *end.rejection;
            }
            if (!end.isTakenBack) {
                owner.clear();
                item.avoid.clear(); // all other servers have failed the request too
            }
            continue;
        }
        owner.clear();
        WorkItem asked = item;
        const std::vector<std::string> paused = m_pauses.pausedServers(service, now);
        asked.avoid.insert(asked.avoid.end(), paused.begin(), paused.end());
        const std::optional<DispatchDecision> decision = co_await acquireOnce(service, item, asked, ticket);
        if (!decision) {
            continue; // taken back
        }
        const auto *placement = std::get_if<Placement>(&*decision);
        if (placement == nullptr) {
            co_return *decision;
        }
        const bool isLeaving = m_leaving.find(incarnationOf(placement->server)) != nullptr;
        const bool isPaused = m_pauses.pausedUntil(placement->server.id, Clock::now()).has_value();
        const bool isEvacuated = m_evacuatedZones.isEvacuated(placement->server);
        if (!isLeaving && !isPaused && !isEvacuated) {
            co_return *decision;
        }
        if (isEvacuated && !isLeaving) {
            returnPermit(*placement);
            count("permit_returned_evacuated");
            const TimePoint askAt = Clock::now() + EvacuatedAskInterval;
            if (item.key && askAt < latestSend(service, item)) {
                const AwaitedPause awaited{placement->server.id, askAt};
                const WaitEnd end = co_await waitUntil(awaited, askAt, service, item, ticket);
                if (end.rejection) {
                    co_return *end.rejection;
                }
                continue;
            }
            item.avoid.push_back(placement->server.id); // the known view may lack a server that has just registered
            avoidEvacuated(service, item);
            ++returned;
            continue;
        }
        if (isLeaving) {
            item.avoid.push_back(placement->server.id);
        } else if (item.key) {
            owner = placement->server.id;
        }
        returnPermit(*placement);
        ++returned;
    }
    co_return Rejection{ticket, RejectReason::NoServer, Duration::zero()};
}

/// @return when the request has to be sent to meet its deadline
TimePoint Placements::latestSend(const std::string &service, const WorkItem &item)
{
    return item.deadline - std::chrono::duration_cast<Duration>(localDispatcher(service).expectedWork(item));
}

/// @param owner of the item's key, if the leader has named another than the known view
/// @return when the request may be sent, if each server that could take it has asked for a pause
std::optional<TimePoint> Placements::pauseOf(const std::string &service, const WorkItem &item, const std::string &owner,
                                             TimePoint now) const
{
    if (!owner.empty()) {
        return m_pauses.pausedUntil(owner, now);
    }
    const ServiceView *view = m_pauses.isAnyPaused(now) ? m_views.find(service) : nullptr;
    if (view == nullptr) {
        return std::nullopt;
    }
    if (view->keyed && item.key) {
        const std::string *known = view->owners.ownerOf(*item.key);
        return known == nullptr ? std::nullopt : m_pauses.pausedUntil(*known, now);
    }
    std::optional<TimePoint> first;
    for (const UpstreamServer &server : view->servers) {
        if (server.draining || m_leaving.find(incarnationOf(server)) != nullptr
            || m_evacuatedZones.isEvacuated(server)) {
            continue;
        }
        const auto until = m_pauses.pausedUntil(server.id, now);
        const bool hasFailed = std::find(item.avoid.begin(), item.avoid.end(), server.id) != item.avoid.end();
        if (!until && !hasFailed) {
            return std::nullopt;
        }
        first = until ? std::min(first.value_or(*until), *until) : first;
    }
    return first;
}

/// Waits for the end of a pause before a request is placed.
Awaitable<Placements::WaitEnd> Placements::waitUntil(AwaitedPause pause, TimePoint end, std::string service,
                                                     WorkItem item, Ticket &ticket)
{
    const Ticket mine = ++m_lastTicket;
    ticket = mine;
    Send &send = m_sends[mine];
    send.service = std::move(service);
    send.wanted = item;
    send.item = std::move(item);
    send.item.ticket = mine;
    send.pause = std::move(pause);
    send.decisionTimer = std::make_unique<asio::steady_timer>(m_executor, end);
    ErrorCode error;
    co_await send.decisionTimer->async_wait(awaitInto(error));
    WaitEnd result;
    result.isTakenBack = send.isTakenBack;
    if (send.decision) {
        result.rejection = std::get<Rejection>(*send.decision);
    } else if (error && !send.isTakenBack) {
        result.rejection = Rejection{mine, RejectReason::TooLate, Duration::zero()};
    }
    m_sends.erase(mine);
    co_return result;
}

/// Takes back the requests whose wait has become pointless since the pauses or the servers have changed: those that are
/// queued for servers which all pause, those that can't outlast a pause that has grown, and those that need not wait
/// for it any more. acquire() then refuses them, lets them wait at this host or asks again.
void Placements::reviewWaiting(TimePoint now)
{
    const std::set<std::string> services = std::exchange(m_servicesToReview, {});
    for (auto &[ticket, send] : m_sends) {
        if (send.decision || send.isTakenBack || !services.contains(send.service)) {
            continue;
        }
        const std::string owner = send.pause ? send.pause->owner : std::string();
        const std::optional<TimePoint> pause = pauseOf(send.service, send.wanted, owner, now);
        const bool isTooLong = pause && latestSend(send.service, send.wanted) < *pause;
        const bool isShorter = send.pause && now < send.pause->until && (!pause || *pause < send.pause->until);
        send.isTakenBack = send.pause ? isTooLong || isShorter : pause.has_value();
        if (send.isTakenBack) {
            send.decisionTimer->cancel();
        }
    }
}

/// The leader does not know yet that these servers are evacuated.
void Placements::avoidEvacuated(const std::string &service, WorkItem &item) const
{
    const ServiceView *view = m_views.find(service);
    if (view == nullptr) {
        return;
    }
    for (const UpstreamServer &server : view->servers) {
        if (m_evacuatedZones.isEvacuated(server)) {
            item.avoid.push_back(server.id);
        }
    }
}

/// Gives back a permit that can't be used.
void Placements::returnPermit(const Placement &placement)
{
    const auto send = m_sends.find(placement.ticket);
    if (send == m_sends.end()) {
        return;
    }
    spdlog::info("request: event=permit_returned service={} server={} by_leader={}",
                 escapeLogValue(send->second.service), escapeLogValue(placement.server.id), placement.byLeader);
    if (const auto link = send->second.link.lock()) {
        tellLeaving(*link, send->second.service);
    }
    finish(placement.ticket, WorkEnd::Abandoned, Duration::zero());
}

bool Placements::addLeaving(const std::string &service, const UpstreamServer &server, LeavingSource source)
{
    return m_leaving.add({service, incarnationOf(server), source, Clock::now()});
}

void Placements::addPause(const std::string &service, const std::string &server, Milliseconds pause)
{
    const TimePoint now = Clock::now();
    if (!m_pauses.add(service, server, pause, now)) {
        return;
    }
    m_servicesToReview.insert(service);
    const auto until = m_pauses.pausedUntil(server, now).value_or(now);
    spdlog::info("{}", pauseLogText(service, server, wallTimeOf(until), pause));
}

void Placements::onServerNotice(const std::string &service, const UpstreamServer &server, const ServerNotice &notice)
{
    addPause(service, server.id, notice.pause);
    if (!notice.isLeaving || !addLeaving(service, server, LeavingSource::Answer)) {
        return;
    }
    if (const LeavingServer *leaving = m_leaving.find(incarnationOf(server))) {
        spdlog::info("{}", leavingLogText(*leaving, wallTimeOf(leaving->since), m_settings.host));
    }
    if (LeaderLink *link = leaderLinkOf(service)) {
        tellLeaving(*link, service);
    }
    if (const ServiceView *view = m_views.find(service)) {
        useView(*view, Clock::now());
    }
}

/// Tells the leader all that this host knows: the leader may be new, and a repetition changes nothing.
void Placements::tellLeaving(LeaderLink &link, const std::string &service) const
{
    const TimePoint now = Clock::now();
    proto::HostFrame frame;
    for (const LeavingServer &leaving : m_leaving.serversOf(service)) {
        *frame.add_leaving() = toProto(leaving, now);
    }
    if (frame.leaving_size() > 0) {
        link.send(frame);
    }
}

/// @param wanted the request
/// @param item the request with the paused servers among those to avoid
/// @return the decision; empty when reviewWaiting() has taken the request back
Awaitable<std::optional<DispatchDecision>> Placements::acquireOnce(std::string service, WorkItem wanted, WorkItem item,
                                                                   Ticket &ticket)
{
    const Ticket mine = ++m_lastTicket;
    ticket = mine;
    m_services.insert(service);
    Send &send = m_sends[mine];
    send.service = service;
    send.wanted = std::move(wanted);
    send.item = std::move(item);
    send.item.ticket = mine;
    send.decisionTimer = std::make_unique<asio::steady_timer>(m_executor, send.item.deadline);
    if (LeaderLink *link = leaderLinkForAsk(service, Clock::now())) {
        send.link = link->weak_from_this();
        proto::HostFrame frame;
        *frame.add_asks() = toProto(service, send.item, Clock::now());
        link->send(frame);
    } else {
        submitLocally(send);
    }
    if (!send.decision) {
        ErrorCode ignored;
        co_await send.decisionTimer->async_wait(awaitInto(ignored));
    }
    if (!send.decision && send.isTakenBack) {
        spdlog::info("request: event=taken_back service={} reason=\"the servers that could take it pause\"",
                     escapeLogValue(service));
        report(send, mine, WorkEnd::Abandoned, Duration::zero());
        m_sends.erase(mine);
        co_return std::nullopt;
    }
    // No decision: the caller has disconnected or the deadline has passed.
    DispatchDecision decision = send.decision.value_or(Rejection{mine, RejectReason::TooLate, Duration::zero()});
    if (std::holds_alternative<Rejection>(decision)) {
        if (!send.decision) {
            report(send, mine, WorkEnd::Abandoned, Duration::zero());
        }
        m_sends.erase(mine);
    }
    co_return decision;
}

void Placements::submitLocally(Send &send)
{
    send.link.reset();
    Dispatcher &dispatcher = localDispatcher(send.service);
    dispatcher.submit(send.item, Clock::now());
    deliverLocalDecisions(dispatcher);
}

void Placements::deliverLocalDecisions(Dispatcher &dispatcher)
{
    for (DispatchDecision &decision : dispatcher.take()) {
        const Ticket ticket = std::visit(
            [](const auto &each) {
                return each.ticket;
            },
            decision);
        if (m_sends.contains(ticket)) {
            decide(ticket, std::move(decision));
        } else if (std::holds_alternative<Placement>(decision)) {
            dispatcher.finish(ticket, WorkEnd::Abandoned, Duration::zero(), Clock::now());
        }
    }
}

void Placements::decide(Ticket ticket, DispatchDecision decision)
{
    const auto position = m_sends.find(ticket);
    if (position == m_sends.end() || position->second.decision) {
        return;
    }
    Send &send = position->second;
    if (const auto *placement = std::get_if<Placement>(&decision)) {
        send.server = placement->server.id;
    }
    send.decision = std::move(decision);
    send.decisionTimer->cancel();
}

void Placements::report(const Send &send, Ticket ticket, WorkEnd end, Duration took,
                        const std::optional<ServerLoad> &load)
{
    if (const auto link = send.link.lock()) {
        proto::HostFrame frame;
        proto::Done *done = frame.add_dones();
        done->set_ticket(ticket);
        done->set_service(send.service);
        done->set_end(static_cast<std::uint32_t>(end));
        const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(took).count();
        done->set_took_us(static_cast<std::uint32_t>(micros));
        if (load) {
            *done->mutable_load() = toProto(*load);
        }
        link->send(frame);
        return;
    }
    Dispatcher &dispatcher = localDispatcher(send.service);
    dispatcher.finish(ticket, end, took, Clock::now(), load);
    deliverLocalDecisions(dispatcher);
}

void Placements::finish(Ticket ticket, WorkEnd end, Duration took, const std::optional<ServerLoad> &load)
{
    const auto position = m_sends.find(ticket);
    if (position == m_sends.end()) {
        return;
    }
    const Send send = std::move(position->second);
    m_sends.erase(position);
    const bool wasPlacedByLeader = !send.link.expired();
    if (wasPlacedByLeader && end == WorkEnd::Done) {
        localDispatcher(send.service).learn(send.item, send.server, took, load, Clock::now());
    }
    report(send, ticket, end, took, load);
}

void Placements::abandon(Ticket ticket)
{
    const auto position = m_sends.find(ticket);
    if (position != m_sends.end()) {
        position->second.isTakenBack = false; // not to be asked for again
        position->second.decisionTimer->cancel();
    }
}

void Placements::refuseWaiting()
{
    constexpr Milliseconds RetryAfter(100); ///< short: another host may accept the request right away
    for (auto &[ticket, send] : m_sends) {
        if (!send.decision) {
            report(send, ticket, WorkEnd::Abandoned, Duration::zero());
            decide(ticket, Rejection{ticket, RejectReason::Stopping, RetryAfter});
        }
    }
}

void Placements::setLeaders(const std::map<std::string, Endpoint> &leaders)
{
    if (leaders == m_leaders) {
        return;
    }
    std::erase_if(m_nextAskOfDenier, [this, &leaders](const auto &entry) {
        const auto before = m_leaders.find(entry.first);
        const auto after = leaders.find(entry.first);
        return before == m_leaders.end() || after == leaders.end() || !(before->second == after->second);
    });
    const std::map<std::string, Endpoint> previous = std::exchange(m_leaders, leaders);
    for (const auto &[service, endpoint] : leaders) {
        m_services.insert(service);
    }
    updateLinks();
    for (const auto &[service, endpoint] : leaders) {
        const auto before = previous.find(service);
        const bool isNew = before == previous.end() || !(before->second == endpoint);
        LeaderLink *link = isNew ? leaderLinkOf(service) : nullptr;
        if (link != nullptr) {
            tellLeaving(*link, service);
        }
    }
}

/// Keeps one link to each leader, and to each seed while it may know what this host does not. Closes all others.
void Placements::updateLinks()
{
    std::set<Endpoint> wanted;
    if (!m_isConfigKnown || m_leaders.empty()) {
        wanted = m_seeds;
    }
    for (const auto &[service, endpoint] : m_leaders) {
        wanted.insert(endpoint);
    }
    for (auto link = m_links.begin(); link != m_links.end();) {
        if (wanted.contains(link->first)) {
            ++link;
            continue;
        }
        const std::shared_ptr<LeaderLink> left = link->second;
        link = m_links.erase(link);
        left->stop();
        onLinkLost(*left);
    }
    for (const Endpoint &endpoint : wanted) {
        connectTo(endpoint);
    }
}

void Placements::connectToSeeds(const std::vector<Endpoint> &seeds)
{
    m_seeds.insert(seeds.begin(), seeds.end());
    updateLinks();
}

void Placements::setConfig(std::shared_ptr<const GatewayConfig> config)
{
    m_config = std::move(config);
    for (const auto &[service, dispatcher] : m_localDispatchers) {
        setWarmupLimits(service, *dispatcher);
    }
    setConfigKnown();
}

void Placements::setConfigKnown()
{
    if (!m_isConfigKnown) {
        m_isConfigKnown = true;
        updateLinks();
    }
}

void Placements::setWarmupLimits(const std::string &service, Dispatcher &dispatcher) const
{
    const GatewayService *config = m_config == nullptr ? nullptr : m_config->service(service);
    if (config != nullptr) {
        const double share = localWarmupShare(m_isHostCountKnown ? m_hostCount : 0);
        dispatcher.pace().setLimits(warmupLimitsOf(*config, m_settings), share);
    }
}

void Placements::connectTo(const Endpoint &endpoint)
{
    if (m_links.contains(endpoint)) {
        return;
    }
    LeaderLink::Handlers handlers;
    handlers.onOpen = [this](LeaderLink &link) {
        onLinkOpen(link);
    };
    handlers.onFrame = [this](LeaderLink &link, const proto::LeaderFrame &frame) {
        onFrame(link, frame);
    };
    handlers.onLost = [this](LeaderLink &link) {
        onLinkLost(link);
    };
    const auto link = std::make_shared<LeaderLink>(m_executor, m_settings, endpoint, std::move(handlers));
    m_links[endpoint] = link;
    link->start();
}

/// Reports the running sends to a newly connected leader, so that it counts their slots as busy.
void Placements::onLinkOpen(LeaderLink &link)
{
    const TimePoint now = Clock::now();
    proto::HostFrame frame;
    for (auto &[ticket, send] : m_sends) {
        const auto leader = m_leaders.find(send.service);
        const bool isLedThere = leader != m_leaders.end() && leader->second == link.leader();
        if (!isLedThere || send.server.empty() || !send.link.expired()) {
            continue;
        }
        proto::Ask ask = toProto(send.service, send.item, now);
        ask.set_running_on(send.server);
        *frame.add_asks() = std::move(ask);
        localDispatcher(send.service).finish(ticket, WorkEnd::Abandoned, Duration::zero(), now);
        send.link = link.weak_from_this();
    }
    for (const auto &[service, leader] : m_leaders) {
        if (leader == link.leader()) {
            tellLeaving(link, service);
        }
    }
    if (frame.asks_size() > 0) {
        link.send(frame);
    }
}

void Placements::onLinkLost(LeaderLink &link)
{
    std::vector<Ticket> waiting;
    for (auto &[ticket, send] : m_sends) {
        if (send.link.lock().get() != &link) {
            continue;
        }
        send.link.reset();
        if (!send.decision) {
            waiting.push_back(ticket);
        }
    }
    for (const Ticket ticket : waiting) {
        submitLocally(m_sends.at(ticket));
    }
}

/// Each update is posted to another thread, so updates that only confirm the known state are rate-limited.
void Placements::forwardStoreUpdate(LeaderLink &link, const proto::LeaderFrame &frame)
{
    constexpr Milliseconds ConfirmInterval(200);
    StoreUpdate update;
    update.configVersion = frame.config_version();
    if (frame.has_store_age_ms()) {
        update.storeReadTime = Clock::now() - Milliseconds(frame.store_age_ms());
    }
    if (frame.has_leaders()) {
        update.leaders = fromProto(frame.leaders());
    }
    if (frame.has_evacuations()) {
        update.evacuations = fromProto(frame.evacuations());
    }
    if (frame.has_config()) {
        update.change = fromProto(frame.config());
    }
    if (update.configVersion >= m_lastForwarded.configVersion) {
        m_newestConfigLink = link.weak_from_this();
    }
    const bool isNew = update.leaders || update.evacuations || update.change
        || update.configVersion > m_lastForwarded.configVersion
        || update.storeReadTime - m_lastForwarded.storeReadTime >= ConfirmInterval;
    if (!isNew || !onStoreUpdate) {
        return;
    }
    m_lastForwarded.configVersion = std::max(m_lastForwarded.configVersion, update.configVersion);
    m_lastForwarded.storeReadTime = std::max(m_lastForwarded.storeReadTime, update.storeReadTime);
    onStoreUpdate(std::move(update));
}

void Placements::requestConfig(std::uint64_t base)
{
    if (const auto link = m_newestConfigLink.lock()) {
        proto::HostFrame frame;
        frame.set_config_base(base);
        link->send(frame);
    }
}

void Placements::onFrame(LeaderLink &link, const proto::LeaderFrame &frame)
{
    setHostCount(frame.hosts());
    if (frame.has_evacuations()) {
        setEvacuations(fromProto(frame.evacuations()));
    }
    for (const proto::View &view : frame.views()) {
        m_nextAskOfDenier.erase(view.service());
        setView(fromProto(view));
    }
    for (const proto::ViewChange &message : frame.view_changes()) {
        m_nextAskOfDenier.erase(message.service());
        const ViewChange change = fromProto(message);
        const ServiceView *known = m_views.find(change.service);
        setView(applyChange(known == nullptr ? ServiceView() : *known, change));
    }
    for (const proto::KnownView &known : frame.known_views()) {
        adoptView(fromProto(known));
    }
    for (const proto::DeputyConsent &ask : frame.deputy_asks()) {
        if (onDeputyAsk) {
            onDeputyAsk(toDeputyAsk(ask, link.leader()));
        }
    }
    if (frame.has_lease_age_ms()) {
        m_leaseRenewals[link.leader()] = Clock::now() - Milliseconds(frame.lease_age_ms());
    }
    if (frame.deputy_of_size() > 0 && onDeputyOf) {
        onDeputyOf({frame.deputy_of().begin(), frame.deputy_of().end()});
    }
    if (frame.wanted_views_size() > 0) {
        proto::HostFrame reply;
        for (const KnownView &known : knownViews({frame.wanted_views().begin(), frame.wanted_views().end()})) {
            *reply.add_known_views() = toProto(known);
        }
        link.send(reply);
    }
    for (const proto::Permit &permit : frame.permits()) {
        const auto send = m_sends.find(permit.ticket());
        if (send != m_sends.end()) {
            m_nextAskOfDenier.erase(send->second.service);
            decide(permit.ticket(), fromProto(permit));
        }
    }
    for (const proto::Refusal &refusal : frame.refusals()) {
        const auto position = m_sends.find(refusal.ticket());
        if (position == m_sends.end()) {
            continue;
        }
        if (!refusal.not_leader()) {
            m_nextAskOfDenier.erase(position->second.service);
            decide(refusal.ticket(), fromProto(refusal));
            continue;
        }
        m_nextAskOfDenier.try_emplace(position->second.service, Clock::now());
        if (!position->second.decision) {
            position->second.item.isRepeatCounted = refusal.repeat_counted();
            submitLocally(position->second);
        } else {
            position->second.link.reset();
        }
    }
    forwardStoreUpdate(link, frame);
}

/// A new leader's first frames, which bring its views, count only the hosts that have connected so far.
void Placements::setHostCount(std::uint32_t hosts)
{
    const bool isNew = m_hostCount != std::max<std::uint32_t>(1, hosts) || (hosts > 0 && !m_isHostCountKnown);
    m_isHostCountKnown = m_isHostCountKnown || hosts > 0;
    m_hostCount = std::max<std::uint32_t>(1, hosts);
    if (!isNew) {
        return;
    }
    for (const auto &[service, dispatcher] : m_localDispatchers) {
        if (m_views.find(service) != nullptr) {
            dispatcher->setSlotShare(std::min(1.0, LocalShareFactor / m_hostCount));
        }
        setWarmupLimits(service, *dispatcher);
    }
}

void Placements::setView(const ServiceView &view)
{
    m_services.insert(view.service);
    const TimePoint now = Clock::now();
    m_views.set(view, now);
    useView(view, now);
    if (!m_evacuatedZones.evacuations().zones.empty()) {
        reviewEvacuations();
    }
}

void Placements::setEvacuations(const Evacuations &evacuations)
{
    if (!m_evacuatedZones.update(evacuations)) {
        return;
    }
    reviewEvacuations();
    const TimePoint now = Clock::now();
    for (const std::string &service : m_views.services()) {
        useView(*m_views.find(service), now);
    }
}

/// Whether an evacuation leaves servers may change with each view.
void Placements::reviewEvacuations()
{
    if (m_evacuatedZones.setOccupied(m_views.zones())) {
        const TimePoint now = Clock::now();
        for (const std::string &service : m_views.services()) {
            useView(*m_views.find(service), now);
        }
    }
    for (const EvacuationReport &report : m_evacuatedZones.takeReports()) {
        spdlog::info("{}", evacuationLogText(report, "host"));
        count("evacuation_" + std::string(describe(report.state)));
    }
}

void Placements::count(const std::string &event) const
{
    if (onEvent) {
        onEvent(event);
    }
}

/// Makes the local dispatcher work with this view.
void Placements::useView(const ServiceView &view, TimePoint now)
{
    for (const UpstreamServer &server : view.servers) {
        if (server.draining) {
            addLeaving(view.service, server, LeavingSource::List);
        }
    }
    std::vector<UpstreamServer> servers = view.servers;
    m_leaving.markIn(servers);
    m_evacuatedZones.markIn(servers);
    if (m_pauses.isAnyPaused(now)) {
        m_servicesToReview.insert(view.service);
    }
    Dispatcher &dispatcher = localDispatcher(view.service);
    dispatcher.setSlotShare(std::min(1.0, LocalShareFactor / m_hostCount));
    setWarmupLimits(view.service, dispatcher);
    dispatcher.setServers(servers, now);
    if (view.keyed) {
        dispatcher.setOwners(view.owners, now);
    }
    deliverLocalDecisions(dispatcher);
}

void Placements::setStoreView(const ServiceView &view)
{
    m_services.insert(view.service);
    if (!isLed(view.service)) {
        setView(view);
    }
}

void Placements::adoptView(const KnownView &known)
{
    const TimePoint now = Clock::now();
    if (!isLed(known.view.service) && m_views.adopt(known, now)) {
        spdlog::info("link: event=view_adopted service={} servers={} age_ms={}", escapeLogValue(known.view.service),
                     known.view.servers.size(), known.age.count());
        m_services.insert(known.view.service);
        useView(known.view, now);
    }
}

std::vector<KnownView> Placements::knownViews(const std::vector<std::string> &services) const
{
    std::vector<KnownView> views = m_views.offer(services, Clock::now());
    for (KnownView &known : views) {
        m_leaving.markIn(known.view.servers);
        m_evacuatedZones.markIn(known.view.servers);
    }
    return views;
}

DeputyAsk Placements::toDeputyAsk(const proto::DeputyConsent &ask, const Endpoint &leader) const
{
    DeputyAsk result{ask.service(), ask.term(), {ask.run(), ask.epoch()}, Milliseconds(ask.outage_ms()), {}, leader};
    for (const auto &[endpoint, renewedAt] : m_leaseRenewals) {
        if (!(endpoint == leader)) {
            result.othersAnsweredAt = std::max(result.othersAnsweredAt.value_or(renewedAt), renewedAt);
        }
    }
    return result;
}

void Placements::consentAsDeputy(const DeputyAsk &ask)
{
    const auto link = m_links.find(ask.leader);
    if (link == m_links.end()) {
        return;
    }
    proto::HostFrame frame;
    proto::DeputyConsent *consent = frame.add_consents();
    consent->set_service(ask.service);
    consent->set_term(ask.term);
    consent->set_run(ask.deputy.run);
    consent->set_epoch(ask.deputy.epoch);
    link->second->send(frame);
}

void Placements::requestMissingViews(TimePoint now)
{
    std::vector<std::string> leaderless;
    for (const std::string &service : m_services) {
        if (isLed(service)) {
            m_views.confirm(service, now);
        } else {
            leaderless.push_back(service);
        }
    }
    m_needsStoreViews = !leaderless.empty();
    const std::vector<std::string> missing = m_views.missing(leaderless, now);
    if (missing.empty()) {
        return;
    }
    proto::HostFrame frame;
    for (const std::string &service : missing) {
        frame.add_wanted_views(service);
    }
    for (const auto &[endpoint, link] : m_links) {
        link->send(frame);
    }
    if (onViewsMissing) {
        onViewsMissing(missing);
    }
}

void Placements::advance()
{
    const TimePoint now = Clock::now();
    for (const auto &[endpoint, link] : m_links) {
        link->closeIfSilent(now);
    }
    if (!m_servicesToReview.empty()) {
        reviewWaiting(now);
    }
    for (auto &[service, dispatcher] : m_localDispatchers) {
        dispatcher->pace().advance(TimePoint(), now);
        const std::vector<WarmupEvent> events = dispatcher->pace().takeEvents();
        if (!isLed(service)) {
            logWarmupEvents(service, events, "host");
        }
        dispatcher->advance(now);
        deliverLocalDecisions(*dispatcher);
    }
    requestMissingViews(now);
}

bool Placements::needsStoreViews() const
{
    return m_needsStoreViews;
}

} // namespace snipevalve
