#ifndef SNIPEVALVE_CTL_COMMANDS_HPP
#define SNIPEVALVE_CTL_COMMANDS_HPP

#include <functional>
#include <optional>
#include <string>

namespace snipevalve {

/// @brief The arguments of `check-config`.
struct ConfigCheckArguments
{
    std::string file;
    std::optional<std::string> against; ///< the file with the configuration in force
    bool asJson = false;
};

/// @brief Runs `check-config` and returns its exit code. Only the platform's adapter can read the file.
using ConfigCheck = std::function<int(const ConfigCheckArguments &)>;

/// @brief Runs snipevalvectl, the operators' command line client of the administration API.
/// @return 0 on success, 1 if the API refused the call or gave no response, 2 for a wrong command line, 3 if the
/// outcome of a change is unknown; `diff` returns 1 if it finds differences, `wait` if its timeout passes,
/// `check-config` if the file has errors
int runCtl(int argc, char **argv, const ConfigCheck &checkConfig);

} // namespace snipevalve

#endif // SNIPEVALVE_CTL_COMMANDS_HPP
