#ifndef REVIEW_SERVER_HPP
#define REVIEW_SERVER_HPP

#include "store.hpp"

namespace review {

/// @brief A request that a server has begun to work on.
struct Run
{
    std::string id;
    std::string method;
    std::string target;
    std::string body;
};

/// @brief One life of one server of the platform: its entry, grants and releases, and requests.
class Server
{
public:
    struct Options
    {
        std::string id;
        std::string service;
        std::string ip;
        bool keyed = false;
        unsigned slots = 2;
        Milliseconds work{5};
        bool isRecorded = true; ///< whether runs are written to the record
    };

    Server(Store &store, Record &record, Options options);

    /// @brief Reports `draining`; the server serves on.
    void drain();

    /// @brief Removes the entry and ends, which closes all connections.
    void end();

    bool isDraining() const;
    std::vector<Run> runs();

private:
    struct Grant
    {
        int from = 0;
        int to = 0;
        std::uint64_t fence = 0;
        Clock::time_point end;
    };

    void beat();
    void announce();
    void serve(Connection &connection);
    std::string answerRequest(const Message &request);
    std::string grant(const Store::Json &body);
    std::string release(const Store::Json &body);
    std::string run(const Message &request);
    bool holds(int key);

    Store &m_store;
    Record &m_record;
    const Options m_options;
    const std::int64_t m_startedAt;
    std::mutex m_mutex;
    std::condition_variable m_slotFreed;
    std::int64_t m_beats = 0;
    std::atomic<bool> m_isDraining = false;
    std::atomic<bool> m_isEnded = false;
    std::vector<Grant> m_grants;
    unsigned m_running = 0;
    unsigned m_queued = 0;
    std::vector<Run> m_runs;
    Listener m_listener;
};

} // namespace review

#endif // REVIEW_SERVER_HPP
