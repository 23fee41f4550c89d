#ifndef SNIPEVALVE_PROCESS_PROCESS_LIMITS_HPP
#define SNIPEVALVE_PROCESS_PROCESS_LIMITS_HPP

#include <sys/types.h>

#include <filesystem>
#include <fstream>
#include <string>

namespace snipevalve::standins {

/// @brief Peak resident memory of a process in MB; 0 when it does not exist.
inline std::size_t peakMemoryMb(pid_t pid)
{
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.rfind("VmHWM:", 0) == 0) {
            return std::stoul(line.substr(line.find_first_of("0123456789"))) / 1024;
        }
    }
    return 0;
}

/// @brief Number of open descriptors of a process; 0 when it does not exist.
inline std::size_t openDescriptors(pid_t pid)
{
    std::error_code error;
    std::size_t count = 0;
    for (auto entry = std::filesystem::directory_iterator("/proc/" + std::to_string(pid) + "/fd", error);
         !error && entry != std::filesystem::directory_iterator(); entry.increment(error)) {
        ++count;
    }
    return count;
}

} // namespace snipevalve::standins

#endif // SNIPEVALVE_PROCESS_PROCESS_LIMITS_HPP
