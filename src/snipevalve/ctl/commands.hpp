#ifndef SNIPEVALVE_CTL_COMMANDS_HPP
#define SNIPEVALVE_CTL_COMMANDS_HPP

namespace snipevalve {

/// @brief Runs snipevalvectl, the operators' command line client of the administration API.
/// @return 0 on success, 1 if the API refused the call or gave no response, 2 for a wrong command line, 3 if the
/// outcome of a change is unknown; `diff` returns 1 if it finds differences, `wait` if its timeout passes
int runCtl(int argc, char **argv);

} // namespace snipevalve

#endif // SNIPEVALVE_CTL_COMMANDS_HPP
