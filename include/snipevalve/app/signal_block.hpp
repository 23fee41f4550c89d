#ifndef SNIPEVALVE_APP_SIGNAL_BLOCK_HPP
#define SNIPEVALVE_APP_SIGNAL_BLOCK_HPP

#include <csignal>

namespace snipevalve {

/// @brief Holds back SIGHUP, SIGINT and SIGTERM until the program has installed its handlers; their default action
/// would end the process. Threads that are started meanwhile never take these signals.
class SignalBlock
{
public:
    SignalBlock()
    {
        sigset_t signals;
        sigemptyset(&signals);
        for (const int signal : {SIGHUP, SIGINT, SIGTERM}) {
            sigaddset(&signals, signal);
        }
        ::pthread_sigmask(SIG_BLOCK, &signals, &m_previous);
    }

    ~SignalBlock()
    {
        release();
    }

    SignalBlock(const SignalBlock &) = delete;
    SignalBlock &operator=(const SignalBlock &) = delete;

    /// @brief Delivers what was held back, and what comes from now on.
    void release()
    {
        ::pthread_sigmask(SIG_SETMASK, &m_previous, nullptr);
    }

private:
    sigset_t m_previous;
};

} // namespace snipevalve

#endif // SNIPEVALVE_APP_SIGNAL_BLOCK_HPP
