#ifndef SNIPEVALVE_CORE_FINDINGS_HPP
#define SNIPEVALVE_CORE_FINDINGS_HPP

#include <string>
#include <vector>

#include <absl/status/status.h>

namespace snipevalve {

/// @brief One fault of an input, with the place where it stands.
struct Finding
{
    std::string place; ///< e.g. `entry.toml:12 listen.port` or `routes[3].match`
    std::string message;
};

/// @brief Collects every fault of an input so that all are reported together.
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

    /// @brief One line a finding, `place: message`.
    std::string toString() const;

    /// @return OK without findings, otherwise InvalidArgument with all of them.
    absl::Status toStatus() const;

private:
    std::vector<Finding> m_findings;
};

} // namespace snipevalve

#endif // SNIPEVALVE_CORE_FINDINGS_HPP
