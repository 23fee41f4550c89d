#include "server.hpp"

#include <thread>

namespace review {

namespace {

using Json = Store::Json;

constexpr Milliseconds Heartbeat(400);
constexpr unsigned QueueLength = 8;

} // namespace

Server::Server(Store &store, Record &record, Options options)
    : m_store(store)
    , m_record(record)
    , m_options(std::move(options))
    , m_startedAt(std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count())
    , m_listener(m_options.ip, [this](Connection &connection) {
        serve(connection);
    })
{
    announce();
    std::thread([this]() {
        beat();
    }).detach();
}

void Server::beat()
{
    while (true) {
        std::this_thread::sleep_for(Heartbeat);
        announce();
        if (m_isEnded) {
            return;
        }
    }
}

void Server::announce()
{
    const std::lock_guard lock(m_mutex);
    if (m_isEnded) {
        return;
    }
    const Json entry{{"service", m_options.service},
                     {"address", m_listener.address().text()},
                     {"zone", "z"},
                     {"version", "v1"},
                     {"slots", m_options.slots},
                     {"state", m_isDraining ? "draining" : "ready"},
                     {"warmup_left_ms", 0},
                     {"seq", ++m_beats},
                     {"born", m_startedAt}};
    m_store.put("servers/" + m_options.id, entry.dump());
}

void Server::drain()
{
    m_isDraining = true;
    announce();
}

void Server::end()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isEnded = true;
    }
    m_store.remove("servers/" + m_options.id);
    m_listener.end();
}

bool Server::isDraining() const
{
    return m_isDraining;
}

std::vector<Run> Server::runs()
{
    const std::lock_guard lock(m_mutex);
    return m_runs;
}

void Server::serve(Connection &connection)
{
    while (const auto request = connection.readRequest()) {
        if (!connection.write(answerRequest(*request))) {
            return;
        }
    }
}

std::string Server::answerRequest(const Message &request)
{
    if (request.header("X-Snipevalve-Expect-Instance", m_options.id) != m_options.id) {
        return answer(421,
                      {{"X-Snipevalve-Instance-Id", m_options.id},
                       {"X-Snipevalve-Request-Id", request.header("X-Snipevalve-Request-Id")},
                       {"X-Snipevalve-Not-Executed", "1"}});
    }
    if (request.target() == "/grant") {
        return grant(Json::parse(request.body));
    }
    if (request.target() == "/release") {
        return release(Json::parse(request.body));
    }
    return run(request);
}

std::string Server::grant(const Json &body)
{
    const std::lock_guard lock(m_mutex);
    const Grant wanted{body.at("from"), body.at("to"), body.at("fence"),
                       Clock::now() + Milliseconds(body.at("hold_ms").get<int>())};
    const auto overlaps = [&wanted](const Grant &each) {
        return each.from <= wanted.to && wanted.from <= each.to;
    };
    for (const Grant &each : m_grants) {
        if (overlaps(each) && each.fence > wanted.fence) {
            return answer(409);
        }
    }
    std::erase_if(m_grants, [&](const Grant &each) {
        return overlaps(each) && each.fence == wanted.fence;
    });
    m_grants.push_back(wanted);
    return answer(200);
}

std::string Server::release(const Json &body)
{
    const std::lock_guard lock(m_mutex);
    const int from = body.at("from");
    const int to = body.at("to");
    std::vector<Grant> kept;
    for (const Grant &each : m_grants) {
        if (each.to < from || to < each.from) {
            kept.push_back(each);
            continue;
        }
        if (each.from < from) {
            kept.push_back({each.from, from - 1, each.fence, each.end});
        }
        if (to < each.to) {
            kept.push_back({to + 1, each.to, each.fence, each.end});
        }
    }
    m_grants = std::move(kept);
    return answer(200, {{"X-Snipevalve-Handover", "handover-" + m_options.id}});
}

bool Server::holds(int key)
{
    for (const Grant &each : m_grants) {
        if (each.from <= key && key <= each.to && Clock::now() < each.end) {
            return true;
        }
    }
    return false;
}

std::string Server::run(const Message &request)
{
    const std::string id = request.header("X-Snipevalve-Request-Id");
    std::unique_lock lock(m_mutex);
    if (m_options.keyed && !holds(std::atoi(request.header("X-Snipevalve-Shard-Key", "-1").c_str()))) {
        return answer(421,
                      {{"X-Snipevalve-Instance-Id", m_options.id},
                       {"X-Snipevalve-Request-Id", id},
                       {"X-Snipevalve-Not-Executed", "1"}});
    }
    if (m_running >= m_options.slots && m_queued >= QueueLength) {
        return answer(503, {{"X-Snipevalve-Request-Id", id}, {"X-Snipevalve-Not-Executed", "1"}});
    }
    ++m_queued;
    m_slotFreed.wait(lock, [this]() {
        return m_running < m_options.slots;
    });
    --m_queued;
    ++m_running;
    m_runs.push_back({id, request.method(), request.target(), request.body});
    if (m_options.isRecorded) {
        m_record.add("run server=" + m_options.id + " id=" + id + " request=\"" + request.method() + " "
                     + request.target() + "\" body_bytes=" + std::to_string(request.body.size()));
    }
    lock.unlock();
    std::this_thread::sleep_for(m_options.work);
    lock.lock();
    --m_running;
    m_slotFreed.notify_one();
    return answer(200, {{"X-Snipevalve-Request-Id", id}, {"X-Snipevalve-Response-Stamp", "stamp-" + id}},
                  "answer to " + id);
}

} // namespace review
