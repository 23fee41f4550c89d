#ifndef SNIPEVALVE_STANDINS_PROCESS_HPP
#define SNIPEVALVE_STANDINS_PROCESS_HPP

#include <sys/types.h>

#include <string>
#include <vector>

#include "snipevalve/core/time.hpp"

namespace snipevalve::standins {

/// @brief A child process of a test. It is killed when this object is destroyed and when the test itself dies.
class Process
{
public:
    /// @brief Starts a program. It inherits the signals that the calling thread has blocked.
    /// @param output file to which standard output and standard error are appended
    /// @throws std::runtime_error when no process can be created
    Process(const std::string &program, const std::vector<std::string> &arguments, const std::string &output);
    ~Process();
    Process(Process &&other) noexcept;
    Process &operator=(Process &&other) noexcept;

    /// @brief Sends SIGKILL and waits until the process has ended.
    void kill();

    /// @brief Sends SIGTERM without waiting.
    void terminate();

    /// @brief Suspends the process with SIGSTOP.
    void freeze();

    /// @brief Resumes a suspended process with SIGCONT.
    void resume();

    /// @brief Waits until the process has ended.
    /// @return the exit code; -1 when the process does not end in time or a signal ended it
    int wait(Milliseconds timeout);
    bool isRunning() const;

    /// @return how the process has ended, e.g. "signal 9"; empty while it is running
    std::string endOf() const;

    /// @return whether `freeze` has suspended the process
    bool isFrozen() const;

    pid_t pid() const;

private:
    pid_t m_pid = -1;
    bool m_frozen = false;
};

/// @brief What the threads of a process are doing, a line each: name, state, system call and time used, as in proc(5).
std::string describeThreads(pid_t pid);

/// @brief Memory of a process in kB.
struct MemoryUse
{
    std::uint64_t residentKb = 0; ///< resident set size (RSS)
    std::uint64_t proportionalKb = 0; ///< proportional set size (PSS): shared pages count by their share
};

/// @brief Reads the memory use of a process from /proc; zeros when it does not exist.
MemoryUse memoryOf(pid_t pid);

/// @brief User and system time that a process has used so far.
Milliseconds processorTimeOf(pid_t pid);

} // namespace snipevalve::standins

#endif // SNIPEVALVE_STANDINS_PROCESS_HPP
