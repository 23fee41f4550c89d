#include "snipevalve/core/findings.hpp"

#include <utility>

namespace snipevalve {

void Findings::add(std::string place, std::string message)
{
    m_findings.push_back({std::move(place), std::move(message)});
}

bool Findings::empty() const
{
    return m_findings.empty();
}

const std::vector<Finding> &Findings::all() const
{
    return m_findings;
}

std::string Findings::toString() const
{
    std::string text;
    for (const Finding &finding : m_findings) {
        text += finding.place + ": " + finding.message + "\n";
    }
    return text;
}

absl::Status Findings::toStatus() const
{
    return empty() ? absl::OkStatus() : absl::InvalidArgumentError(toString());
}

} // namespace snipevalve
