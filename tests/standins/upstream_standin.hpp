#ifndef SNIPEVALVE_STANDINS_UPSTREAM_STANDIN_HPP
#define SNIPEVALVE_STANDINS_UPSTREAM_STANDIN_HPP

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>

#include <nlohmann/json.hpp>

#include "snipevalve/net/http_server.hpp"
#include "standins/hold_record.hpp"

namespace snipevalve::standins {

/// @brief A fault that a server shows in its responses.
enum class ServerFault {
    None,
    NoStamp, ///< a success without the response stamp header
    OtherId, ///< the response carries the id of another request; all else is right
    Encoded, ///< the response has a Content-Encoding header
    CutShort, ///< the request runs, then the connection closes before a whole response is sent
    UnavailableAfterRun, ///< 503 after the request ran, without the not-executed header
    Refuses, ///< 503 with the not-executed header for every request; nothing runs
    LastFault = Refuses,
};

/// @brief What a stand-in for a server is.
struct UpstreamOptions
{
    std::string id;
    std::string service;
    bool keyed = false;
    Milliseconds serviceTime{0}; ///< how long each request runs
    Endpoint listen;
    Endpoint registeredAs; ///< the address in its entry, when it is reached through a proxy
    double clockRate = 1.0; ///< of the clock that measures holds, in seconds per second
    Milliseconds clockStep{0}; ///< how far its time of day is ahead
};

/// @brief A stand-in for one server of the users' platform, with the published protocol.
///
/// It runs on the given context. The mutex guards it, and is held while the handlers run; the callers of the other
/// methods hold it, too.
class UpstreamStandin : public std::enable_shared_from_this<UpstreamStandin>
{
public:
    /// How often a server renews its entry.
    static constexpr Milliseconds EntryRenewalInterval{200};
    /// An entry is removed after three heartbeats of silence.
    static constexpr Milliseconds SilenceTimeout = 3 * EntryRenewalInterval;
    /// The server decides by these keys only: the multiples of it. Tests send requests only for them.
    static constexpr std::uint32_t SampleStep = 64;
    /// Request header: how long this request runs, in ms, instead of the server's usual time.
    static constexpr const char *WorkHeader = "Standin-Work-Ms";
    /// Request header: how many bytes follow the text of the answer.
    static constexpr const char *AnswerBytesHeader = "Standin-Answer-Bytes";

    struct Handlers
    {
        std::function<void(const ServerEvent &)> onEvent;
        /// A grant is about to be accepted.
        std::function<void(const UpstreamStandin &, const KeyRange &, TimePoint end)> onGrant;
    };

    UpstreamStandin(asio::io_context &context, std::mutex &mutex, UpstreamOptions options, Handlers handlers);

    /// @brief Begins to serve. To be called once.
    void start();

    /// @return what follows a `.` in the id; the zone of the hosts when there is none
    static std::string zoneOf(const std::string &id);

    const UpstreamOptions &options() const;

    /// @brief The entry to be written to the store; each call counts as a heartbeat.
    nlohmann::json nextEntry();

    /// @brief Whether the server renews its entry.
    bool isRegistered() const;

    /// @brief Identifies the run of the server: the Unix time of its start in ms.
    std::int64_t startedAtMs() const;

    /// @brief Answers nothing more and loses all grants.
    void crash();

    /// @brief Restarts after a crash, under the same id. @return false when it has not crashed
    bool restart();

    bool hasCrashed() const;

    /// @brief Says in its entry and in all answers that it leaves; continues to serve.
    void drain();

    /// @brief Says in all answers that it leaves; its entry stays ready.
    void announceLeaving();

    /// @brief Stops renewing its entry; continues to serve.
    void leave();

    /// @brief Refuses all requests until then, and says so in its answers.
    void pauseUntil(TimePoint end);

    void setFault(ServerFault fault);

    /// @brief While set, three in ten orders (grants and releases) get no answer and are carried out 2 to 4 s later.
    void setLateOrders(bool late);

    /// @brief Whether the server holds the key, or works on a request for it within its granted time.
    bool isUsing(std::uint16_t key, TimePoint now) const;

private:
    using Json = nlohmann::json;

    struct KeyGrant
    {
        std::uint64_t fence = 0;
        TimePoint acceptsUntil; ///< no request starts later; a release ends it at once
        TimePoint expiry; ///< end of the granted time, regardless of a release
    };

    Awaitable<void> accept();
    Awaitable<void> serve(Tcp::socket socket);
    Awaitable<HttpResponse> answer(const HttpRequest &request, const std::string &peer);
    Awaitable<HttpResponse> answerRequest(const HttpRequest &request, const std::string &peer);
    Awaitable<HttpResponse> answerOrder(const HttpRequest &request, const std::string &peer);
    Awaitable<bool> waitForSlot();
    HttpResponse refusal(const std::string &requestId, http::status status, Milliseconds pause = Milliseconds(0));
    HttpResponse grant(const Json &body, TimePoint arrival, const std::string &peer);
    Awaitable<HttpResponse> release(Json body, std::string peer);
    void report(const ServerEvent &event) const;

    asio::io_context &m_context;
    std::mutex &m_mutex;
    UpstreamOptions m_options;
    Handlers m_handlers;
    Tcp::acceptor m_acceptor;
    std::int64_t m_startedAtMs = 0; ///< changes with each restart
    std::uint64_t m_renewals = 0;
    bool m_draining = false;
    bool m_announcesLeaving = false; ///< in its answers
    bool m_crashed = false;
    bool m_left = false;
    TimePoint m_pausedUntil; ///< refuses requests until then
    ServerFault m_fault = ServerFault::None;
    bool m_lateOrders = false;
    std::uint64_t m_orders = 0;
    std::map<std::uint16_t, KeyGrant> m_grants; ///< by sampled key; a grant order covers a range
    std::multiset<std::uint16_t> m_keysInProgress; ///< one per running request; 0 for a request without a key
    unsigned m_running = 0; ///< running requests, with or without a key
    unsigned m_queued = 0; ///< requests that wait for a slot
};

} // namespace snipevalve::standins

#endif // SNIPEVALVE_STANDINS_UPSTREAM_STANDIN_HPP
