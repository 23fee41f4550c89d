#include "snipevalve/model/simulation.hpp"

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

/// Interval between calls of Dispatcher::advance(), the same as in the node.
constexpr Seconds DispatcherTickInterval{0.02};
/// A refused caller honours Retry-After up to this share of the time until its deadline.
constexpr double MaxRetryAfterShare = 1.0 / 3.0;
/// Shortest delay before a retry; also the delay after a refusal without Retry-After.
constexpr Seconds MinRetryDelay{0.05};

Duration toDuration(Seconds seconds)
{
    return std::chrono::duration_cast<Duration>(seconds);
}

/// A simulated server with a number of slots and an internal queue.
struct Server
{
    std::string id;
    double speed = 1.0;
    unsigned running = 0;
    std::vector<std::size_t> queue; ///< indices of the attempts that wait inside the server
    std::uint64_t served = 0;
};

/// A request of a caller, across all its attempts.
struct Request
{
    std::size_t classIndex = 0;
    TimePoint arrivedAt;
    TimePoint deadline;
    int retriesLeft = 0;
    bool mayHaveRun = false; ///< a server accepted an attempt
    bool isFinished = false;
    std::size_t host = 0; ///< the host that handles the current attempt
};

/// One attempt to run a request on a server.
struct Attempt
{
    std::size_t requestIndex = 0;
    std::size_t host = 0;
    std::size_t server = 0;
    Seconds work{0};
    TimePoint sentAt;
    bool isHung = false; ///< the server was full and never answers
};

/// A discrete-event simulation of callers, hosts, dispatchers and servers.
class Simulation
{
public:
    Simulation(const Load &load, Policy policy)
        : m_load(load)
        , m_policy(policy)
        , m_random(load.seed)
        , m_latencies(load.classes.size())
    {
        m_report.byClass.resize(load.classes.size());
        for (std::size_t index = 0; index < load.serverSpeeds.size(); ++index) {
            Server server;
            server.id = "server-" + std::to_string(index);
            server.speed = load.serverSpeeds[index];
            m_servers.push_back(server);
        }
        createDispatchers();
    }

    Report run()
    {
        for (std::size_t classIndex = 0; classIndex < m_load.classes.size(); ++classIndex) {
            scheduleArrival(classIndex);
        }
        if (!m_dispatchers.empty()) {
            schedule(DispatcherTickInterval, [this]() {
                advanceDispatchers();
            });
        }
        const TimePoint end = m_start + toDuration(m_load.duration);
        while (!m_events.empty()) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.at;
            const bool isComplete = m_now > end && m_openRequests == 0;
            if (isComplete) {
                break;
            }
            event.run();
        }
        return makeReport();
    }

private:
    struct Event
    {
        TimePoint at;
        std::uint64_t sequence = 0; ///< orders events of the same time
        std::function<void()> run;

        /// Reversed, because std::priority_queue returns the greatest element first.
        bool operator<(const Event &other) const
        {
            return at != other.at ? at > other.at : sequence > other.sequence;
        }
    };

    void createDispatchers()
    {
        if (m_policy == Policy::TwoChoices) {
            m_inFlight.assign(m_load.hosts, std::vector<unsigned>(m_servers.size(), 0));
            return;
        }
        const std::size_t count = m_policy == Policy::Leader ? 1 : m_load.hosts;
        std::vector<UpstreamServer> upstreamServers;
        for (const Server &server : m_servers) {
            UpstreamServer upstream;
            upstream.id = server.id;
            upstream.slots = m_load.slotsPerServer;
            upstreamServers.push_back(upstream);
        }
        for (std::size_t index = 0; index < count; ++index) {
            DispatcherOptions options;
            options.slotShare = m_policy == Policy::Leader ? 1.0 : 2.0 / m_load.hosts;
            options.repeats.slack = 60;
            options.seed = m_load.seed + index;
            m_dispatchers.push_back(std::make_unique<Dispatcher>(options));
            m_dispatchers.back()->setServers(upstreamServers, m_now);
        }
    }

    void schedule(Seconds delay, std::function<void()> run)
    {
        m_events.push({m_now + toDuration(delay), ++m_lastEvent, std::move(run)});
    }

    double uniform()
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random);
    }

    /// @return the disturbance that is active now, or one without effect
    Disturbance currentDisturbance() const
    {
        const Seconds time = m_now - m_start;
        for (const Disturbance &candidate : m_load.disturbances) {
            if (candidate.from <= time && time < candidate.until) {
                return candidate;
            }
        }
        return {};
    }

    void scheduleArrival(std::size_t classIndex)
    {
        const double rate = m_load.classes[classIndex].arrivalsPerSecond * currentDisturbance().arrivalFactor;
        const Seconds gap(-std::log(1.0 - uniform()) / rate);
        schedule(gap, [this, classIndex]() {
            if (m_now > m_start + toDuration(m_load.duration)) {
                return;
            }
            onArrival(classIndex);
            scheduleArrival(classIndex);
        });
    }

    void onArrival(std::size_t classIndex)
    {
        const RequestClass &requestClass = m_load.classes[classIndex];
        Request request;
        request.classIndex = classIndex;
        request.arrivedAt = m_now;
        request.deadline = m_now + toDuration(requestClass.deadline);
        request.retriesLeft = requestClass.maxRetries;
        m_requests.push_back(request);
        ++m_report.byClass[classIndex].requests;
        ++m_openRequests;
        startAttempt(m_requests.size() - 1);
    }

    void startAttempt(std::size_t requestIndex)
    {
        Request &request = m_requests[requestIndex];
        request.host = static_cast<std::size_t>(uniform() * m_load.hosts);
        if (m_policy == Policy::TwoChoices) {
            sendToServer(requestIndex, pickLessLoadedOfTwo(request.host), 0);
            return;
        }
        const Seconds hopDelay = m_policy == Policy::Leader ? m_load.linkDelay : Seconds(0);
        schedule(hopDelay, [this, requestIndex]() {
            submitToDispatcher(requestIndex);
        });
    }

    std::size_t dispatcherOf(const Request &request) const
    {
        return m_policy == Policy::Leader ? 0 : request.host;
    }

    void submitToDispatcher(std::size_t requestIndex)
    {
        const Request &request = m_requests[requestIndex];
        const RequestClass &requestClass = m_load.classes[request.classIndex];
        WorkItem item;
        item.ticket = ++m_lastTicket;
        item.workClass = request.classIndex;
        item.priority = requestClass.priority;
        item.targetBy = request.arrivedAt + toDuration(requestClass.target);
        item.deadline = request.deadline;
        m_tickets[item.ticket] = requestIndex;
        const std::size_t dispatcher = dispatcherOf(request);
        m_dispatchers[dispatcher]->submit(std::move(item), m_now);
        handleDecisions(dispatcher);
    }

    void advanceDispatchers()
    {
        for (std::size_t index = 0; index < m_dispatchers.size(); ++index) {
            m_dispatchers[index]->advance(m_now);
            handleDecisions(index);
        }
        schedule(DispatcherTickInterval, [this]() {
            advanceDispatchers();
        });
    }

    void handleDecisions(std::size_t dispatcher)
    {
        const Seconds hopDelay = m_policy == Policy::Leader ? m_load.linkDelay : Seconds(0);
        for (const DispatchDecision &decision : m_dispatchers[dispatcher]->take()) {
            if (const auto *placement = std::get_if<Placement>(&decision)) {
                const std::size_t server = std::stoul(placement->server.id.substr(std::string("server-").size()));
                const Ticket ticket = placement->ticket;
                const std::size_t requestIndex = m_tickets.at(ticket);
                schedule(hopDelay, [this, requestIndex, server, ticket]() {
                    sendToServer(requestIndex, server, ticket);
                });
                continue;
            }
            const Rejection rejection = std::get<Rejection>(decision);
            const std::size_t requestIndex = m_tickets.at(rejection.ticket);
            schedule(hopDelay, [this, requestIndex, rejection]() {
                onRefused(requestIndex, rejection.retryAfter);
            });
        }
    }

    std::size_t pickLessLoadedOfTwo(std::size_t host)
    {
        const auto pick = [this]() {
            return static_cast<std::size_t>(uniform() * static_cast<double>(m_servers.size()));
        };
        const std::size_t first = pick();
        const std::size_t second = pick();
        return m_inFlight[host][first] <= m_inFlight[host][second] ? first : second;
    }

    void sendToServer(std::size_t requestIndex, std::size_t server, Ticket ticket)
    {
        const RequestClass &requestClass = m_load.classes[m_requests[requestIndex].classIndex];
        Attempt attempt;
        attempt.requestIndex = requestIndex;
        attempt.host = m_requests[requestIndex].host;
        attempt.server = server;
        std::lognormal_distribution<double> work(-requestClass.workLogDeviation * requestClass.workLogDeviation / 2,
                                                 requestClass.workLogDeviation);
        attempt.work = requestClass.meanWork * work(m_random);
        attempt.sentAt = m_now;
        if (m_policy == Policy::TwoChoices) {
            ++m_inFlight[attempt.host][server];
        }
        m_attempts.push_back(attempt);
        const std::size_t attemptIndex = m_attempts.size() - 1;
        m_attemptTickets[attemptIndex] = ticket;
        schedule(m_load.linkDelay, [this, attemptIndex]() {
            onReachedServer(attemptIndex);
        });
    }

    void onReachedServer(std::size_t attemptIndex)
    {
        Attempt &attempt = m_attempts[attemptIndex];
        Server &server = m_servers[attempt.server];
        if (uniform() < currentDisturbance().refusalRate) {
            schedule(m_load.linkDelay, [this, attemptIndex]() {
                onRefusedByServer(attemptIndex);
            });
            return;
        }
        m_requests[attempt.requestIndex].mayHaveRun = true;
        if (server.running < m_load.slotsPerServer) {
            startWork(attemptIndex);
        } else if (server.queue.size() < m_load.serverQueueCapacity) {
            server.queue.push_back(attemptIndex);
        } else {
            ++m_report.serverOverflows;
            attempt.isHung = true;
            const TimePoint deadline = m_requests[attempt.requestIndex].deadline;
            schedule(deadline - m_now, [this, attemptIndex]() {
                onUnanswered(attemptIndex);
            });
        }
    }

    void startWork(std::size_t attemptIndex)
    {
        Attempt &attempt = m_attempts[attemptIndex];
        Server &server = m_servers[attempt.server];
        ++server.running;
        ++server.served;
        const Disturbance disturbance = currentDisturbance();
        const bool isSlow =
            static_cast<double>(attempt.server) < disturbance.slowServerShare * static_cast<double>(m_servers.size());
        const Seconds took = attempt.work / server.speed * (isSlow ? disturbance.slowdownFactor : 1.0);
        schedule(took, [this, attemptIndex]() {
            onWorkDone(attemptIndex);
        });
    }

    void onWorkDone(std::size_t attemptIndex)
    {
        Server &server = m_servers[m_attempts[attemptIndex].server];
        --server.running;
        if (!server.queue.empty()) {
            const std::size_t next = server.queue.front();
            server.queue.erase(server.queue.begin());
            startWork(next);
        }
        schedule(m_load.linkDelay, [this, attemptIndex]() {
            onResponse(attemptIndex);
        });
    }

    void finishAttempt(std::size_t attemptIndex, WorkEnd end)
    {
        const Attempt &attempt = m_attempts[attemptIndex];
        if (m_policy == Policy::TwoChoices) {
            --m_inFlight[attempt.host][attempt.server];
            return;
        }
        const Ticket ticket = m_attemptTickets.at(attemptIndex);
        const std::size_t dispatcher = m_policy == Policy::Leader ? 0 : attempt.host;
        const Duration took = m_now - attempt.sentAt;
        const Seconds hopDelay = m_policy == Policy::Leader ? m_load.linkDelay : Seconds(0);
        schedule(hopDelay, [this, dispatcher, ticket, end, took]() {
            m_dispatchers[dispatcher]->finish(ticket, end, took, m_now);
            handleDecisions(dispatcher);
        });
    }

    void onResponse(std::size_t attemptIndex)
    {
        finishAttempt(attemptIndex, WorkEnd::Done);
        Request &request = m_requests[m_attempts[attemptIndex].requestIndex];
        if (request.isFinished) {
            return;
        }
        const RequestClass &requestClass = m_load.classes[request.classIndex];
        RequestStats &stats = m_report.byClass[request.classIndex];
        const Seconds took = m_now - request.arrivedAt;
        if (m_now > request.deadline) {
            ++stats.failed;
        } else {
            ++(took <= requestClass.target ? stats.inTarget : stats.late);
            m_latencies[request.classIndex].push_back(took);
        }
        finishRequest(request);
    }

    void onUnanswered(std::size_t attemptIndex)
    {
        finishAttempt(attemptIndex, WorkEnd::Lost);
        Request &request = m_requests[m_attempts[attemptIndex].requestIndex];
        if (!request.isFinished) {
            ++m_report.byClass[request.classIndex].failed;
            finishRequest(request);
        }
    }

    void onRefusedByServer(std::size_t attemptIndex)
    {
        finishAttempt(attemptIndex, WorkEnd::Refused);
        onRefused(m_attempts[attemptIndex].requestIndex, toDuration(MinRetryDelay));
    }

    void onRefused(std::size_t requestIndex, Duration retryAfter)
    {
        Request &request = m_requests[requestIndex];
        const Seconds left = request.deadline - m_now;
        if (request.retriesLeft == 0 || left <= Seconds(0)) {
            RequestStats &stats = m_report.byClass[request.classIndex];
            ++(request.mayHaveRun ? stats.failed : stats.refused);
            finishRequest(request);
            return;
        }
        --request.retriesLeft;
        const Seconds wait =
            std::clamp<Seconds>(retryAfter, MinRetryDelay, std::max(MinRetryDelay, left * MaxRetryAfterShare));
        schedule(wait, [this, requestIndex]() {
            startAttempt(requestIndex);
        });
    }

    void finishRequest(Request &request)
    {
        request.isFinished = true;
        --m_openRequests;
    }

    static Seconds quantile(std::vector<Seconds> &values, double share)
    {
        if (values.empty()) {
            return Seconds(0);
        }
        const auto index = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
        std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index), values.end());
        return values[index];
    }

    Report makeReport()
    {
        double totalWorth = 0;
        double maxTotalWorth = 0;
        std::vector<Seconds> allLatencies;
        for (std::size_t classIndex = 0; classIndex < m_load.classes.size(); ++classIndex) {
            const RequestClass &requestClass = m_load.classes[classIndex];
            RequestStats &stats = m_report.byClass[classIndex];
            const double maxClassWorth = static_cast<double>(stats.requests) * requestClass.worth;
            const double classWorth = static_cast<double>(stats.inTarget) * requestClass.worth
                + static_cast<double>(stats.late) * requestClass.lateWorth;
            stats.worth = maxClassWorth > 0 ? classWorth / maxClassWorth : 1.0;
            stats.median = quantile(m_latencies[classIndex], 0.5);
            stats.p99 = quantile(m_latencies[classIndex], 0.99);
            allLatencies.insert(allLatencies.end(), m_latencies[classIndex].begin(), m_latencies[classIndex].end());
            totalWorth += classWorth;
            maxTotalWorth += maxClassWorth;
            m_report.all.requests += stats.requests;
            m_report.all.inTarget += stats.inTarget;
            m_report.all.late += stats.late;
            m_report.all.refused += stats.refused;
            m_report.all.failed += stats.failed;
        }
        m_report.all.worth = maxTotalWorth > 0 ? totalWorth / maxTotalWorth : 1.0;
        m_report.all.median = quantile(allLatencies, 0.5);
        m_report.all.p99 = quantile(allLatencies, 0.99);
        m_report.worthBound = maxTotalWorth > 0 ? maxWorth(workCapacity()) / maxTotalWorth : 1.0;
        m_report.maxToMeanLoad = maxToMeanLoad();
        return m_report;
    }

    /// @return the work in slot-seconds at speed 1 that all servers can do during the simulation
    double workCapacity() const
    {
        double speeds = 0;
        for (const Server &server : m_servers) {
            speeds += server.speed;
        }
        return speeds * m_load.slotsPerServer * m_load.duration.count();
    }

    /// @return the highest worth that this amount of work can yield: requests are taken in the order of worth per
    /// second of work (fractional knapsack)
    double maxWorth(double work) const
    {
        std::vector<std::size_t> order(m_load.classes.size());
        std::iota(order.begin(), order.end(), std::size_t(0));
        std::sort(order.begin(), order.end(), [this](std::size_t left, std::size_t right) {
            const RequestClass &a = m_load.classes[left];
            const RequestClass &b = m_load.classes[right];
            return a.worth * b.meanWork.count() > b.worth * a.meanWork.count();
        });
        double worth = 0;
        for (const std::size_t classIndex : order) {
            const RequestClass &requestClass = m_load.classes[classIndex];
            const double requests = static_cast<double>(m_report.byClass[classIndex].requests);
            const double completed = std::min(requests, std::max(0.0, work) / requestClass.meanWork.count());
            worth += completed * requestClass.worth;
            work -= completed * requestClass.meanWork.count();
        }
        return worth;
    }

    double maxToMeanLoad() const
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
    std::vector<Attempt> m_attempts;
    std::map<std::size_t, Ticket> m_attemptTickets; ///< by the index of the attempt
    std::vector<std::unique_ptr<Dispatcher>> m_dispatchers;
    std::vector<std::vector<unsigned>> m_inFlight; ///< for TwoChoices: requests in flight by host and server
    std::map<Ticket, std::size_t> m_tickets; ///< index of the request of each ticket
    Ticket m_lastTicket = 0;
    std::uint64_t m_openRequests = 0;
    std::vector<std::vector<Seconds>> m_latencies; ///< of the answered requests, by class
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

Report simulate(const Load &load, Policy policy)
{
    return Simulation(load, policy).run();
}

} // namespace snipevalve::model
