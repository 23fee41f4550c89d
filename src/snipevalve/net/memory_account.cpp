#include "snipevalve/net/memory_account.hpp"

#include <algorithm>

namespace snipevalve {

namespace {

/// Turned away at once if there are too many connections; more would take effect before the next look.
constexpr std::size_t ConnectionsTurnedAway = 16;

constexpr std::size_t indexOf(HeldBytes kind)
{
    return static_cast<std::size_t>(kind);
}

} // namespace

std::string_view describe(HeldBytes kind)
{
    switch (kind) {
    case HeldBytes::Connection:
        return "connections";
    case HeldBytes::Head:
        return "heads";
    case HeldBytes::Body:
        return "bodies";
    case HeldBytes::Answer:
        return "answers";
    }
    return "";
}

MemoryAccountOptions MemoryAccountOptions::forProcess(std::size_t memoryBytes, std::size_t maxConnections)
{
    // On the smallest hosts, of 120 MB, 67 MB can be held for one large body (the largest allowed has 64 MB), and 37 MB
    // are left for the process itself, of which it uses 10 to 20 MB.
    constexpr std::size_t Parts = 16;
    constexpr std::size_t LimitParts = 11;
    constexpr std::size_t ReserveParts = 2;
    MemoryAccountOptions options;
    options.limit = memoryBytes / Parts * LimitParts;
    options.smallReserve = memoryBytes / Parts * ReserveParts;
    options.maxConnections = maxConnections;
    return options;
}

MemoryAccount::MemoryAccount(const MemoryAccountOptions &options)
    : m_options(options)
{
}

bool MemoryAccount::mayConnect(TimePoint now)
{
    const auto isFull = [this]() {
        return m_holders.size() - m_connectionsLeaving >= m_options.maxConnections
            || m_total - m_leaving + MemoryHolder::ConnectionBytes > m_options.limit;
    };
    const auto mayAccept = [this]() {
        return m_holders.size() < m_options.maxConnections
            && m_total + MemoryHolder::ConnectionBytes <= m_options.limit;
    };
    if (mayAccept()) {
        return true;
    }
    for (std::size_t count = 0; count < ConnectionsTurnedAway && isFull(); ++count) {
        MemoryHolder *victim = nullptr;
        for (MemoryHolder *holder : m_holders) {
            const bool isLarger = victim == nullptr || holder->m_total > victim->m_total;
            victim = holder->isStalled(now) && isLarger ? holder : victim;
        }
        victim = victim == nullptr ? findLongestIdle(now) : victim;
        if (victim == nullptr || !victim->turnAway()) {
            break;
        }
    }
    return false;
}

void MemoryAccount::setMaxConnections(std::size_t maxConnections)
{
    m_options.maxConnections = maxConnections;
}

std::size_t MemoryAccount::held(HeldBytes kind) const
{
    return m_held[indexOf(kind)];
}

std::size_t MemoryAccount::totalHeld() const
{
    return m_total;
}

const MemoryAccountOptions &MemoryAccount::options() const
{
    return m_options;
}

bool MemoryAccount::isSmall(std::size_t bytes) const
{
    return bytes <= m_options.smallBytes;
}

/// @param bytes what the asker would hold altogether
bool MemoryAccount::hasRoom(const MemoryHolder &asker, std::size_t bytes) const
{
    const std::size_t others = m_total - m_leaving - asker.m_total;
    if (others + bytes > m_options.limit) {
        return false;
    }
    const std::size_t ownLarge = isSmall(asker.m_total) ? 0 : asker.m_total;
    const std::size_t othersLarge = m_large - m_largeLeaving - ownLarge;
    return isSmall(bytes) || othersLarge + bytes <= m_options.limit - m_options.smallReserve;
}

MemoryHolder *MemoryAccount::findVictim(const MemoryHolder &asker, std::size_t bytes, TimePoint now) const
{
    MemoryHolder *stalled = nullptr;
    MemoryHolder *larger = nullptr;
    for (MemoryHolder *holder : m_holders) {
        if (holder == &asker || holder->m_isTurnedAway) {
            continue;
        }
        if (holder->isStalled(now) && (stalled == nullptr || holder->m_total > stalled->m_total)) {
            stalled = holder;
        }
        const bool isMuchLarger = isSmall(bytes) && holder->m_phase == HolderPhase::Receiving
            && !isSmall(holder->m_total) && holder->m_total >= 2 * bytes;
        if (isMuchLarger && (larger == nullptr || holder->m_total > larger->m_total)) {
            larger = holder;
        }
    }
    return stalled != nullptr ? stalled : larger;
}

MemoryHolder *MemoryAccount::findLongestIdle(TimePoint now) const
{
    MemoryHolder *longest = nullptr;
    for (MemoryHolder *holder : m_holders) {
        const bool isIdle = holder->m_phase == HolderPhase::Idle && !holder->m_isTurnedAway
            && now - holder->m_phaseSince >= m_options.stallTime;
        if (isIdle && (longest == nullptr || holder->m_phaseSince < longest->m_phaseSince)) {
            longest = holder;
        }
    }
    return longest;
}

/// Whether there is room without the connections that can be closed since they are idle.
bool MemoryAccount::idleMakeRoom(const MemoryHolder &asker, std::size_t bytes, TimePoint now) const
{
    std::size_t idle = 0;
    for (const MemoryHolder *holder : m_holders) {
        const bool isIdle = holder->m_phase == HolderPhase::Idle && !holder->m_isTurnedAway
            && now - holder->m_phaseSince >= m_options.stallTime;
        idle += isIdle && holder != &asker ? holder->m_total : 0;
    }
    return m_total - m_leaving - asker.m_total - idle + bytes <= m_options.limit;
}

bool MemoryAccount::makeRoom(const MemoryHolder &asker, std::size_t bytes, TimePoint now)
{
    while (!hasRoom(asker, bytes)) {
        MemoryHolder *victim = findVictim(asker, bytes, now);
        if (victim == nullptr && idleMakeRoom(asker, bytes, now)) {
            victim = findLongestIdle(now);
        }
        if (victim == nullptr || !victim->turnAway()) {
            return false;
        }
    }
    return true;
}

MemoryHolder::MemoryHolder(MemoryAccount &account, TimePoint now, TurnAway turnAway)
    : m_account(account)
    , m_turnAway(std::move(turnAway))
    , m_phaseSince(now)
    , m_creditUntil(now + account.m_options.stallTime)
{
    m_account.m_holders.insert(this);
    set(HeldBytes::Connection, ConnectionBytes);
}

MemoryHolder::~MemoryHolder()
{
    for (const HeldBytes kind : AllHeldBytes) {
        set(kind, 0);
    }
    clearTurnedAway();
    m_account.m_holders.erase(this);
}

bool MemoryHolder::ask(HeldBytes kind, std::size_t bytes, TimePoint now)
{
    const std::size_t total = m_total - m_held[indexOf(kind)] + bytes;
    if (total > m_total && (m_isTurnedAway || !m_account.makeRoom(*this, total, now))) {
        return false;
    }
    set(kind, bytes);
    return true;
}

void MemoryHolder::set(HeldBytes kind, std::size_t bytes)
{
    const auto count = [this](bool adds) {
        const std::size_t large = m_account.isSmall(m_total) ? 0 : m_total;
        const auto apply = [adds](std::size_t &sum, std::size_t amount) {
            sum = adds ? sum + amount : sum - amount;
        };
        apply(m_account.m_total, m_total);
        apply(m_account.m_large, large);
        if (m_isTurnedAway) {
            apply(m_account.m_leaving, m_total);
            apply(m_account.m_largeLeaving, large);
        }
    };
    count(false);
    m_account.m_held[indexOf(kind)] += bytes - m_held[indexOf(kind)];
    m_total += bytes - m_held[indexOf(kind)];
    m_held[indexOf(kind)] = bytes;
    count(true);
}

void MemoryHolder::setPhase(HolderPhase phase, TimePoint now)
{
    if (phase != HolderPhase::Running) {
        clearTurnedAway(); // what is still held while the refusal is sent counts again
    }
    m_phase = phase;
    m_phaseSince = now;
    m_creditUntil = now + m_account.m_options.stallTime;
}

/// Each byte adds to the credit, which stays within the stall time from now in both directions.
void MemoryHolder::onProgress(std::size_t bytes, TimePoint now)
{
    const MemoryAccountOptions &options = m_account.m_options;
    const std::chrono::duration<double> credit(static_cast<double>(bytes)
                                               / static_cast<double>(options.bytesPerSecond));
    const TimePoint longest = now + options.stallTime;
    const Duration added =
        credit >= options.stallTime ? Duration(options.stallTime) : std::chrono::duration_cast<Duration>(credit);
    const TimePoint lowest = now - options.stallTime; // a long pause is made up for soon
    m_creditUntil = std::min(longest, std::max(m_creditUntil, lowest) + added);
}

bool MemoryHolder::isTurnedAway() const
{
    return m_isTurnedAway;
}

std::size_t MemoryHolder::held(HeldBytes kind) const
{
    return m_held[indexOf(kind)];
}

std::size_t MemoryHolder::total() const
{
    return m_total;
}

bool MemoryHolder::isStalled(TimePoint now) const
{
    const bool canStall = m_phase == HolderPhase::Receiving || m_phase == HolderPhase::Sending;
    return canStall && !m_isTurnedAway && now >= m_creditUntil;
}

void MemoryHolder::turnAwayIfStalled(TimePoint now)
{
    if (isStalled(now)) {
        turnAway();
    }
}

bool MemoryHolder::turnAway()
{
    if (m_isTurnedAway || !m_turnAway()) {
        return false;
    }
    m_isTurnedAway = true;
    m_account.m_leaving += m_total;
    m_account.m_largeLeaving += m_account.isSmall(m_total) ? 0 : m_total;
    ++m_account.m_connectionsLeaving;
    return true;
}

void MemoryHolder::clearTurnedAway()
{
    if (m_isTurnedAway) {
        m_isTurnedAway = false;
        m_account.m_leaving -= m_total;
        m_account.m_largeLeaving -= m_account.isSmall(m_total) ? 0 : m_total;
        --m_account.m_connectionsLeaving;
    }
}

} // namespace snipevalve
