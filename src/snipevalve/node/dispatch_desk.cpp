#include "snipevalve/node/dispatch_desk.hpp"

#include <spdlog/spdlog.h>

#include "snipevalve/core/log_text.hpp"
#include "snipevalve/net/log_failure.hpp"

namespace snipevalve {

namespace {

/// A host that hears nothing for `LeaderSilence` (see LeaderLinks) decides by itself; this leaves it three heartbeats.
constexpr Milliseconds HeartbeatInterval(300);
/// Views are for the time without a leader only, so changes of keys are bundled.
constexpr Milliseconds ViewInterval(500);

/// The leader's part of the repeats that the operators allow beside the ratio; the rest is for hosts that have to
/// decide by themselves.
constexpr double LeaderSlackShare = 0.6;

/// Versions kept to tell hosts what has changed; a host that is further behind gets a whole configuration.
constexpr std::size_t KeptConfigs = 8;

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
{
}

Awaitable<void> LeaderDispatcher::serve(Tcp::acceptor &acceptor)
{
    while (acceptor.is_open()) {
        ErrorCode error;
        Tcp::socket socket = co_await acceptor.async_accept(awaitInto(error));
        if (!error) {
            asio::co_spawn(m_executor, serveHost(std::make_shared<FrameChannel>(std::move(socket))),
                           LogFailure("link"));
        }
    }
}

Awaitable<void> LeaderDispatcher::serveHost(std::shared_ptr<FrameChannel> channel)
{
    const auto host = std::make_shared<Host>();
    host->channel = channel;
    host->number = ++m_lastHost;
    m_hosts.insert(host);
    for (const auto &[service, led] : m_led) {
        if (led.isViewSent) {
            *host->pending.add_views() = toProto(led.sentView); // the changes that follow start there
        }
    }
    std::string bytes;
    while (co_await channel->receive(bytes)) {
        proto::HostFrame frame;
        if (!frame.ParseFromString(bytes)) {
            spdlog::warn("link: event=closed host={} reason=\"a frame can't be read\"", host->name);
            break;
        }
        try {
            onFrame(host, frame);
        } catch (const std::exception &error) {
            spdlog::error("link: event=closed host={} reason=\"{}\"", escapeLogValue(host->name),
                          escapeQuotedText(error.what()));
            break;
        }
    }
    channel->close();
    onHostGone(host);
}

void LeaderDispatcher::onFrame(const std::shared_ptr<Host> &host, const proto::HostFrame &frame)
{
    const TimePoint now = Clock::now();
    if (!frame.host().empty()) {
        host->name = frame.host();
        host->zone = frame.zone();
        spdlog::info("link: event=host_joined host={} hosts={}", host->name, m_hosts.size());
    }
    if (frame.has_config_base()) {
        addConfigChange(*host, frame.config_base());
    }
    for (const proto::Done &done : frame.dones()) {
        onDone(host, done, now);
    }
    for (const proto::Ask &ask : frame.asks()) {
        onAsk(host, ask, now);
    }
    flush();
}

void LeaderDispatcher::onAsk(const std::shared_ptr<Host> &host, const proto::Ask &ask, TimePoint now)
{
    const auto led = m_led.find(ask.service());
    if (led == m_led.end()) {
        proto::Refusal *refusal = host->pending.add_refusals();
        refusal->set_ticket(ask.ticket());
        refusal->set_not_leader(true);
        return;
    }
    const Ticket ticket = ++m_lastTicket;
    m_origins[ticket] = {host, ask.ticket(), ask.service()};
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
        onKeyedAsk(ask.service(), *item.key, dispatcher.expectedWork(item));
    }
    dispatcher.submit(std::move(item), now);
    collect(led->second);
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
    const auto led = m_led.find(done.service());
    if (led != m_led.end()) {
        led->second.dispatcher->finish(ticket, toWorkEnd(done.end()), std::chrono::microseconds(done.took_us()), now);
        collect(led->second);
    }
}

void LeaderDispatcher::onHostGone(const std::shared_ptr<Host> &host)
{
    spdlog::info("link: event=host_left host={} tickets={}", host->name, host->tickets.size());
    m_hosts.erase(host);
    const TimePoint now = Clock::now();
    // What is decided below may concern other requests of this host, which would change its tickets.
    std::map<Ticket, Ticket> tickets;
    tickets.swap(host->tickets);
    for (const auto &[hostTicket, ticket] : tickets) {
        const auto origin = m_origins.find(ticket);
        if (origin == m_origins.end()) {
            continue;
        }
        const auto led = m_led.find(origin->second.service);
        m_origins.erase(origin);
        if (led != m_led.end()) {
            led->second.dispatcher->finish(ticket, WorkEnd::Abandoned, Duration::zero(), now);
        }
    }
    for (auto &[service, led] : m_led) {
        collect(led);
    }
    flush();
}

/// Puts the dispatcher's decisions into the frames of the hosts that asked.
void LeaderDispatcher::collect(Led &led)
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
        const bool isRelayDue = addRelayed(*host);
        const bool hasNews = isRelayDue || pending.has_config()
            || pending.permits_size() + pending.refusals_size() + pending.views_size() > 0;
        if (!hasNews && now - host->sentAt < HeartbeatInterval) {
            continue;
        }
        if (m_current != TimePoint()) {
            const auto age = std::chrono::duration_cast<Milliseconds>(now - m_current);
            host->pending.set_store_age_ms(static_cast<std::uint32_t>(age.count()));
        }
        host->pending.set_hosts(static_cast<std::uint32_t>(m_hosts.size()));
        host->channel->send(host->pending);
        host->pending.Clear();
        host->sentAt = now;
    }
}

void LeaderDispatcher::lead(const std::string &service)
{
    DispatcherOptions options;
    options.repeats.ratio = m_settings.retryRatio;
    options.repeats.window = m_settings.retryWindow;
    options.repeats.slack = m_settings.retrySlack * LeaderSlackShare;
    options.seed = m_seed;
    Led &led = m_led[service];
    led.dispatcher = std::make_unique<Dispatcher>(options);
    led.view.service = service;
    led.sentView.service = service;
}

void LeaderDispatcher::stopLeading(const std::string &service)
{
    const auto led = m_led.find(service);
    if (led == m_led.end()) {
        return;
    }
    for (auto origin = m_origins.begin(); origin != m_origins.end();) {
        if (origin->second.service != service) {
            ++origin;
            continue;
        }
        // A host takes this as an order to decide by itself; for a request that has been placed it means nothing.
        proto::Refusal *refusal = origin->second.host->pending.add_refusals();
        refusal->set_ticket(origin->second.ticket);
        refusal->set_not_leader(true);
        origin->second.host->tickets.erase(origin->second.ticket);
        origin = m_origins.erase(origin);
    }
    m_led.erase(led);
    flush();
}

void LeaderDispatcher::setView(const ServiceView &view)
{
    const auto led = m_led.find(view.service);
    if (led == m_led.end()) {
        return;
    }
    const TimePoint now = Clock::now();
    const bool serversChanged = led->second.view.servers != view.servers;
    const bool ownersChanged = led->second.view.keyed != view.keyed || !(led->second.view.owners == view.owners);
    if (serversChanged) {
        led->second.dispatcher->setServers(view.servers, now);
    }
    if (view.keyed && ownersChanged) {
        led->second.dispatcher->setOwners(view.owners, now);
    }
    led->second.isViewNew = led->second.isViewNew || serversChanged || ownersChanged;
    led->second.view = view;
    collect(led->second);
    flush();
}

void LeaderDispatcher::setOrphanedRanges(const std::string &service, std::vector<OrphanedRange> ranges)
{
    const auto led = m_led.find(service);
    if (led != m_led.end()) {
        led->second.dispatcher->setOrphanedRanges(std::move(ranges));
    }
}

void LeaderDispatcher::setConfig(std::shared_ptr<const GatewayConfig> config)
{
    m_configs.push_back(std::move(config));
    if (m_configs.size() > KeptConfigs) {
        m_configs.pop_front();
    }
    flush();
}

void LeaderDispatcher::setLeaders(LeaderTable leaders)
{
    m_leaders = std::move(leaders);
    flush();
}

void LeaderDispatcher::setCurrent(TimePoint current)
{
    m_current = current;
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

/// @return whether the host has to be told now
bool LeaderDispatcher::addRelayed(Host &host) const
{
    host.pending.set_config_version(configVersion());
    const bool isConfigNew = host.configVersion != configVersion();
    host.configVersion = configVersion();
    const bool areLeadersNew = host.leadersRevision != m_leaders.revision;
    if (areLeadersNew) {
        *host.pending.mutable_leaders() = toProto(m_leaders);
        host.leadersRevision = m_leaders.revision;
    }
    return isConfigNew || areLeadersNew;
}

void LeaderDispatcher::sendViews(TimePoint now)
{
    for (auto &[service, led] : m_led) {
        if (!led.isViewNew || now - led.viewSentAt < ViewInterval) {
            continue;
        }
        led.isViewNew = false;
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
    for (auto &[service, led] : m_led) {
        led.dispatcher->advance(now);
        collect(led);
    }
    sendViews(now);
    flush();
}

const Dispatcher *LeaderDispatcher::dispatcher(const std::string &service) const
{
    const auto led = m_led.find(service);
    return led == m_led.end() ? nullptr : led->second.dispatcher.get();
}

} // namespace snipevalve
