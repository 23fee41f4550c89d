#ifndef SNIPEVALVE_STANDINS_PLATFORM_STANDIN_HPP
#define SNIPEVALVE_STANDINS_PLATFORM_STANDIN_HPP

#include <array>
#include <atomic>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

#include "standins/upstream_standin.hpp"

namespace snipevalve::standins {

/// @brief A fault that the store shows.
enum class StoreFault {
    None,
    Unavailable, ///< 503 for every call; leases still expire
    Slow, ///< each answer is delayed by 240 ms
    LosesAnswers, ///< every third write is handled, then its connection closes without an answer
};

/// @brief A stand-in for the users' platform in tests: the store and the servers, with the published protocols.
///
/// The store and all servers run on one thread that the stand-in owns. Only what the node's tests use is implemented.
class PlatformStandin
{
public:
    /// Time from the return of a restored store until servers and operators have written again what it had lost.
    static constexpr Milliseconds RewriteTime = UpstreamStandin::SilenceTimeout;

    /// @param network second octet of the 127.x addresses
    explicit PlatformStandin(std::uint8_t network);
    ~PlatformStandin();

    Endpoint storeEndpoint() const;

    /// @return the processor time that the store and the servers have used
    Milliseconds processorTime();

    /// @brief Writes the operators' configuration.
    void putConfig(const std::string &text);

    /// @brief Writes a value unchecked, e.g. a damaged or forged entry.
    void putEntry(const std::string &key, const std::string &value);

    /// @brief Path of the store at which servers that are other processes renew their entries.
    static constexpr const char *HeartbeatPath = "/standin-heartbeat";

    /// @brief Removes an entry that putEntry() has written.
    void removeEntry(const std::string &key);

    /// @brief Starts a server, which registers itself in the store and renews its entry periodically.
    /// @param serviceTime how long each request runs
    /// @param registeredAs the address in its entry, if it is reached through a proxy
    void addServer(const std::string &id, const std::string &service, bool keyed, Milliseconds serviceTime,
                   std::optional<Endpoint> registeredAs = std::nullopt);

    /// @return the address at which the next added server will listen
    Endpoint nextServerEndpoint() const;

    /// @brief Crashes the server: it answers nothing more, and its entry is removed.
    void crashServer(const std::string &id);

    /// @brief Restarts a crashed server under the same id, without any grants.
    void restartServer(const std::string &id);

    /// @brief Makes the server say in all its answers that it leaves; its entry stays ready. It continues to serve.
    void announceLeaving(const std::string &id);

    /// @brief Makes the server refuse all requests for this time, and say so in its answers.
    void pauseServer(const std::string &id, Milliseconds pause);

    /// @brief Marks the server's entry as draining, which its answers say too; the server continues to serve.
    /// @return the start of the run that drains, as in `RequestArrival`; empty when the server has crashed
    std::optional<std::int64_t> drainServer(const std::string &id);

    /// @brief The server leaves without having drained: its entry is removed, and it continues to serve.
    void leave(const std::string &id);

    /// @brief Sets the fault of all servers of a service.
    void setFault(const std::string &service, ServerFault fault);

    void setStoreFault(StoreFault fault);

    /// @brief Drops the store's history of changes; watches then get 410 and have to list anew.
    void compactHistory();

    /// @brief The store is away for a time and comes back from a copy of `age` before: items, leases and revision are
    /// those of the copy, and its era rises by one.
    ///
    /// Leases go on with the time that they had left in the copy; later ones are unknown. Servers write their entries
    /// again with their next heartbeat, entries of silent ones are removed after three, and the operators write their
    /// newest configuration again half a second after the return.
    void restoreStore(Milliseconds age, Milliseconds away);

    /// @brief Whether the store's answers name its era; they do at first.
    void setNamesEra(bool namesEra);

    /// @brief While set, three in ten orders (grants and releases) get no answer and are carried out 2 to 4 s later.
    void setLateOrders(bool late);

    /// @return the requests that servers began to run
    std::vector<RequestArrival> runs() const;

    /// @return all requests that reached a server, including refused ones
    std::vector<RequestArrival> arrivals() const;

    /// @return how often a server was granted a key that another server still owned or ran a request for
    int ownershipBreaches() const;

    /// @return the host that leads a service; empty if there is none
    std::string leaderOf(const std::string &service) const;

private:
    using Json = nlohmann::json;

    struct Item
    {
        std::string value; ///< base64, as received
        std::uint64_t revision = 0;
        std::uint64_t created = 0; ///< the revision at which the key was created
        std::uint64_t lease = 0;
    };

    struct Change
    {
        std::string key;
        std::uint64_t revision = 0;
        Json event;
        TimePoint at;
    };

    struct Lease
    {
        Milliseconds lifetime{0};
        TimePoint expiry;
    };

    /// The state of the store that a restore brings back.
    struct StoreCopy
    {
        TimePoint at;
        std::map<std::string, Item> items;
        std::map<std::uint64_t, Lease> leases;
        std::uint64_t revision = 0;
    };

    Awaitable<HttpResponse> answerStore(const HttpRequest &request);
    Awaitable<HttpResponse> answerStoreRequest(const HttpRequest &request);
    bool isStoreAway() const;
    void copyStore();
    Awaitable<void> restoreFrom(StoreCopy copy, Milliseconds away);
    Awaitable<HttpResponse> watch(const RequestTarget &target);
    HttpResponse commitTransaction(const Json &body);
    HttpResponse answerStoreCall(const HttpRequest &request, const RequestTarget &target);
    HttpResponse takeHeartbeat(const Json &entry);
    void onServerEvent(const ServerEvent &event);
    void onGrant(const UpstreamStandin &server, const KeyRange &keys, TimePoint end);
    void removeSilentServers();
    Awaitable<void> renewEntry(std::shared_ptr<UpstreamStandin> server);
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
    std::map<std::uint64_t, Lease> m_leases;
    std::deque<StoreCopy> m_copies; ///< the newest last
    std::uint64_t m_era = 1; ///< counts the restores
    bool m_namesEra = true;
    bool m_isRestoring = false;
    std::string m_config; ///< the operators' newest, base64
    StoreFault m_storeFault = StoreFault::None;
    std::uint64_t m_writes = 0;
    std::uint64_t m_compactedRevision = 0; ///< changes up to this revision are no longer in the history
    bool m_lateOrders = false;
    std::map<std::string, std::shared_ptr<UpstreamStandin>> m_servers;
    std::map<std::string, TimePoint> m_heartbeats; ///< the last one of each server that is another process
    std::map<std::string, ServerFault> m_faults; ///< by service
    std::vector<RequestArrival> m_arrivals;
    int m_ownershipBreaches = 0;
    std::thread m_thread;
};

} // namespace snipevalve::standins

#endif // SNIPEVALVE_STANDINS_PLATFORM_STANDIN_HPP
