/// @file A stand-in for the platform's store and host list: compare-and-swap, leases, watches and injected faults.
#include <iostream>
#include <memory>
#include <set>

#include <docopt/docopt.h>
#include <nlohmann/json.hpp>

#include "snipevalve/net/http_server.hpp"
#include "standins/store_state.hpp"

namespace {

using namespace snipevalve;
using Json = nlohmann::json;

const char Usage[] = R"(A stand-in for the platform's store and host list.

Usage:
  standin-store --listen=ENDPOINT
  standin-store --help

POST /standin/faults {"away":bool,"delayMs":n,"loseAnswers":n} injects faults;
GET /standin/counts returns the number of calls by path.
GET and POST /hosts read and replace the host list.
)";

/// @brief The faults that are injected at present.
struct Faults
{
    bool unavailable = false; ///< store calls do nothing, and their connections are closed without an answer
    Milliseconds delay{0};
    unsigned answersToLose = 0; ///< the number of coming writes that are handled but not answered
};

class StoreStandin
{
public:
    explicit StoreStandin(asio::io_context &context)
        : m_context(context)
    {
    }

    Awaitable<HttpResponse> handle(const HttpRequest &request)
    {
        const RequestTarget target(std::string(request.target()));
        if (target.path().starts_with("/standin/")) {
            co_return handleControl(target, request);
        }
        if (m_faults.delay.count() > 0) {
            asio::steady_timer timer(m_context, m_faults.delay);
            co_await timer.async_wait(asio::use_awaitable);
        }
        if (target.path() == "/hosts") {
            co_return handleHosts(request);
        }
        if (m_faults.unavailable) {
            co_return HttpResponse(http::status::unknown, 11);
        }
        ++m_counts[target.path()];
        if (target.path() == "/v1/watch") {
            co_return co_await handleWatch(target);
        }
        co_return handleCall(target, request);
    }

    Awaitable<void> expireLeases()
    {
        constexpr Milliseconds Interval(20);
        asio::steady_timer timer(m_context);
        while (true) {
            timer.expires_after(Interval);
            co_await timer.async_wait(asio::use_awaitable);
            if (m_state.expireLeases(Clock::now())) {
                wakeWatches();
            }
        }
    }

private:
    HttpResponse handleControl(const RequestTarget &target, const HttpRequest &request)
    {
        const Json json = Json::parse(request.body(), nullptr, false);
        if (target.path() == "/standin/faults" && json.is_object()) {
            m_faults.unavailable = json.value("away", m_faults.unavailable);
            m_faults.delay = Milliseconds(json.value("delayMs", m_faults.delay.count()));
            m_faults.answersToLose = json.value("loseAnswers", m_faults.answersToLose);
            wakeWatches();
        }
        Json counts(m_counts);
        return jsonResponse(http::status::ok, counts.dump());
    }

    HttpResponse handleHosts(const HttpRequest &request)
    {
        if (request.method() == http::verb::post) {
            m_hosts = request.body();
        }
        return jsonResponse(http::status::ok, m_hosts);
    }

    HttpResponse handleCall(const RequestTarget &target, const HttpRequest &request)
    {
        if (target.path() == "/v1/values") {
            const StoredValue value = m_state.read(target.parameter("key"));
            return jsonResponse(value.revision == 0 ? http::status::not_found : http::status::ok, toJson(value).dump());
        }
        if (target.path() == "/v1/list") {
            const StoredList list = m_state.list(target.parameter("prefix"));
            Json values = Json::array();
            for (const StoredValue &value : list.values) {
                values.push_back(toJson(value));
            }
            return jsonResponse(http::status::ok, Json({{"revision", list.revision}, {"values", values}}).dump());
        }
        if (target.path() == "/v1/write") {
            return handleWrite(request);
        }
        if (target.path() == "/v1/leases") {
            return handleLease(target, request);
        }
        return jsonResponse(http::status::not_found, "{}");
    }

    HttpResponse handleWrite(const HttpRequest &request)
    {
        const Json json = Json::parse(request.body(), nullptr, false);
        StoreWrite write;
        write.key = json.value("key", "");
        write.value = json.value("value", "");
        write.expectedRevision = json.value("expectedRevision", std::uint64_t(0));
        write.lease = json.value("lease", std::uint64_t(0));
        write.remove = json.value("remove", false);
        if (write.lease != 0 && !m_state.hasLease(write.lease)) {
            return jsonResponse(http::status::not_found, "{}");
        }
        const WriteResult result = m_state.write(write);
        if (result.committed) {
            wakeWatches();
        }
        if (m_faults.answersToLose > 0) {
            --m_faults.answersToLose;
            return HttpResponse(http::status::unknown, 11);
        }
        const auto status = result.committed ? http::status::ok : http::status::conflict;
        return jsonResponse(status, toJson(result.current).dump());
    }

    HttpResponse handleLease(const RequestTarget &target, const HttpRequest &request)
    {
        if (request.method() == http::verb::post) {
            const Milliseconds lifetime(target.number("lifetimeMs", 1000));
            const std::uint64_t lease = m_state.createLease(lifetime, Clock::now());
            return jsonResponse(http::status::ok, Json({{"lease", lease}}).dump());
        }
        const bool renewed = m_state.renewLease(target.number("lease", 0), Clock::now());
        return jsonResponse(renewed ? http::status::ok : http::status::not_found, "{}");
    }

    Awaitable<HttpResponse> handleWatch(const RequestTarget &target)
    {
        const std::string prefix = target.parameter("prefix");
        const std::uint64_t from = target.number("from", 0);
        const TimePoint deadline = Clock::now() + Milliseconds(target.number("waitMs", 0));
        StoreEvents events;
        while (true) {
            if (m_faults.unavailable) {
                co_return HttpResponse(http::status::unknown, 11);
            }
            if (!m_state.eventsAfter(prefix, from, events)) {
                co_return jsonResponse(http::status::gone, "{}");
            }
            if (!events.events.empty() || Clock::now() >= deadline) {
                break;
            }
            asio::steady_timer timer(m_context, deadline);
            m_watches.insert(&timer);
            ErrorCode error;
            co_await timer.async_wait(awaitInto(error));
            m_watches.erase(&timer);
        }
        Json list = Json::array();
        for (const StoreEvent &event : events.events) {
            Json json = toJson(event.value);
            json["removed"] = event.removed;
            list.push_back(json);
        }
        co_return jsonResponse(http::status::ok, Json({{"revision", events.revision}, {"events", list}}).dump());
    }

    void wakeWatches()
    {
        for (asio::steady_timer *timer : m_watches) {
            timer->cancel();
        }
    }

    static Json toJson(const StoredValue &value)
    {
        return {{"key", value.key}, {"value", value.value}, {"revision", value.revision}};
    }

    asio::io_context &m_context;
    standins::StoreState m_state;
    Faults m_faults;
    std::string m_hosts = R"({"hosts":[]})";
    std::map<std::string, std::uint64_t> m_counts;
    std::set<asio::steady_timer *> m_watches;
};

} // namespace

int main(int argc, char **argv)
{
    const auto arguments = docopt::docopt(Usage, {argv + 1, argv + argc});
    const auto endpoint = parseEndpoint(arguments.at("--listen").asString());
    if (!endpoint) {
        std::cerr << "--listen must be an IPv4 address and a port\n";
        return 2;
    }
    asio::io_context context(1);
    StoreStandin store(context);
    Tcp::acceptor acceptor = listenOn(context.get_executor(), *endpoint);
    const auto handler = [&store](const HttpRequest &request) {
        return store.handle(request);
    };
    asio::co_spawn(context, serveHttp(acceptor, handler, HttpServerLimits{.maxConnections = 10'000}), asio::detached);
    asio::co_spawn(context, store.expireLeases(), asio::detached);
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](const ErrorCode &, int) {
        context.stop();
    });
    context.run();
    return 0;
}
