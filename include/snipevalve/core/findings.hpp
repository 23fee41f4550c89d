#ifndef SNIPEVALVE_CORE_FINDINGS_HPP
#define SNIPEVALVE_CORE_FINDINGS_HPP

#include <string>
#include <vector>

#include <absl/status/status.h>

namespace snipevalve {

/// @brief An error in an input and its location.
struct Finding
{
    std::string place; ///< e.g. `entry.toml:12 listen.port` or `routes[3].match`
    std::string message;
};

/// @brief Collects all errors of an input, so that they are reported together.
///
/// ```cpp
/// Findings findings;
/// findings.add("spec.slots", "must be a power of two");
/// if (!findings.empty()) return findings.toStatus();
/// ```
class Findings
{
public:
    void add(std::string place, std::string message);
    bool empty() const;
    const std::vector<Finding> &all() const;

    /// @brief All findings as text, one `place: message` per line.
    std::string toString() const;

    /// @return OK if there are no findings, otherwise InvalidArgument with toString() as its message
    absl::Status toStatus() const;

private:
    std::vector<Finding> m_findings;
};

} // namespace snipevalve

#endif // SNIPEVALVE_CORE_FINDINGS_HPP
