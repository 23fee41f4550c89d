#ifndef SNIPEVALVE_REQUEST_REQUEST_LIFE_HPP
#define SNIPEVALVE_REQUEST_REQUEST_LIFE_HPP

#include <algorithm>
#include <string_view>
#include <variant>

#include "snipevalve/core/time.hpp"
#include "snipevalve/request/retry_budget.hpp"

namespace snipevalve {

/// @brief How a request ended, as the caller is told.
enum class Outcome {
    Answered, ///< the server's whole answer
    NotRun, ///< no server ran it, and none will
    Unknown, ///< it may have run
};

/// @brief `answered`, `not-run` or `unknown`.
std::string_view toString(Outcome outcome);

/// @brief How one attempt at a server ended.
enum class AttemptEnd {
    Answered, ///< the whole answer arrived
    NoServer, ///< no server holds the key, or none is fit; nothing was sent
    QueueFull, ///< this host's queue for the server is full or too long for the deadline; nothing was sent
    NotConnected, ///< no connection could be opened; nothing was sent
    NotOwner, ///< the server refused it, as it does not hold the slot
    Refused, ///< the server refused it as not run
    Lost, ///< bytes were sent and no whole answer came
};

/// @brief True when the attempt surely ran nothing.
bool isNotRun(AttemptEnd end);

struct RequestTraits
{
    bool idempotent = false;
    bool replayable = true; ///< the body can be sent again
    TimePoint deadline;
};

/// @brief Try again after `delay`.
struct RetryAfter
{
    Duration delay{};
};

struct Finish
{
    Outcome outcome = Outcome::NotRun;
};

using NextStep = std::variant<RetryAfter, Finish>;

/// @brief The rules that keep outcomes true. Tests switch one off to show that they notice.
struct StandardRequestRules
{
    static constexpr bool RetryOnlyIdempotentAfterLoss = true;
    static constexpr bool RememberLoss = true; ///< after a lost attempt the outcome is never NotRun
};

/// @brief Decides after each attempt whether a request is retried and how it ends. No I/O, threads or clock.
///
/// A request whose earlier attempt was lost may have run; it never ends as NotRun. A non-idempotent request is retried
/// only while every attempt so far surely ran nothing.
template <typename Rules>
class BasicRequestLife
{
public:
    explicit BasicRequestLife(RequestTraits traits)
        : m_traits(traits)
    {
    }

    /// @param budget pays for retries that add work to servers
    NextStep onAttemptEnd(AttemptEnd end, TimePoint now, RetryBudget &budget)
    {
        if (end == AttemptEnd::Answered) {
            return Finish{Outcome::Answered};
        }
        m_mayHaveRun = m_mayHaveRun || end == AttemptEnd::Lost;
        ++m_attempts;
        const Duration delay = delayAfter(end);
        if (!mayRetry(end) || now + delay >= m_traits.deadline || !isPaidFor(end, budget)) {
            return Finish{failure()};
        }
        return RetryAfter{delay};
    }

    /// @brief The body can't be sent again from now on.
    void markBodyNotReplayable()
    {
        m_traits.replayable = false;
    }

    /// @brief The outcome when the request ends now without an answer.
    Outcome failure() const
    {
        return m_mayHaveRun && Rules::RememberLoss ? Outcome::Unknown : Outcome::NotRun;
    }

    const RequestTraits &traits() const
    {
        return m_traits;
    }

    int attempts() const
    {
        return m_attempts;
    }

private:
    bool mayRetry(AttemptEnd end) const
    {
        if (!m_traits.replayable) {
            return false;
        }
        return isNotRun(end) || m_traits.idempotent || !Rules::RetryOnlyIdempotentAfterLoss;
    }

    static bool isPaidFor(AttemptEnd end, RetryBudget &budget)
    {
        const bool addsNoWork = end == AttemptEnd::NoServer || end == AttemptEnd::NotOwner;
        return addsNoWork || (end != AttemptEnd::QueueFull && budget.take());
    }

    /// Waits for a new owner are short and grow, so that a planned move costs little and a lost server no storm.
    Duration delayAfter(AttemptEnd end) const
    {
        constexpr Milliseconds Shortest(2);
        constexpr Milliseconds Longest(50);
        constexpr int MaxDoublings = 5;
        if (end == AttemptEnd::Lost) {
            return Duration::zero();
        }
        const Milliseconds delay = Shortest * (1 << std::min(m_attempts - 1, MaxDoublings));
        return std::min(delay, Longest);
    }

    RequestTraits m_traits;
    int m_attempts = 0;
    bool m_mayHaveRun = false;
};

using RequestLife = BasicRequestLife<StandardRequestRules>;

} // namespace snipevalve

#endif // SNIPEVALVE_REQUEST_REQUEST_LIFE_HPP
