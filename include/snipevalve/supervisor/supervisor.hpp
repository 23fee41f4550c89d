#ifndef SNIPEVALVE_SUPERVISOR_SUPERVISOR_HPP
#define SNIPEVALVE_SUPERVISOR_SUPERVISOR_HPP

#include <deque>
#include <functional>
#include <string>
#include <vector>

#include "snipevalve/core/time.hpp"
#include "snipevalve/net/asio.hpp"

namespace snipevalve {

/// @brief How often a supervisor restarts its children before it gives up.
struct RestartLimits
{
    std::size_t maxRestarts = 10;
    Milliseconds window{10'000};
    Milliseconds delay{100}; ///< between the end of a child and its restart
};

/// @brief Restarts failed parts of a process; a supervisor can be the child of another one.
///
/// Each child is a coroutine that runs until it fails. A failed child is restarted alone (one for one). When the
/// children of a supervisor fail too often, it fails itself, and its parent decides; at the root the process ends.
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

    /// @param onFailure called when the children failed more often than the limits allow
    Supervisor(asio::any_io_executor executor, std::string name, RestartLimits limits, std::function<void()> onFailure);

    /// @brief Adds a child; it begins with start().
    void add(std::string name, ChildFunction function);

    /// @brief Adds a supervisor as a child; its failure counts as one failure of this one.
    Supervisor &addSupervisor(std::string name, RestartLimits limits = {});

    void start();

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
