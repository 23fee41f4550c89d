#ifndef REVIEW_STORE_HPP
#define REVIEW_STORE_HPP

#include <condition_variable>

#include <nlohmann/json.hpp>

#include "http.hpp"

namespace review {

/// @brief The platform's store as PROTOCOL.md describes it: items, watches, transactions and leases.
class Store
{
public:
    using Json = nlohmann::json;

    explicit Store(const std::string &ip);

    const Address &address() const;
    void put(const std::string &key, const std::string &value);
    void remove(const std::string &key);

    /// @brief Called with the body of each transaction that was carried out. If it returns true, the answer is lost,
    /// and the connection returns nothing further.
    void setOnWrite(std::function<bool(const Json &)> onWrite);

    /// @brief From now on the store answers 503, also to the watches that wait; leases run out meanwhile.
    void goDown();

    /// @brief Ends an outage. The history of changes begins anew.
    void returnWithoutHistory();

    /// @return the address in the key that names the service's leader; empty if there is no such key
    std::string leaderOf(const std::string &service);

private:
    struct Item
    {
        std::string value; ///< base64
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };

    struct Lease
    {
        Milliseconds lifetime{0};
        Clock::time_point end;
    };

    struct Change
    {
        std::string key;
        std::uint64_t revision = 0;
        Json event;
    };

    using Parameters = std::map<std::string, std::string>;

    void serve(Connection &connection);
    std::string answerCall(const Message &request, bool &isLost);
    std::string watch(const Parameters &parameters);
    std::string commit(const Json &body);
    std::string handleLease(const Message &request, std::uint64_t id);
    std::string list(const Parameters &parameters);
    void expireLeases();
    void endLease(std::uint64_t id);
    void putItem(const std::string &key, const std::string &base64, std::uint64_t lease);
    void removeItem(const std::string &key);
    Json toJson(const std::string &key, const Item &item) const;

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Item> m_items;
    std::vector<Change> m_changes;
    std::uint64_t m_revision = 10;
    std::uint64_t m_historyStart = 0; ///< changes up to this revision are forgotten
    std::map<std::uint64_t, Lease> m_leases;
    std::uint64_t m_lastLease = 0;
    bool m_isDown = false;
    std::function<bool(const Json &)> m_onWrite;
    Listener m_listener;
};

} // namespace review

#endif // REVIEW_STORE_HPP
