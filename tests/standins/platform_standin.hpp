#ifndef SNIPEVALVE_STANDINS_PLATFORM_STANDIN_HPP
#define SNIPEVALVE_STANDINS_PLATFORM_STANDIN_HPP

#include <array>
#include <atomic>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

#include "snipevalve/core/time.hpp"
#include "snipevalve/net/http_server.hpp"

namespace snipevalve::standins {

/// @brief How a server of the platform misbehaves.
enum class ServerFault {
    None,
    NoStamp, ///< a success without its stamp
    OtherId, ///< it answers another request, and nothing more
    Encoded, ///< the body is said to be encoded
    CutShort, ///< the body is shorter than its length
    ClaimsNotRun, ///< 503 after a run, without saying that it ran nothing
    Refuses, ///< it refuses each request and says that it ran nothing
};

/// @brief How the store misbehaves.
enum class StoreFault {
    None,
    Away, ///< 503; leases go on running out
    Slow, ///< its answers take 240 ms
    LosesAnswers, ///< every third write takes effect and its connection is closed without an answer
};

/// @brief One arrival of one request at one server.
struct PlatformRun
{
    std::string server;
    std::string requestId;
    std::string service;
    TimePoint at;
    bool ran = true; ///< false: refused, nothing ran
};

/// @brief Stands in for the users' platform in tests: its store and its servers, which speak the published wire.
///
/// Everything runs on one thread of its own. Only what the node's tests use is there.
class PlatformStandin
{
public:
    /// @param network second part of the 127.x addresses
    explicit PlatformStandin(std::uint8_t network);
    ~PlatformStandin();

    Endpoint storeEndpoint() const;

    /// @brief Writes the operators' configuration.
    void putConfig(const std::string &text);

    /// @brief Writes a value as it is, e.g. an entry that is damaged or forged.
    void putEntry(const std::string &key, const std::string &value);

    /// @brief Starts a server, which registers itself and renews its entry.
    /// @param registeredAs the address in its entry, if a relay stands in front of it
    void addServer(const std::string &id, const std::string &service, bool keyed, Milliseconds serviceTime,
                   std::optional<Endpoint> registeredAs = std::nullopt);

    /// @brief The address at which the next server that is added will listen.
    Endpoint nextServerEndpoint() const;

    /// @brief The server ends without a word: no answers, no entry.
    void crashServer(const std::string &id);

    /// @brief A crashed server starts again under its id; it holds and knows nothing.
    void restartServer(const std::string &id);

    /// @brief The server says that it leaves; it goes on serving.
    void drainServer(const std::string &id);
    void setFault(const std::string &service, ServerFault fault);

    void setStoreFault(StoreFault fault);

    /// @brief The store drops its history; watches have to begin anew.
    void forgetHistory();

    /// @brief While set, three orders in ten get no answer and are carried out 2 to 4 s later.
    void setLateOrders(bool late);

    /// @brief Requests that servers have begun to run.
    std::vector<PlatformRun> runs() const;

    /// @brief All requests that came to servers, refused ones included.
    std::vector<PlatformRun> arrivals() const;

    /// @brief Times at which a server was granted a key that another one held or still worked on.
    int ownershipBreaches() const;

    /// @brief The host that leads a service; empty for none.
    std::string leaderOf(const std::string &service) const;

private:
    using Json = nlohmann::json;

    struct Item
    {
        std::string value; ///< base64, as it came
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };

    struct Change
    {
        std::string key;
        std::uint64_t revision = 0;
        Json event;
        TimePoint at;
    };

    struct KeyGrant
    {
        std::uint64_t fence = 0;
        TimePoint acceptsUntil; ///< no work begins later
        TimePoint expiry; ///< the same, as if it had not been released
    };

    struct Server
    {
        std::string id;
        std::string service;
        Endpoint endpoint;
        bool keyed = false;
        bool draining = false;
        bool crashed = false;
        Milliseconds serviceTime{0};
        std::int64_t startedAtMs = 0;
        std::uint64_t renewals = 0;
        std::unique_ptr<Tcp::acceptor> acceptor;
        std::map<std::uint16_t, KeyGrant> grants; ///< by probe key; grants cover ranges of them
        std::multiset<std::uint16_t> keysInProgress; ///< keys of requests that run
        unsigned running = 0; ///< requests, with or without a key
        unsigned queued = 0;
    };

    Awaitable<HttpResponse> answerStore(const HttpRequest &request);
    Awaitable<HttpResponse> watch(const RequestTarget &target);
    HttpResponse commitTransaction(const Json &body);
    HttpResponse answerStoreCall(const HttpRequest &request, const RequestTarget &target);
    Awaitable<HttpResponse> answerOrder(std::shared_ptr<Server> server, const HttpRequest &request);
    Awaitable<bool> waitForSlot(std::shared_ptr<Server> server);
    HttpResponse refusal(const Server &server, const std::string &requestId, http::status status);
    Awaitable<HttpResponse> answerServer(std::shared_ptr<Server> server, const HttpRequest &request);
    HttpResponse grant(Server &server, const Json &body, TimePoint arrival);
    Awaitable<HttpResponse> release(std::shared_ptr<Server> server, Json body);
    Awaitable<void> renewEntry(std::shared_ptr<Server> server);
    Awaitable<void> expireLeases();
    void put(const std::string &key, const std::string &value, std::uint64_t lease);
    void erase(const std::string &key);
    Json toJson(const std::string &key, const Item &item) const;
    static HttpResponse reply(http::status status, const Json &json);

    mutable std::mutex m_mutex;
    asio::io_context m_context{1};
    std::uint8_t m_network;
    std::unique_ptr<Tcp::acceptor> m_acceptor;
    std::map<std::string, Item> m_items;
    std::deque<Change> m_changes;
    std::uint64_t m_revision = 1;
    std::uint64_t m_lastLease = 0;
    std::map<std::uint64_t, std::pair<Milliseconds, TimePoint>> m_leases;
    StoreFault m_storeFault = StoreFault::None;
    std::uint64_t m_writes = 0;
    std::uint64_t m_compactedRevision = 0; ///< the history up to this revision is gone
    bool m_lateOrders = false;
    std::uint64_t m_orders = 0;
    std::map<std::string, std::shared_ptr<Server>> m_servers;
    std::map<std::string, ServerFault> m_faults;
    std::vector<PlatformRun> m_arrivals;
    int m_ownershipBreaches = 0;
    std::thread m_thread;
};

} // namespace snipevalve::standins

#endif // SNIPEVALVE_STANDINS_PLATFORM_STANDIN_HPP
