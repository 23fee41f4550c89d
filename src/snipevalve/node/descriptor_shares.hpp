#ifndef SNIPEVALVE_NODE_DESCRIPTOR_SHARES_HPP
#define SNIPEVALVE_NODE_DESCRIPTOR_SHARES_HPP

#include <algorithm>
#include <cstddef>

namespace snipevalve {

/// @brief How many connections of each kind a node accepts. What is left is for connections that it opens itself, to
/// servers, other hosts and the store, and for files.
class DescriptorShares
{
public:
    /// @param descriptors that the process may have open
    explicit DescriptorShares(std::size_t descriptors)
        : m_descriptors(descriptors)
    {
    }

    /// @param connectedHosts number of hosts that are connected; many of them take from the callers' share
    std::size_t callers(std::size_t connectedHosts) const
    {
        const std::size_t hostsBeside = m_descriptors / 16;
        const std::size_t taken = std::max(connectedHosts, hostsBeside) - hostsBeside;
        const std::size_t share = m_descriptors / 4 * 3;
        return share - std::min(share, taken);
    }

    std::size_t hosts() const
    {
        return m_descriptors / 4;
    }

    /// @brief Connections to the address for hosts that have not named their host yet.
    std::size_t newHosts() const
    {
        return std::max(m_descriptors / 32, Least);
    }

    /// @brief Connections to the address for readiness checks and metrics.
    std::size_t readiness() const
    {
        return std::max(m_descriptors / 64, Least);
    }

private:
    static constexpr std::size_t Least = 4;

    std::size_t m_descriptors;
};

} // namespace snipevalve

#endif // SNIPEVALVE_NODE_DESCRIPTOR_SHARES_HPP
