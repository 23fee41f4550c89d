#ifndef SNIPEVALVE_STANDINS_GRANT_BOOK_HPP
#define SNIPEVALVE_STANDINS_GRANT_BOOK_HPP

#include <map>

#include "snipevalve/placement/grant.hpp"

namespace snipevalve::standins {

/// @brief How a keyed server treats grants; the switches make faulty servers for tests.
struct GrantBookOptions
{
    bool checksTokens = true; ///< refuses orders with a lower token than the highest seen
    bool countsFromAnchor = true; ///< a grant ends at its anchor plus lifetime; otherwise it counts from receipt
};

/// @brief The grants of one server: what it owns, until when, and what is still at work. No I/O, no clock.
class GrantBook
{
public:
    explicit GrantBook(GrantBookOptions options = {});

    GrantAnswer apply(const GrantOrder &order, ServerClock now);

    /// @brief Whether new work for the slot is taken. A request with a token older than the grant is refused.
    bool owns(const GroupId &group, std::uint32_t slot, const Token &token, ServerClock now) const;

    /// @brief Whether work that has begun may still take effect.
    bool mayTakeEffect(const GroupId &group, std::uint32_t slot, ServerClock now) const;

    /// @brief The token of the order that gave the slot to this server; it orders the owners of a slot.
    Token acquired(const GroupId &group, std::uint32_t slot) const;

    void beginWork(const GroupId &group, std::uint32_t slot);
    void endWork(const GroupId &group, std::uint32_t slot);

    std::vector<std::uint32_t> held(const GroupId &group, ServerClock now) const;

private:
    struct Slot
    {
        Token acquired;
        ServerClock expiry{0};
        bool released = false; ///< taken away while work was going on
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
