#ifndef SNIPEVALVE_SUPERVISOR_SUPERVISOR_HPP
#define SNIPEVALVE_SUPERVISOR_SUPERVISOR_HPP

#include <deque>
#include <functional>
#include <string>
#include <vector>

#include "snipevalve/core/time.hpp"
#include "snipevalve/net/asio.hpp"

namespace snipevalve {

/// @brief How many failures of its children a supervisor tolerates before it fails itself.
struct RestartLimits
{
    std::size_t maxRestarts = 10; ///< within the window, over all children together
    Milliseconds window{10'000};
    Milliseconds delay{100}; ///< between the end of a child and its restart
};

/// @brief Restarts the failed coroutines of a process. Supervisors form a tree, as in Erlang/OTP.
///
/// Each child is a coroutine that runs until it fails; returning counts as a failure, too. Only the failed child is
/// restarted (one-for-one strategy). When the children fail more often than the limits allow, the supervisor fails
/// itself: it restarts no child any more and calls `onFailure`, which reports the failure to the parent supervisor or,
/// at the root, stops the process.
///
/// ```cpp
/// Supervisor root(executor, "entry", {}, [&] { context.stop(); });
/// root.add("links", [&] { return hub.run(); });
/// root.start();
/// ```
class Supervisor
{
public:
    using ChildFunction = std::function<Awaitable<void>()>;

    /// @param name prefix of the children's names in the log
    /// @param onFailure called when the children failed more often than the limits allow
    Supervisor(asio::any_io_executor executor, std::string name, RestartLimits limits, std::function<void()> onFailure);

    /// @brief Adds a child, which start() runs.
    void add(std::string name, ChildFunction function);

    /// @brief Adds a child supervisor. Its failure counts as one failure of this supervisor; it is not restarted.
    Supervisor &addSupervisor(std::string name, RestartLimits limits = {});

    /// @brief Starts all children and child supervisors.
    void start();

    /// @return how often direct children were restarted
    std::size_t restarts() const;

private:
    struct Child
    {
        std::string name;
        ChildFunction function;
    };

    Awaitable<void> runChild(const Child &child);
    void countFailure();

    asio::any_io_executor m_executor;
    std::string m_name;
    RestartLimits m_limits;
    std::function<void()> m_onFailure;
    std::deque<Child> m_children;
    std::deque<Supervisor> m_supervisors;
    std::deque<TimePoint> m_failures;
    std::size_t m_restarts = 0;
    bool m_failed = false;
};

} // namespace snipevalve

#endif // SNIPEVALVE_SUPERVISOR_SUPERVISOR_HPP
