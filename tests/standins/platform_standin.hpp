#ifndef SNIPEVALVE_STANDINS_PLATFORM_STANDIN_HPP
#define SNIPEVALVE_STANDINS_PLATFORM_STANDIN_HPP

#include <array>
#include <atomic>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
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

/// @brief One run of one request at one server.
struct PlatformRun
{
    std::string server;
    std::string requestId;
    std::string service;
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

    /// @brief Starts a server, which registers itself and renews its entry.
    void addServer(const std::string &id, const std::string &service, bool keyed, Milliseconds work);

    /// @brief The server ends without a word: no answers, no entry.
    void crashServer(const std::string &id);

    /// @brief The server says that it leaves; it goes on serving.
    void drainServer(const std::string &id);
    void setFault(const std::string &service, ServerFault fault);

    /// @brief While it is away the store answers nothing useful (503).
    void setStoreAway(bool away);

    std::vector<PlatformRun> runs() const;

    /// @brief Times at which a server was granted a key that another one held.
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
    };

    struct Hold
    {
        std::uint64_t fence = 0;
        TimePoint until;
    };

    struct Server
    {
        std::string id;
        std::string service;
        Endpoint endpoint;
        bool keyed = false;
        bool draining = false;
        bool crashed = false;
        Milliseconds work{0};
        std::int64_t born = 0;
        std::uint64_t beats = 0;
        std::unique_ptr<Tcp::acceptor> acceptor;
        std::map<std::uint16_t, Hold> holds; ///< by probe key; grants cover ranges of them
    };

    Awaitable<HttpResponse> answerStore(const HttpRequest &request);
    Awaitable<HttpResponse> watch(const Target &target);
    HttpResponse commit(const Json &body);
    Awaitable<HttpResponse> answerServer(std::shared_ptr<Server> server, const HttpRequest &request);
    HttpResponse grant(Server &server, const Json &body);
    HttpResponse release(Server &server, const Json &body);
    Awaitable<void> beat(std::shared_ptr<Server> server);
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
    bool m_storeAway = false;
    std::map<std::string, std::shared_ptr<Server>> m_servers;
    std::map<std::string, ServerFault> m_faults;
    std::vector<PlatformRun> m_runs;
    int m_breaches = 0;
    std::thread m_thread;
};

} // namespace snipevalve::standins

#endif // SNIPEVALVE_STANDINS_PLATFORM_STANDIN_HPP
