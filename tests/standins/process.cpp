#include "standins/process.hpp"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>
#include <utility>

namespace snipevalve::standins {

namespace {

/// Replaces the forked child by the program. PR_SET_PDEATHSIG kills the child when the test dies.
void execChild(const std::string &program, std::vector<char *> &arguments, const std::string &output)
{
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int file = ::open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(file, STDOUT_FILENO);
    ::dup2(file, STDERR_FILENO);
    ::execv(program.c_str(), arguments.data());
    ::_exit(127);
}

} // namespace

Process::Process(const std::string &program, const std::vector<std::string> &arguments, const std::string &output)
{
    std::vector<char *> pointers = {const_cast<char *>(program.c_str())};
    for (const std::string &argument : arguments) {
        pointers.push_back(const_cast<char *>(argument.c_str()));
    }
    pointers.push_back(nullptr);
    m_pid = ::fork();
    if (m_pid < 0) {
        throw std::runtime_error("fork failed");
    }
    if (m_pid == 0) {
        execChild(program, pointers, output);
    }
}

Process::~Process()
{
    kill();
}

Process::Process(Process &&other) noexcept
    : m_pid(std::exchange(other.m_pid, -1))
    , m_frozen(other.m_frozen)
{
}

Process &Process::operator=(Process &&other) noexcept
{
    if (this != &other) {
        kill();
        m_pid = std::exchange(other.m_pid, -1);
        m_frozen = other.m_frozen;
    }
    return *this;
}

void Process::kill()
{
    if (m_pid > 0) {
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
        m_pid = -1;
    }
}

void Process::terminate()
{
    if (m_pid > 0) {
        ::kill(m_pid, SIGTERM);
    }
}

void Process::freeze()
{
    ::kill(m_pid, SIGSTOP);
    m_frozen = true;
}

void Process::resume()
{
    ::kill(m_pid, SIGCONT);
    m_frozen = false;
}

int Process::wait(Milliseconds timeout)
{
    constexpr Milliseconds PollInterval(5);
    const TimePoint deadline = Clock::now() + timeout;
    while (m_pid > 0 && Clock::now() < deadline) {
        int status = 0;
        if (::waitpid(m_pid, &status, WNOHANG) == m_pid) {
            m_pid = -1;
            return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
        }
        std::this_thread::sleep_for(PollInterval);
    }
    return -1;
}

bool Process::isRunning() const
{
    if (m_pid <= 0) {
        return false;
    }
    // A child that has ended stays a zombie, which kill(pid, 0) still reports as alive; WNOWAIT leaves it to wait().
    siginfo_t ended{};
    const int result = ::waitid(P_PID, static_cast<id_t>(m_pid), &ended, WEXITED | WNOHANG | WNOWAIT);
    return result == 0 && ended.si_pid == 0;
}

std::string Process::endOf() const
{
    siginfo_t ended{};
    ::waitid(P_PID, static_cast<id_t>(m_pid), &ended, WEXITED | WNOHANG | WNOWAIT);
    if (ended.si_pid == 0) {
        return {};
    }
    return (ended.si_code == CLD_EXITED ? "exit code " : "signal ") + std::to_string(ended.si_status);
}

bool Process::isFrozen() const
{
    return m_frozen;
}

pid_t Process::pid() const
{
    return m_pid;
}

std::string describeThreads(pid_t pid)
{
    std::ostringstream text;
    std::error_code error;
    for (const auto &task : std::filesystem::directory_iterator("/proc/" + std::to_string(pid) + "/task", error)) {
        for (const char *name : {"stat", "wchan", "syscall"}) {
            std::ifstream file(task.path() / name);
            std::string line;
            std::getline(file, line);
            text << name << ": " << line << "; ";
        }
        text << "\n";
    }
    return text.str();
}

MemoryUse memoryOf(pid_t pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/smaps_rollup");
    MemoryUse use;
    for (std::string line; std::getline(file, line);) {
        std::istringstream words(line);
        std::string name;
        std::uint64_t kilobytes = 0;
        words >> name >> kilobytes;
        if (name == "Rss:") {
            use.residentKb = kilobytes;
        } else if (name == "Pss:") {
            use.proportionalKb = kilobytes;
        }
    }
    return use;
}

Milliseconds processorTimeOf(pid_t pid)
{
    // Fields 14 and 15 of /proc/PID/stat are user and system time in clock ticks; see proc(5).
    constexpr int UserField = 14;
    constexpr std::uint64_t MillisecondsPerSecond = 1000;
    std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
    std::string word;
    std::uint64_t ticks = 0;
    for (int field = 1; field <= UserField + 1 && file >> word; ++field) {
        if (field >= UserField) {
            ticks += std::stoull(word);
        }
    }
    const auto perSecond = static_cast<std::uint64_t>(::sysconf(_SC_CLK_TCK));
    return Milliseconds(ticks * MillisecondsPerSecond / perSecond);
}

} // namespace snipevalve::standins
