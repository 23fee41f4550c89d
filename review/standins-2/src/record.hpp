#ifndef REVIEW_RECORD_HPP
#define REVIEW_RECORD_HPP

#include <chrono>
#include <fstream>
#include <mutex>
#include <stdexcept>
#include <string>

namespace review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

/// @brief The case could not be played, so it says nothing about the rule.
struct CouldNotRun : std::runtime_error
{
    using std::runtime_error::runtime_error;
};

enum class Verdict {
    Held = 0,
    Broken = 1,
    CouldNotRun = 2,
};

/// @brief Writes what was sent, answered and run to a file, a line each, with the seconds since the start.
class Record
{
public:
    explicit Record(const std::string &path);

    void add(const std::string &line);

    /// @brief Time since the start.
    Milliseconds now() const;

private:
    const Clock::time_point m_start = Clock::now();
    std::mutex m_mutex;
    std::ofstream m_file;
};

/// @brief Whether the disruption is to be played; TROUBLE=0 leaves it out.
bool hasTrouble();

} // namespace review

#endif // REVIEW_RECORD_HPP
