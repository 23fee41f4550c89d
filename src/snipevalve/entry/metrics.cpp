#include "snipevalve/entry/metrics.hpp"

#include <nlohmann/json.hpp>

namespace snipevalve {

namespace {

namespace acc = boost::accumulators;

constexpr double MedianQuantile = 0.5;
constexpr double P99Quantile = 0.99;

} // namespace

EntryMetrics::EntryMetrics()
    : m_median(acc::quantile_probability = MedianQuantile)
    , m_p99(acc::quantile_probability = P99Quantile)
{
}

void EntryMetrics::onRequest(Outcome outcome, Duration latency, int retries)
{
    const std::chrono::duration<double, std::micro> micros = latency;
    const std::lock_guard lock(m_mutex);
    m_median(micros.count());
    m_p99(micros.count());
    m_answered += outcome == Outcome::Answered ? 1 : 0;
    m_notRun += outcome == Outcome::NotRun ? 1 : 0;
    m_unknown += outcome == Outcome::Unknown ? 1 : 0;
    m_retries += static_cast<std::uint64_t>(retries);
}

void EntryMetrics::onBadRequest()
{
    const std::lock_guard lock(m_mutex);
    ++m_badRequests;
}

void EntryMetrics::onRefusedForMemory()
{
    const std::lock_guard lock(m_mutex);
    ++m_refusedForMemory;
}

void EntryMetrics::onTurnedAway()
{
    const std::lock_guard lock(m_mutex);
    ++m_turnedAway;
}

std::string EntryMetrics::toJson() const
{
    const std::lock_guard lock(m_mutex);
    const bool any = acc::count(m_median) > 0;
    return nlohmann::json({{"answered", m_answered},
                           {"notRun", m_notRun},
                           {"unknown", m_unknown},
                           {"badRequests", m_badRequests},
                           {"retries", m_retries},
                           {"refusedForMemory", m_refusedForMemory},
                           {"turnedAway", m_turnedAway},
                           {"meanUs", any ? acc::mean(m_median) : 0.0},
                           {"maxUs", any ? acc::max(m_median) : 0.0},
                           {"p50Us", any ? acc::p_square_quantile(m_median) : 0.0},
                           {"p99Us", any ? acc::p_square_quantile(m_p99) : 0.0}})
        .dump();
}

} // namespace snipevalve
