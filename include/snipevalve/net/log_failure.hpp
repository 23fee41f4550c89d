#ifndef SNIPEVALVE_NET_LOG_FAILURE_HPP
#define SNIPEVALVE_NET_LOG_FAILURE_HPP

#include <exception>
#include <string>

namespace snipevalve {

/// @brief Completion handler for a coroutine that serves one connection or call. It logs an exception that ends the
/// coroutine; the rest of the process continues. (asio::detached would rethrow it on the thread and so terminate the
/// process.)
///
/// Don't use it for loops that the process depends on: when one of them fails, the process should terminate and be
/// restarted.
class LogFailure
{
public:
    /// @param component name of the failing component, the prefix of the log line
    explicit LogFailure(std::string component);

    void operator()(const std::exception_ptr &failure) const;

private:
    std::string m_component;
};

} // namespace snipevalve

#endif // SNIPEVALVE_NET_LOG_FAILURE_HPP
