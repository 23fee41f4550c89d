#include "snipevalve/ownership/detail/key_authority_impl.hpp"

namespace snipevalve {

template class BasicKeyAuthority<StandardKeyRules>;

} // namespace snipevalve
