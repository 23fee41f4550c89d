#ifndef SNIPEVALVE_STANDINS_GRANT_BOOK_HPP
#define SNIPEVALVE_STANDINS_GRANT_BOOK_HPP

#include <map>

#include "snipevalve/placement/grant.hpp"

namespace snipevalve::standins {

/// @brief How a keyed server handles grants. Turning a check off makes a faulty server for tests.
struct GrantBookOptions
{
    bool checksTokens = true; ///< refuses orders whose token is not higher than the highest seen
    bool countsFromAnchor = true; ///< the lifetime of a grant runs from its anchor; otherwise from its receipt
};

/// @brief The grants of one server: the slots it owns, their expiries and the requests in progress.
///
/// It does no I/O and reads no clock.
class GrantBook
{
public:
    explicit GrantBook(GrantBookOptions options = {});

    /// @brief Applies an order to the slots of its group; with `checksTokens`, only if its token is high enough.
    GrantAnswer apply(const GrantOrder &order, ServerClock now);

    /// @return whether a new request for the slot is accepted; one with a token older than the grant is refused
    bool owns(const GroupId &group, std::uint32_t slot, const Token &token, ServerClock now) const;

    /// @return whether a request that has started may still take effect
    bool mayTakeEffect(const GroupId &group, std::uint32_t slot, ServerClock now) const;

    /// @return the token of the order that gave the slot to this server; by these tokens, a slot's owners are ordered
    Token acquired(const GroupId &group, std::uint32_t slot) const;

    void beginWork(const GroupId &group, std::uint32_t slot);
    void endWork(const GroupId &group, std::uint32_t slot);

    /// @return the slots with an unexpired grant that are not released or still have a request in progress
    std::vector<std::uint32_t> held(const GroupId &group, ServerClock now) const;

private:
    struct Slot
    {
        Token acquired;
        ServerClock expiry{0};
        bool released = false; ///< taken away while requests were in progress
        unsigned requestsInProgress = 0;
    };

    struct Group
    {
        Token highest;
        std::map<std::uint32_t, Slot> slots;
    };

    static bool isHeld(const Slot &slot, ServerClock now);
    const Slot *find(const GroupId &group, std::uint32_t slot) const;
    static void release(Group &group, ServerClock now);

    GrantBookOptions m_options;
    std::map<GroupId, Group> m_groups;
};

} // namespace snipevalve::standins

#endif // SNIPEVALVE_STANDINS_GRANT_BOOK_HPP
