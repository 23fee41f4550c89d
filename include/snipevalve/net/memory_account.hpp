#ifndef SNIPEVALVE_NET_MEMORY_ACCOUNT_HPP
#define SNIPEVALVE_NET_MEMORY_ACCOUNT_HPP

#include <array>
#include <atomic>
#include <functional>
#include <set>
#include <string_view>

#include "snipevalve/core/time.hpp"

namespace snipevalve {

/// @brief What bytes are held for a connection of a caller.
enum class HeldBytes {
    Connection, ///< the connection's own state, and its buffer for a short head
    Head, ///< longer heads, chunk headers and trailers
    Body, ///< request bodies that still arrive, or that a server has not read or answered yet
    Answer, ///< answers that the caller has not read yet
};

inline constexpr std::array<HeldBytes, 4> AllHeldBytes{HeldBytes::Connection, HeldBytes::Head, HeldBytes::Body,
                                                       HeldBytes::Answer};

std::string_view describe(HeldBytes kind);

/// @brief What a connection is doing; decides whether it can be turned away.
enum class HolderPhase {
    Idle, ///< waits for a request
    Receiving, ///< a request is arriving, and nothing of it has run
    Running, ///< waits for a server; never turned away
    Sending, ///< an answer is being written
};

/// @brief Limits of a MemoryAccount.
struct MemoryAccountOptions
{
    std::size_t limit = 0; ///< bytes that may be held
    std::size_t smallReserve = 0; ///< part of `limit` that holders of more than `smallBytes` may not use
    std::size_t smallBytes = 512 << 10;
    std::size_t maxConnections = 0;
    /// Credit of a connection that makes no progress; afterwards it counts as stalled.
    Milliseconds stallTime{1'000};
    std::size_t bytesPerSecond = 32 << 10; ///< progress at less than this speed counts as stalled

    /// @brief The options for a process.
    /// @param memoryBytes memory that the process may use
    /// @param maxConnections largest number of connections of callers
    static MemoryAccountOptions forProcess(std::size_t memoryBytes, std::size_t maxConnections);
};

class MemoryHolder;

/// @brief Counts the bytes that are held for others, and decides who is turned away when there is no room for more.
///
/// Bytes are asked for before they are read. While the account is full, room is made by turning away, in this order:
/// connections that are stalled in the middle of a request or of an answer, the largest holder first; for an asker that
/// holds little, a request that still arrives and holds at least twice as much, the largest first. If that isn't
/// enough, the asker itself is refused. Requests that run are never turned away.
///
/// Not thread-safe, except for held().
class MemoryAccount
{
public:
    explicit MemoryAccount(const MemoryAccountOptions &options);

    /// @brief Whether one more connection can be accepted. Turns away stalled connections, then those that have been
    /// idle the longest, if there is no room; that takes effect later.
    bool mayConnect(TimePoint now);

    /// @brief Changes the largest number of connections; those that are open beyond it stay until others want to
    /// connect.
    void setMaxConnections(std::size_t maxConnections);

    /// @return bytes held at present; may be called by any thread
    std::size_t held(HeldBytes kind) const;

    std::size_t totalHeld() const;
    const MemoryAccountOptions &options() const;

private:
    friend class MemoryHolder;

    bool makeRoom(const MemoryHolder &asker, std::size_t bytes, TimePoint now);
    bool idleMakeRoom(const MemoryHolder &asker, std::size_t bytes, TimePoint now) const;
    bool hasRoom(const MemoryHolder &asker, std::size_t bytes) const;
    bool isSmall(std::size_t bytes) const;
    MemoryHolder *findVictim(const MemoryHolder &asker, std::size_t bytes, TimePoint now) const;
    MemoryHolder *findLongestIdle(TimePoint now) const;

    MemoryAccountOptions m_options;
    std::set<MemoryHolder *> m_holders;
    std::array<std::atomic<std::size_t>, AllHeldBytes.size()> m_held{};
    std::size_t m_total = 0;
    std::size_t m_large = 0; ///< held by holders of more than `smallBytes`
    std::size_t m_leaving = 0; ///< of `m_total`, held by holders that have been turned away
    std::size_t m_largeLeaving = 0;
    std::size_t m_connectionsLeaving = 0;
};

/// @brief What one connection holds. Gives everything back when it is destroyed.
class MemoryHolder
{
public:
    /// Makes the connection give back what it holds soon. @return false if it can't at present
    using TurnAway = std::function<bool()>;

    /// @brief Holds `ConnectionBytes` from the start on.
    MemoryHolder(MemoryAccount &account, TimePoint now, TurnAway turnAway);
    ~MemoryHolder();
    MemoryHolder(const MemoryHolder &) = delete;
    MemoryHolder &operator=(const MemoryHolder &) = delete;

    /// @brief Asks to hold this many bytes of a kind from now on, instead of what is held of it.
    /// @return false if there is no room; nothing has changed then
    bool ask(HeldBytes kind, std::size_t bytes, TimePoint now);

    /// @brief Sets what is held of a kind without asking, for bytes that are held already or given back.
    void set(HeldBytes kind, std::size_t bytes);

    /// @brief Begins a phase, with the credit of a connection that has just made progress.
    void setPhase(HolderPhase phase, TimePoint now);

    /// @brief Notes that the peer has sent or taken bytes.
    void onProgress(std::size_t bytes, TimePoint now);

    /// @return whether the connection has been turned away during its current request
    bool isTurnedAway() const;

    /// @brief Turns the connection away if it makes no progress.
    void turnAwayIfStalled(TimePoint now);

    std::size_t held(HeldBytes kind) const;
    std::size_t total() const;

    /// Memory of a connection without a request, with its session and coroutines, in bytes: 8 kB were measured.
    static constexpr std::size_t ConnectionBytes = 12 << 10;

private:
    friend class MemoryAccount;

    bool isStalled(TimePoint now) const;
    bool turnAway();
    void clearTurnedAway();
    void add(HeldBytes kind, std::size_t bytes);

    MemoryAccount &m_account;
    TurnAway m_turnAway;
    std::array<std::size_t, AllHeldBytes.size()> m_held{};
    std::size_t m_total = 0;
    HolderPhase m_phase = HolderPhase::Idle;
    TimePoint m_phaseSince;
    TimePoint m_creditUntil; ///< when the connection counts as stalled
    bool m_isTurnedAway = false;
};

} // namespace snipevalve

#endif // SNIPEVALVE_NET_MEMORY_ACCOUNT_HPP
