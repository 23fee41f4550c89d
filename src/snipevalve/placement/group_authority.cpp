#include "snipevalve/placement/group_authority.hpp"

#include "snipevalve/placement/detail/group_authority_impl.hpp"

namespace snipevalve {

template class BasicGroupAuthority<StandardRules>;

} // namespace snipevalve
