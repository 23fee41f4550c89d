#ifndef SNIPEVALVE_DISPATCH_VIRTUAL_SERVERS_HPP
#define SNIPEVALVE_DISPATCH_VIRTUAL_SERVERS_HPP

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "snipevalve/dispatch/dispatcher.hpp"

namespace snipevalve::testing {

/// @brief For tests: a server in virtual time, with slots, a queue of its own and a machine of changing speed.
struct VirtualServer
{
    struct Job
    {
        Ticket ticket = 0;
        Seconds left{0}; ///< work on a server of normal speed
        TimePoint arrivedAt;
    };

    UpstreamServer entry;
    double slowness = 1.0; ///< usual
    std::function<double(TimePoint)> slowdown; ///< of its machine at a time; empty: always 1
    std::function<std::optional<ServerLoad>(ServerLoad, TimePoint)> tell; ///< what it reports; empty: nothing
    std::vector<Job> running;
    std::deque<Job> waiting;

    double slowdownAt(TimePoint now) const
    {
        return slowdown ? slowdown(now) : 1.0;
    }

    std::optional<ServerLoad> load(TimePoint now) const
    {
        const ServerLoad real{static_cast<unsigned>(running.size()), static_cast<unsigned>(waiting.size()), entry.slots,
                              slowdownAt(now)};
        return tell ? tell(real, now) : std::nullopt;
    }
};

/// @brief For tests: plays a load on virtual servers with one dispatcher, in steps of a millisecond.
class VirtualRegion
{
public:
    /// One request and what became of it.
    struct Request
    {
        WorkItem item;
        Seconds work{0}; ///< on a server of normal speed
        TimePoint submittedAt;
        bool isRejected = false;
        std::optional<TimePoint> answeredAt;
        Duration atServer{}; ///< from its arrival there to its end
        std::string server;

        bool isOnTime() const
        {
            return answeredAt && *answeredAt <= item.targetBy;
        }
    };

    static constexpr Milliseconds Step{1};
    static constexpr Milliseconds OneWay{8}; ///< between the dispatcher and a server, over the host
    static inline const TimePoint Start{std::chrono::hours(1)};

    VirtualRegion(DispatcherOptions options, std::vector<VirtualServer> servers)
        : dispatcher(options)
    {
        for (VirtualServer &server : servers) {
            m_servers[server.entry.id] = std::move(server);
        }
        dispatcher.setServers(entries(), m_now);
    }

    /// @param rate requests a second, at random times
    /// @param make returns the next request, its times relative to `now`
    void play(Milliseconds length, double rate, std::mt19937_64 &random,
              const std::function<Request(TimePoint now)> &make)
    {
        std::poisson_distribution<int> arrivals(rate * Seconds(Step).count());
        for (const TimePoint end = m_now + length; m_now < end; m_now += Step) {
            for (int count = arrivals(random); count > 0; --count) {
                submit(make(m_now));
            }
            step();
        }
    }

    TimePoint now() const
    {
        return m_now;
    }

    VirtualServer &server(const std::string &id)
    {
        return m_servers.at(id);
    }

    std::vector<UpstreamServer> entries() const
    {
        std::vector<UpstreamServer> result;
        for (const auto &[id, server] : m_servers) {
            result.push_back(server.entry);
        }
        return result;
    }

    /// @return the mean of a value over the requests to which a condition applies; 0 if there is none
    template <typename Condition, typename Value>
    double mean(Condition condition, Value value) const
    {
        double sum = 0;
        std::size_t count = 0;
        for (const auto &[ticket, request] : requests) {
            if (condition(request)) {
                sum += static_cast<double>(value(request));
                ++count;
            }
        }
        return count == 0 ? 0.0 : sum / static_cast<double>(count);
    }

    /// @return the mean time from arrival at a server to the end there, in ms, of the requests submitted from `from` on
    double meanAtServers(TimePoint from = Start) const
    {
        return mean(
            [from](const Request &each) {
                return each.answeredAt && each.submittedAt >= from;
            },
            [](const Request &each) {
                return Seconds(each.atServer).count() * 1e3;
            });
    }

    /// @return the share of the requests submitted from `from` to `to` that were answered within their target
    double shareOnTime(TimePoint from = Start, TimePoint to = TimePoint::max()) const
    {
        return mean(
            [from, to](const Request &each) {
                return each.submittedAt >= from && each.submittedAt < to;
            },
            [](const Request &each) {
                return each.isOnTime();
            });
    }

    Dispatcher dispatcher;
    std::map<Ticket, Request> requests;

private:
    struct End
    {
        Ticket ticket = 0;
        std::optional<ServerLoad> load;
    };

    void submit(Request request)
    {
        request.item.ticket = ++m_lastTicket;
        request.submittedAt = m_now;
        dispatcher.submit(request.item, m_now);
        requests[m_lastTicket] = std::move(request);
    }

    void step()
    {
        constexpr Milliseconds AdvanceInterval(20);
        while (!m_ends.empty() && m_ends.begin()->first <= m_now) {
            const End end = m_ends.begin()->second;
            m_ends.erase(m_ends.begin());
            Request &request = requests.at(end.ticket);
            request.answeredAt = m_now;
            dispatcher.finish(end.ticket, WorkEnd::Done, request.atServer + 2 * OneWay, m_now, end.load);
        }
        if ((m_now - Start) % AdvanceInterval == Duration::zero()) {
            dispatcher.advance(m_now);
        }
        for (const DispatchDecision &decision : dispatcher.take()) {
            if (const auto *placement = std::get_if<Placement>(&decision)) {
                requests.at(placement->ticket).server = placement->server.id;
                m_arrivals.emplace(m_now + OneWay, placement->ticket);
            } else {
                requests.at(std::get<Rejection>(decision).ticket).isRejected = true;
            }
        }
        for (; !m_arrivals.empty() && m_arrivals.begin()->first <= m_now; m_arrivals.erase(m_arrivals.begin())) {
            const Request &request = requests.at(m_arrivals.begin()->second);
            m_servers.at(request.server).waiting.push_back({request.item.ticket, request.work, m_now});
        }
        for (auto &[id, server] : m_servers) {
            run(server);
        }
    }

    void run(VirtualServer &server)
    {
        const Seconds done = Seconds(Step) / (server.slowness * server.slowdownAt(m_now));
        std::vector<VirtualServer::Job> ended;
        for (VirtualServer::Job &job : server.running) {
            job.left -= done;
            if (job.left <= Seconds(0)) {
                ended.push_back(job);
            }
        }
        std::erase_if(server.running, [](const VirtualServer::Job &job) {
            return job.left <= Seconds(0);
        });
        while (server.running.size() < server.entry.slots && !server.waiting.empty()) {
            server.running.push_back(server.waiting.front());
            server.waiting.pop_front();
        }
        for (const VirtualServer::Job &job : ended) {
            requests.at(job.ticket).atServer = m_now - job.arrivedAt;
            m_ends.emplace(m_now + OneWay, End{job.ticket, server.load(m_now)});
        }
    }

    TimePoint m_now = Start;
    std::map<std::string, VirtualServer> m_servers;
    std::multimap<TimePoint, Ticket> m_arrivals;
    std::multimap<TimePoint, End> m_ends;
    Ticket m_lastTicket = 0;
};

} // namespace snipevalve::testing

#endif // SNIPEVALVE_DISPATCH_VIRTUAL_SERVERS_HPP
