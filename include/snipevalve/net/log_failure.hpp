#ifndef SNIPEVALVE_NET_LOG_FAILURE_HPP
#define SNIPEVALVE_NET_LOG_FAILURE_HPP

#include <exception>
#include <string>

namespace snipevalve {

/// @brief Completion handler for a coroutine that serves one connection or call: what it throws ends it alone and is
/// logged. (asio::detached would pass it on to the thread and so end the process.)
///
/// Not for loops that the process can't do without: without them it had better be restarted.
class LogFailure
{
public:
    /// @param component what fails, as it is named in the log
    explicit LogFailure(std::string component);

    void operator()(const std::exception_ptr &failure) const;

private:
    std::string m_component;
};

} // namespace snipevalve

#endif // SNIPEVALVE_NET_LOG_FAILURE_HPP
