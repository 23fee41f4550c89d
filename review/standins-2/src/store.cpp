#include "store.hpp"

#include <thread>

namespace review {

namespace {

using Json = Store::Json;

constexpr const char Digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string toBase64(const std::string &bytes)
{
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        unsigned group = 0;
        for (std::size_t index = 0; index < 3; ++index) {
            const unsigned byte = at + index < bytes.size() ? static_cast<unsigned char>(bytes[at + index]) : 0;
            group = group << 8 | byte;
        }
        for (std::size_t index = 0; index < 4; ++index) {
            const bool isPadding = at + index > bytes.size();
            text += isPadding ? '=' : Digits[group >> (18 - 6 * index) & 63];
        }
    }
    return text;
}

std::string fromBase64(const std::string &text)
{
    std::string bytes;
    unsigned group = 0;
    int bits = 0;
    for (const char each : text) {
        const auto digit = std::string_view(Digits).find(each);
        if (digit == std::string_view::npos) {
            break;
        }
        group = (group << 6 | static_cast<unsigned>(digit)) & 0xffffff;
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            bytes += static_cast<char>(group >> bits & 0xff);
        }
    }
    return bytes;
}

std::string decoded(const std::string &text)
{
    std::string result;
    for (std::size_t at = 0; at < text.size(); ++at) {
        if (text[at] == '%' && at + 2 < text.size()) {
            result += static_cast<char>(std::stoi(text.substr(at + 1, 2), nullptr, 16));
            at += 2;
        } else {
            result += text[at];
        }
    }
    return result;
}

std::map<std::string, std::string> parametersOf(const std::string &target)
{
    std::map<std::string, std::string> parameters;
    for (auto at = target.find('?'); at != std::string::npos; at = target.find('&', at + 1)) {
        const auto equals = target.find('=', at);
        const auto end = std::min(target.find('&', at + 1), target.size());
        parameters[target.substr(at + 1, equals - at - 1)] = decoded(target.substr(equals + 1, end - equals - 1));
    }
    return parameters;
}

std::string json(int status, const Json &body)
{
    return answer(status, {{"Content-Type", "application/json"}}, body.dump());
}

} // namespace

Store::Store(const std::string &ip)
    : m_listener(ip, [this](Connection &connection) {
        serve(connection);
    })
{
    std::thread([this]() {
        expireLeases();
    }).detach();
}

const Address &Store::address() const
{
    return m_listener.address();
}

void Store::put(const std::string &key, const std::string &value)
{
    const std::lock_guard lock(m_mutex);
    putItem(key, toBase64(value), 0);
}

void Store::remove(const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    removeItem(key);
}

void Store::setOnWrite(std::function<bool(const Json &)> onWrite)
{
    const std::lock_guard lock(m_mutex);
    m_onWrite = std::move(onWrite);
}

void Store::goDown()
{
    const std::lock_guard lock(m_mutex);
    m_isDown = true;
    m_changed.notify_all();
}

void Store::returnWithoutHistory()
{
    const std::lock_guard lock(m_mutex);
    m_changes.clear();
    m_historyStart = m_revision;
    m_isDown = false;
}

std::string Store::leaderOf(const std::string &service)
{
    const std::lock_guard lock(m_mutex);
    const auto item = m_items.find("snipevalve/leader/0/" + service);
    return item == m_items.end() ? "" : Json::parse(fromBase64(item->second.value)).at("address");
}

void Store::serve(Connection &connection)
{
    while (const auto request = connection.readRequest()) {
        bool isLost = false;
        const std::string reply = answerCall(*request, isLost);
        if (isLost) {
            connection.waitForEnd();
            return;
        }
        if (!connection.write(reply)) {
            return;
        }
    }
}

std::string Store::answerCall(const Message &request, bool &isLost)
{
    const std::string target = request.target();
    const std::string path = target.substr(0, target.find('?'));
    const Parameters parameters = parametersOf(target);
    if (path == "/kv-watch") {
        return watch(parameters);
    }
    const std::lock_guard lock(m_mutex);
    if (m_isDown) {
        return json(503, Json::object());
    }
    if (path == "/kv-key") {
        const auto item = m_items.find(parameters.at("key"));
        if (item == m_items.end()) {
            return json(404, {{"current_rev", m_revision}});
        }
        Json body = toJson(item->first, item->second);
        body["current_rev"] = m_revision;
        return json(200, body);
    }
    if (path == "/kv-range") {
        return list(parameters);
    }
    if (path == "/kv-txn") {
        const Json body = Json::parse(request.body);
        const std::string reply = commit(body);
        isLost = m_onWrite && m_onWrite(body);
        return reply;
    }
    if (path == "/kv-lease") {
        const Milliseconds lifetime(Json::parse(request.body).at("ttl_ms").get<int>());
        m_leases[++m_lastLease] = {lifetime, Clock::now() + lifetime};
        return json(200, {{"lease", m_lastLease}, {"ttl_ms", lifetime.count()}});
    }
    return handleLease(request, std::stoull(path.substr(path.rfind('/') + 1)));
}

std::string Store::handleLease(const Message &request, std::uint64_t id)
{
    const auto lease = m_leases.find(id);
    if (lease == m_leases.end()) {
        return json(404, Json::object());
    }
    if (request.method() == "DELETE") {
        endLease(id);
        return json(200, Json::object());
    }
    lease->second.end = Clock::now() + lease->second.lifetime;
    return json(200, {{"ttl_ms", lease->second.lifetime.count()}});
}

std::string Store::list(const Parameters &parameters)
{
    constexpr std::size_t PageItems = 500;
    const auto after = parameters.find("after");
    Json items = Json::array();
    bool hasMore = false;
    for (const auto &[key, item] : m_items) {
        const bool isWanted =
            key.starts_with(parameters.at("prefix")) && (after == parameters.end() || key > after->second);
        hasMore = hasMore || (isWanted && items.size() == PageItems);
        if (isWanted && !hasMore) {
            items.push_back(toJson(key, item));
        }
    }
    return json(200, {{"items", items}, {"has_more", hasMore}, {"current_rev", m_revision}});
}

std::string Store::watch(const Parameters &parameters)
{
    const std::uint64_t after = std::stoull(parameters.at("after"));
    const auto end = Clock::now() + Milliseconds(std::stoi(parameters.at("wait_ms")));
    std::unique_lock lock(m_mutex);
    while (true) {
        if (m_isDown) {
            return json(503, Json::object());
        }
        if (after < m_historyStart) {
            return json(410, {{"current_rev", m_revision}});
        }
        Json events = Json::array();
        for (const Change &change : m_changes) {
            if (change.revision > after && change.key.starts_with(parameters.at("prefix"))) {
                events.push_back(change.event);
            }
        }
        if (!events.empty() || Clock::now() >= end) {
            return json(200, {{"events", events}, {"current_rev", m_revision}});
        }
        m_changed.wait_until(lock, end);
    }
}

std::string Store::commit(const Json &body)
{
    Json found = Json::array();
    bool isExpected = true;
    for (const Json &row : body.value("expect", Json::array())) {
        const std::string key = row.at("key");
        const auto item = m_items.find(key);
        const bool exists = item != m_items.end();
        isExpected = isExpected && row.at("revision") == (exists ? item->second.revision : 0);
        found.push_back(exists ? toJson(key, item->second) : Json{{"key", key}, {"revision", 0}});
    }
    if (!isExpected) {
        return json(412, {{"items", found}, {"current_rev", m_revision}});
    }
    const Json writes = body.value("writes", Json::array());
    for (const Json &write : writes) {
        const std::uint64_t lease = write.value("lease", std::uint64_t(0));
        if (lease != 0 && !m_leases.contains(lease)) {
            return json(404, Json::object());
        }
    }
    for (const Json &write : writes) {
        putItem(write.at("key"), write.at("value"), write.value("lease", std::uint64_t(0)));
    }
    for (const Json &key : body.value("deletes", Json::array())) {
        removeItem(key);
    }
    return json(200, {{"revision", m_revision}});
}

void Store::expireLeases()
{
    while (true) {
        std::this_thread::sleep_for(Milliseconds(10));
        const std::lock_guard lock(m_mutex);
        std::vector<std::uint64_t> expired;
        for (const auto &[id, lease] : m_leases) {
            if (lease.end <= Clock::now()) {
                expired.push_back(id);
            }
        }
        for (const std::uint64_t id : expired) {
            endLease(id);
        }
    }
}

void Store::endLease(std::uint64_t id)
{
    m_leases.erase(id);
    std::vector<std::string> keys;
    for (const auto &[key, item] : m_items) {
        if (item.lease == id) {
            keys.push_back(key);
        }
    }
    for (const std::string &key : keys) {
        removeItem(key);
    }
}

void Store::putItem(const std::string &key, const std::string &base64, std::uint64_t lease)
{
    Item &item = m_items[key];
    item.revision = ++m_revision;
    item.created = item.created == 0 ? m_revision : item.created;
    item.value = base64;
    item.lease = lease;
    m_changes.push_back({key, m_revision, toJson(key, item)});
    m_changed.notify_all();
}

void Store::removeItem(const std::string &key)
{
    if (m_items.erase(key) > 0) {
        ++m_revision;
        m_changes.push_back({key, m_revision, {{"key", key}, {"revision", m_revision}, {"deleted", true}}});
        m_changed.notify_all();
    }
}

Store::Json Store::toJson(const std::string &key, const Item &item) const
{
    return {{"key", key},
            {"value", item.value},
            {"revision", item.revision},
            {"created", item.created},
            {"lease", item.lease}};
}

} // namespace review
