#include "snipevalve/model/play.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <numeric>
#include <queue>
#include <random>

#include "snipevalve/dispatch/dispatcher.hpp"

namespace snipevalve::model {

namespace {

/// How often a dispatcher is told the time, as in the node.
constexpr Seconds AdvanceInterval{0.02};
/// A caller that was refused honours Retry-After up to this share of the time it has left.
constexpr double HonouredShare = 1.0 / 3.0;
/// And waits this long where it was told nothing.
constexpr Seconds LeastRetryWait{0.05};

Duration toDuration(Seconds seconds)
{
    return std::chrono::duration_cast<Duration>(seconds);
}

/// A server with slots and a queue of its own.
struct Server
{
    std::string id;
    double speed = 1.0;
    unsigned running = 0;
    std::vector<std::size_t> queue; ///< sends that wait inside the server
    std::uint64_t served = 0;
};

/// One request of a caller with all its tries.
struct Request
{
    std::size_t requestClass = 0;
    TimePoint bornAt;
    TimePoint deadline;
    int triesLeft = 0;
    bool mayHaveRun = false;
    bool isOver = false;
    std::size_t host = 0;
};

/// One send of a request to a server.
struct Send
{
    std::size_t request = 0;
    std::size_t host = 0;
    std::size_t server = 0;
    Seconds work{0};
    TimePoint sentAt;
    bool isHung = false;
};

class Play
{
public:
    Play(const Load &load, Policy policy)
        : m_load(load)
        , m_policy(policy)
        , m_random(load.seed)
        , m_latencies(load.classes.size())
    {
        m_report.byClass.resize(load.classes.size());
        for (std::size_t at = 0; at < load.serverSpeeds.size(); ++at) {
            Server server;
            server.id = "server-" + std::to_string(at);
            server.speed = load.serverSpeeds[at];
            m_servers.push_back(server);
        }
        makeDispatchers();
    }

    Report run()
    {
        for (std::size_t kind = 0; kind < m_load.classes.size(); ++kind) {
            scheduleArrival(kind);
        }
        if (!m_dispatchers.empty()) {
            after(AdvanceInterval, [this]() {
                advanceAll();
            });
        }
        const TimePoint end = m_start + toDuration(m_load.length);
        while (!m_events.empty()) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.at;
            const bool isOver = m_now > end && m_openRequests == 0;
            if (isOver) {
                break;
            }
            event.run();
        }
        return finish();
    }

private:
    struct Event
    {
        TimePoint at;
        std::uint64_t number = 0;
        std::function<void()> run;

        bool operator<(const Event &other) const
        {
            return at != other.at ? at > other.at : number > other.number;
        }
    };

    void makeDispatchers()
    {
        if (m_policy == Policy::TwoChoices) {
            m_ownCounts.assign(m_load.hosts, std::vector<unsigned>(m_servers.size(), 0));
            return;
        }
        const std::size_t count = m_policy == Policy::Leader ? 1 : m_load.hosts;
        std::vector<UpstreamServer> entries;
        for (const Server &server : m_servers) {
            UpstreamServer entry;
            entry.id = server.id;
            entry.slots = m_load.slots;
            entries.push_back(entry);
        }
        for (std::size_t at = 0; at < count; ++at) {
            DispatcherOptions options;
            options.slotShare = m_policy == Policy::Leader ? 1.0 : 2.0 / m_load.hosts;
            options.repeats.slack = 60;
            options.seed = m_load.seed + at;
            m_dispatchers.push_back(std::make_unique<Dispatcher>(options));
            m_dispatchers.back()->setServers(entries, m_now);
        }
    }

    void after(Seconds delay, std::function<void()> run)
    {
        m_events.push({m_now + toDuration(delay), ++m_lastEvent, std::move(run)});
    }

    double uniform()
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random);
    }

    /// The disturbance that is in force now; one without effect when there is none.
    Disturbance disturbance() const
    {
        const Seconds time = m_now - m_start;
        for (const Disturbance &each : m_load.disturbances) {
            if (each.from <= time && time < each.until) {
                return each;
            }
        }
        return {};
    }

    void scheduleArrival(std::size_t kind)
    {
        const double rate = m_load.classes[kind].perSecond * disturbance().arrivals;
        const Seconds gap(-std::log(1.0 - uniform()) / rate);
        after(gap, [this, kind]() {
            if (m_now > m_start + toDuration(m_load.length)) {
                return;
            }
            arrive(kind);
            scheduleArrival(kind);
        });
    }

    void arrive(std::size_t kind)
    {
        const RequestClass &requestClass = m_load.classes[kind];
        Request request;
        request.requestClass = kind;
        request.bornAt = m_now;
        request.deadline = m_now + toDuration(requestClass.deadline);
        request.triesLeft = requestClass.retries;
        m_requests.push_back(request);
        ++m_report.byClass[kind].asked;
        ++m_openRequests;
        tryOnce(m_requests.size() - 1);
    }

    void tryOnce(std::size_t number)
    {
        Request &request = m_requests[number];
        request.host = static_cast<std::size_t>(uniform() * m_load.hosts);
        if (m_policy == Policy::TwoChoices) {
            sendTo(number, chooseOfTwo(request.host), 0);
            return;
        }
        const Seconds way = m_policy == Policy::Leader ? m_load.linkDelay : Seconds(0);
        after(way, [this, number]() {
            submit(number);
        });
    }

    std::size_t dispatcherOf(const Request &request) const
    {
        return m_policy == Policy::Leader ? 0 : request.host;
    }

    void submit(std::size_t number)
    {
        const Request &request = m_requests[number];
        const RequestClass &requestClass = m_load.classes[request.requestClass];
        WorkItem item;
        item.ticket = ++m_lastTicket;
        item.workClass = request.requestClass;
        item.priority = requestClass.priority;
        item.targetBy = request.bornAt + toDuration(requestClass.target);
        item.deadline = request.deadline;
        m_tickets[item.ticket] = number;
        const std::size_t dispatcher = dispatcherOf(request);
        m_dispatchers[dispatcher]->submit(std::move(item), m_now);
        collect(dispatcher);
    }

    void advanceAll()
    {
        for (std::size_t at = 0; at < m_dispatchers.size(); ++at) {
            m_dispatchers[at]->advance(m_now);
            collect(at);
        }
        after(AdvanceInterval, [this]() {
            advanceAll();
        });
    }

    void collect(std::size_t dispatcher)
    {
        const Seconds way = m_policy == Policy::Leader ? m_load.linkDelay : Seconds(0);
        for (const DispatchDecision &decision : m_dispatchers[dispatcher]->take()) {
            if (const auto *placement = std::get_if<Placement>(&decision)) {
                const std::size_t server = std::stoul(placement->server.id.substr(std::string("server-").size()));
                const Ticket ticket = placement->ticket;
                const std::size_t number = m_tickets.at(ticket);
                after(way, [this, number, server, ticket]() {
                    sendTo(number, server, ticket);
                });
                continue;
            }
            const Rejection rejection = std::get<Rejection>(decision);
            const std::size_t number = m_tickets.at(rejection.ticket);
            after(way, [this, number, rejection]() {
                onRefused(number, rejection.retryAfter);
            });
        }
    }

    std::size_t chooseOfTwo(std::size_t host)
    {
        const auto pick = [this]() {
            return static_cast<std::size_t>(uniform() * static_cast<double>(m_servers.size()));
        };
        const std::size_t first = pick();
        const std::size_t second = pick();
        return m_ownCounts[host][first] <= m_ownCounts[host][second] ? first : second;
    }

    void sendTo(std::size_t number, std::size_t server, Ticket ticket)
    {
        const RequestClass &requestClass = m_load.classes[m_requests[number].requestClass];
        Send send;
        send.request = number;
        send.host = m_requests[number].host;
        send.server = server;
        std::lognormal_distribution<double> work(-requestClass.spread * requestClass.spread / 2, requestClass.spread);
        send.work = requestClass.meanWork * work(m_random);
        send.sentAt = m_now;
        if (m_policy == Policy::TwoChoices) {
            ++m_ownCounts[send.host][server];
        }
        m_sends.push_back(send);
        const std::size_t at = m_sends.size() - 1;
        m_sendTickets[at] = ticket;
        after(m_load.linkDelay, [this, at]() {
            reach(at);
        });
    }

    void reach(std::size_t at)
    {
        Send &send = m_sends[at];
        Server &server = m_servers[send.server];
        if (uniform() < disturbance().refuseShare) {
            after(m_load.linkDelay, [this, at]() {
                onRefusedByServer(at);
            });
            return;
        }
        m_requests[send.request].mayHaveRun = true;
        if (server.running < m_load.slots) {
            start(at);
        } else if (server.queue.size() < m_load.serverQueue) {
            server.queue.push_back(at);
        } else {
            ++m_report.serverOverflows;
            send.isHung = true;
            const TimePoint deadline = m_requests[send.request].deadline;
            after(deadline - m_now, [this, at]() {
                onHung(at);
            });
        }
    }

    void start(std::size_t at)
    {
        Send &send = m_sends[at];
        Server &server = m_servers[send.server];
        ++server.running;
        ++server.served;
        const Disturbance now = disturbance();
        const bool isSlow = static_cast<double>(send.server) < now.slowShare * static_cast<double>(m_servers.size());
        const Seconds took = send.work / server.speed * (isSlow ? now.slowness : 1.0);
        after(took, [this, at]() {
            onWorkDone(at);
        });
    }

    void onWorkDone(std::size_t at)
    {
        Server &server = m_servers[m_sends[at].server];
        --server.running;
        if (!server.queue.empty()) {
            const std::size_t next = server.queue.front();
            server.queue.erase(server.queue.begin());
            start(next);
        }
        after(m_load.linkDelay, [this, at]() {
            onAnswer(at);
        });
    }

    void endSend(std::size_t at, WorkEnd end)
    {
        const Send &send = m_sends[at];
        if (m_policy == Policy::TwoChoices) {
            --m_ownCounts[send.host][send.server];
            return;
        }
        const Ticket ticket = m_sendTickets.at(at);
        const std::size_t dispatcher = m_policy == Policy::Leader ? 0 : send.host;
        const Duration took = m_now - send.sentAt;
        const Seconds way = m_policy == Policy::Leader ? m_load.linkDelay : Seconds(0);
        after(way, [this, dispatcher, ticket, end, took]() {
            m_dispatchers[dispatcher]->finish(ticket, end, took, m_now);
            collect(dispatcher);
        });
    }

    void onAnswer(std::size_t at)
    {
        endSend(at, WorkEnd::Done);
        Request &request = m_requests[m_sends[at].request];
        if (request.isOver) {
            return;
        }
        const RequestClass &requestClass = m_load.classes[request.requestClass];
        Outcome &outcome = m_report.byClass[request.requestClass];
        const Seconds took = m_now - request.bornAt;
        if (m_now > request.deadline) {
            ++outcome.failed;
        } else {
            ++(took <= requestClass.target ? outcome.inTarget : outcome.late);
            m_latencies[request.requestClass].push_back(took);
        }
        close(request);
    }

    void onHung(std::size_t at)
    {
        endSend(at, WorkEnd::Lost);
        Request &request = m_requests[m_sends[at].request];
        if (!request.isOver) {
            ++m_report.byClass[request.requestClass].failed;
            close(request);
        }
    }

    void onRefusedByServer(std::size_t at)
    {
        endSend(at, WorkEnd::Refused);
        onRefused(m_sends[at].request, toDuration(LeastRetryWait));
    }

    void onRefused(std::size_t number, Duration retryAfter)
    {
        Request &request = m_requests[number];
        const Seconds left = request.deadline - m_now;
        if (request.triesLeft == 0 || left <= Seconds(0)) {
            Outcome &outcome = m_report.byClass[request.requestClass];
            ++(request.mayHaveRun ? outcome.failed : outcome.refused);
            close(request);
            return;
        }
        --request.triesLeft;
        const Seconds wait =
            std::clamp<Seconds>(retryAfter, LeastRetryWait, std::max(LeastRetryWait, left * HonouredShare));
        after(wait, [this, number]() {
            tryOnce(number);
        });
    }

    void close(Request &request)
    {
        request.isOver = true;
        --m_openRequests;
    }

    static Seconds quantile(std::vector<Seconds> &values, double share)
    {
        if (values.empty()) {
            return Seconds(0);
        }
        const auto at = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
        std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(at), values.end());
        return values[at];
    }

    Report finish()
    {
        double earned = 0;
        double owed = 0;
        std::vector<Seconds> all;
        for (std::size_t kind = 0; kind < m_load.classes.size(); ++kind) {
            const RequestClass &requestClass = m_load.classes[kind];
            Outcome &outcome = m_report.byClass[kind];
            const double classOwed = static_cast<double>(outcome.asked) * requestClass.worth;
            const double classEarned = static_cast<double>(outcome.inTarget) * requestClass.worth
                + static_cast<double>(outcome.late) * requestClass.lateWorth;
            outcome.worth = classOwed > 0 ? classEarned / classOwed : 1.0;
            outcome.median = quantile(m_latencies[kind], 0.5);
            outcome.p99 = quantile(m_latencies[kind], 0.99);
            all.insert(all.end(), m_latencies[kind].begin(), m_latencies[kind].end());
            earned += classEarned;
            owed += classOwed;
            m_report.all.asked += outcome.asked;
            m_report.all.inTarget += outcome.inTarget;
            m_report.all.late += outcome.late;
            m_report.all.refused += outcome.refused;
            m_report.all.failed += outcome.failed;
        }
        m_report.all.worth = owed > 0 ? earned / owed : 1.0;
        m_report.all.median = quantile(all, 0.5);
        m_report.all.p99 = quantile(all, 0.99);
        m_report.worthBound = owed > 0 ? worthOfBest(capacity()) / owed : 1.0;
        m_report.busiestOverMean = imbalance();
        return m_report;
    }

    /// Slot-seconds of usual speed that the servers have in the whole play.
    double capacity() const
    {
        double speeds = 0;
        for (const Server &server : m_servers) {
            speeds += server.speed;
        }
        return speeds * m_load.slots * m_load.length.count();
    }

    /// The worth of the classes' requests that fit into so much work, those of the highest worth a second of work
    /// first.
    double worthOfBest(double work) const
    {
        std::vector<std::size_t> order(m_load.classes.size());
        std::iota(order.begin(), order.end(), std::size_t(0));
        std::sort(order.begin(), order.end(), [this](std::size_t left, std::size_t right) {
            const RequestClass &a = m_load.classes[left];
            const RequestClass &b = m_load.classes[right];
            return a.worth * b.meanWork.count() > b.worth * a.meanWork.count();
        });
        double worth = 0;
        for (const std::size_t kind : order) {
            const RequestClass &requestClass = m_load.classes[kind];
            const double asked = static_cast<double>(m_report.byClass[kind].asked);
            const double fits = std::min(asked, std::max(0.0, work) / requestClass.meanWork.count());
            worth += fits * requestClass.worth;
            work -= fits * requestClass.meanWork.count();
        }
        return worth;
    }

    double imbalance() const
    {
        double busiest = 0;
        double served = 0;
        double speeds = 0;
        for (const Server &server : m_servers) {
            busiest = std::max(busiest, static_cast<double>(server.served) / server.speed);
            served += static_cast<double>(server.served);
            speeds += server.speed;
        }
        return served > 0 ? busiest / (served / speeds) : 0;
    }

    const Load &m_load;
    Policy m_policy;
    std::mt19937_64 m_random;
    TimePoint m_start{std::chrono::hours(1)};
    TimePoint m_now = m_start;
    std::priority_queue<Event> m_events;
    std::uint64_t m_lastEvent = 0;
    std::vector<Server> m_servers;
    std::vector<Request> m_requests;
    std::vector<Send> m_sends;
    std::map<std::size_t, Ticket> m_sendTickets;
    std::vector<std::unique_ptr<Dispatcher>> m_dispatchers;
    std::vector<std::vector<unsigned>> m_ownCounts; ///< TwoChoices: by host and server
    std::map<Ticket, std::size_t> m_tickets;
    Ticket m_lastTicket = 0;
    std::uint64_t m_openRequests = 0;
    std::vector<std::vector<Seconds>> m_latencies;
    Report m_report;
};

} // namespace

std::string_view toString(Policy policy)
{
    switch (policy) {
    case Policy::Leader:
        return "leader";
    case Policy::Alone:
        return "alone";
    case Policy::TwoChoices:
        return "two-choices";
    }
    return "";
}

Report play(const Load &load, Policy policy)
{
    return Play(load, policy).run();
}

} // namespace snipevalve::model
