#include "snipevalve/ownership/detail/key_authority_impl.hpp"

namespace snipevalve {

template class BasicKeyAuthority<StandardKeyRules>;

std::uint64_t firstTermOfEra(std::uint64_t era)
{
    return std::min(era, detail::MaxEra) * detail::TermsPerEra + 1;
}

} // namespace snipevalve
