#ifndef SNIPEVALVE_PLACEMENT_DETAIL_GROUP_AUTHORITY_IMPL_HPP
#define SNIPEVALVE_PLACEMENT_DETAIL_GROUP_AUTHORITY_IMPL_HPP

/// @file The definitions of BasicGroupAuthority, to be included by code that instantiates it with its own rules.
#include "snipevalve/placement/detail/group_authority_events.hpp"
#include "snipevalve/placement/detail/group_authority_steps.hpp"

#endif // SNIPEVALVE_PLACEMENT_DETAIL_GROUP_AUTHORITY_IMPL_HPP
