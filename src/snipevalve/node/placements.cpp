#include "snipevalve/node/placements.hpp"

#include <algorithm>

#include <spdlog/spdlog.h>

namespace snipevalve {

namespace {

/// The part of a server's slots that a host fills by itself: more than its even share, since hosts are unevenly loaded,
/// and rounded up to one slot.
constexpr double LocalShareFactor = 2.0;
/// The share before any leader has told how many hosts there are.
constexpr double FirstShare = 0.34;

} // namespace

Placements::Placements(asio::any_io_executor executor, const NodeSettings &settings, std::uint64_t seed)
    : m_executor(std::move(executor))
    , m_settings(settings)
    , m_seed(seed)
{
}

Placements::~Placements()
{
    for (const auto &[endpoint, link] : m_links) {
        link->stop();
    }
}

Dispatcher &Placements::local(const std::string &service)
{
    std::unique_ptr<Dispatcher> &dispatcher = m_local[service];
    if (!dispatcher) {
        DispatcherOptions options;
        options.repeats.ratio =
            m_settings.retryRatio / 2; // the leader's dispatcher may have used the window's other half
        options.repeats.window = m_settings.retryWindow;
        options.slotShare = FirstShare;
        options.seed = m_seed;
        dispatcher = std::make_unique<Dispatcher>(options);
    }
    return *dispatcher;
}

LeaderLink *Placements::openLink(const std::string &service)
{
    const auto leader = m_leaders.find(service);
    if (leader == m_leaders.end()) {
        return nullptr;
    }
    const auto link = m_links.find(leader->second);
    return link != m_links.end() && link->second->isOpen() ? link->second.get() : nullptr;
}

Awaitable<DispatchDecision> Placements::acquire(std::string service, WorkItem item, Ticket &ticket)
{
    const Ticket mine = ++m_lastTicket;
    ticket = mine;
    item.ticket = mine;
    m_services.insert(service);
    Send &send = m_sends[mine];
    send.service = service;
    send.item = std::move(item);
    send.waiting = std::make_unique<asio::steady_timer>(m_executor, send.item.deadline);
    if (LeaderLink *link = openLink(service)) {
        send.link = link->weak_from_this();
        proto::HostFrame frame;
        *frame.add_asks() = toProto(service, send.item, Clock::now());
        link->send(frame);
    } else {
        submitLocally(send);
    }
    if (!send.decision) {
        ErrorCode ignored;
        co_await send.waiting->async_wait(awaitInto(ignored));
    }
    // Without a decision the caller has gone, or the deadline has passed.
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
    Dispatcher &dispatcher = local(send.service);
    dispatcher.submit(send.item, Clock::now());
    deliverLocal(dispatcher);
}

void Placements::deliverLocal(Dispatcher &dispatcher)
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
    send.waiting->cancel();
}

void Placements::report(const Send &send, Ticket ticket, WorkEnd end, Duration took)
{
    if (const auto link = send.link.lock()) {
        proto::HostFrame frame;
        proto::Done *done = frame.add_dones();
        done->set_ticket(ticket);
        done->set_service(send.service);
        done->set_end(static_cast<std::uint32_t>(end));
        const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(took).count();
        done->set_took_us(static_cast<std::uint32_t>(micros));
        link->send(frame);
        return;
    }
    Dispatcher &dispatcher = local(send.service);
    dispatcher.finish(ticket, end, took, Clock::now());
    deliverLocal(dispatcher);
}

void Placements::finish(Ticket ticket, WorkEnd end, Duration took)
{
    const auto position = m_sends.find(ticket);
    if (position == m_sends.end()) {
        return;
    }
    const Send send = std::move(position->second);
    m_sends.erase(position);
    const bool isOthers = !send.link.expired();
    if (isOthers && end == WorkEnd::Done) {
        local(send.service).learn(send.item.workClass, took);
    }
    report(send, ticket, end, took);
}

void Placements::abandon(Ticket ticket)
{
    const auto position = m_sends.find(ticket);
    if (position != m_sends.end()) {
        position->second.waiting->cancel();
    }
}

void Placements::refuseWaiting()
{
    constexpr Milliseconds RetryAfter(100); ///< another host may have room at once
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
    m_leaders = leaders;
    std::set<Endpoint> wanted;
    for (const auto &[service, endpoint] : leaders) {
        m_services.insert(service);
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
        openLinkTo(endpoint);
    }
}

void Placements::askSeeds(const std::vector<Endpoint> &seeds)
{
    for (const Endpoint &seed : seeds) {
        openLinkTo(seed);
    }
}

void Placements::openLinkTo(const Endpoint &endpoint)
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

/// Tells a leader what already runs, so that it counts those slots as busy.
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
        local(send.service).finish(ticket, WorkEnd::Abandoned, Duration::zero(), now);
        send.link = link.weak_from_this();
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

/// News go to another thread, so those that only confirm what is known are passed on now and then.
void Placements::passNews(LeaderLink &link, const proto::LeaderFrame &frame)
{
    constexpr Milliseconds ConfirmInterval(200);
    StoreUpdate news;
    news.configVersion = frame.config_version();
    if (frame.has_store_age_ms()) {
        news.current = Clock::now() - Milliseconds(frame.store_age_ms());
    }
    if (frame.has_leaders()) {
        news.leaders = fromProto(frame.leaders());
    }
    if (frame.has_config()) {
        news.change = fromProto(frame.config());
    }
    if (news.configVersion >= m_passed.configVersion) {
        m_newest = link.weak_from_this();
    }
    const bool isNew = news.leaders || news.change || news.configVersion > m_passed.configVersion
        || news.current - m_passed.current >= ConfirmInterval;
    if (!isNew || !onStoreUpdate) {
        return;
    }
    m_passed.configVersion = std::max(m_passed.configVersion, news.configVersion);
    m_passed.current = std::max(m_passed.current, news.current);
    onStoreUpdate(std::move(news));
}

void Placements::requestConfig(std::uint64_t base)
{
    if (const auto link = m_newest.lock()) {
        proto::HostFrame frame;
        frame.set_config_base(base);
        link->send(frame);
    }
}

void Placements::onFrame(LeaderLink &link, const proto::LeaderFrame &frame)
{
    m_hosts = std::max<std::uint32_t>(1, frame.hosts());
    for (const proto::View &view : frame.views()) {
        setView(fromProto(view));
    }
    for (const proto::ViewChange &message : frame.view_changes()) {
        const ViewChange change = fromProto(message);
        setView(applyChange(m_views[change.service], change));
    }
    for (const proto::Permit &permit : frame.permits()) {
        if (m_sends.contains(permit.ticket())) {
            decide(permit.ticket(), fromProto(permit));
        }
    }
    for (const proto::Refusal &refusal : frame.refusals()) {
        const auto position = m_sends.find(refusal.ticket());
        if (position == m_sends.end()) {
            continue;
        }
        if (!refusal.not_leader()) {
            decide(refusal.ticket(), fromProto(refusal));
        } else if (!position->second.decision) {
            submitLocally(position->second);
        } else {
            position->second.link.reset();
        }
    }
    passNews(link, frame);
}

void Placements::setView(const ServiceView &view)
{
    m_services.insert(view.service);
    m_views[view.service] = view;
    Dispatcher &dispatcher = local(view.service);
    const TimePoint now = Clock::now();
    dispatcher.setSlotShare(std::min(1.0, LocalShareFactor / m_hosts));
    dispatcher.setServers(view.servers, now);
    if (view.keyed) {
        dispatcher.setOwners(view.owners, now);
    }
    deliverLocal(dispatcher);
}

void Placements::setStoreView(const ServiceView &view)
{
    m_services.insert(view.service);
    if (openLink(view.service) == nullptr) {
        setView(view);
    }
}

void Placements::advance()
{
    const TimePoint now = Clock::now();
    for (const auto &[endpoint, link] : m_links) {
        link->checkSilence(now);
    }
    for (auto &[service, dispatcher] : m_local) {
        dispatcher->advance(now);
        deliverLocal(*dispatcher);
    }
    const bool isLed = std::all_of(m_services.begin(), m_services.end(), [this](const std::string &service) {
        return openLink(service) != nullptr;
    });
    m_needsStoreViews = !isLed;
}

bool Placements::needsStoreViews() const
{
    return m_needsStoreViews;
}

} // namespace snipevalve
