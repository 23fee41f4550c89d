#ifndef SNIPEVALVE_CTL_COMMANDS_HPP
#define SNIPEVALVE_CTL_COMMANDS_HPP

namespace snipevalve {

/// @brief The operators' command line over the administration API.
/// @return 0 on success, 1 when the API refused, 2 for a wrong command line, 3 when the fate of a change is unknown
int runCtl(int argc, char **argv);

} // namespace snipevalve

#endif // SNIPEVALVE_CTL_COMMANDS_HPP
