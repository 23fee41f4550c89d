#ifndef SNIPEVALVE_APP_BROKEN_PIPES_HPP
#define SNIPEVALVE_APP_BROKEN_PIPES_HPP

#include <csignal>

namespace snipevalve {

/// @brief Makes writes to a pipe without a reader fail. By default SIGPIPE ends the process, for example when the
/// process that collects its log restarts.
inline void ignoreBrokenPipes()
{
    std::signal(SIGPIPE, SIG_IGN);
}

} // namespace snipevalve

#endif // SNIPEVALVE_APP_BROKEN_PIPES_HPP
