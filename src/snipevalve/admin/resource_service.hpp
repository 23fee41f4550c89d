#ifndef SNIPEVALVE_ADMIN_RESOURCE_SERVICE_HPP
#define SNIPEVALVE_ADMIN_RESOURCE_SERVICE_HPP

#include <optional>
#include <string>
#include <vector>

#include "snipevalve/resources/catalog.hpp"
#include "snipevalve/store/http_store.hpp"

namespace snipevalve {

/// @brief A resource as it stands in the store.
struct StoredResource
{
    std::string document;
    std::uint64_t revision = 0;
};

/// @brief How a change of a resource ended.
enum class ChangeOutcome {
    Done, ///< it stands, or stood until another change went on top of it
    Conflict, ///< the resource has another revision than the change was made on; nothing was changed
    Invalid, ///< it has findings; nothing was changed
    NotRun, ///< the store could not be reached; nothing was changed
    Unknown, ///< the store gave no answer in time; the change may have taken effect
};

struct ChangeResult
{
    ChangeOutcome outcome = ChangeOutcome::NotRun;
    std::uint64_t revision = 0; ///< with Done the new one, with Conflict the current one
    std::string message;
    Findings findings;
};

/// @brief A wanted change of one resource.
struct Change
{
    std::string path; ///< `kind/name`
    std::optional<Resource> resource; ///< empty: remove it
    std::uint64_t expectedRevision = 0; ///< 0: it must not exist
    bool dryRun = false;
};

/// @brief Reads and changes resources in the store, each change by compare-and-swap.
class ResourceService
{
public:
    /// @param writeIdPrefix names this process in the ids of its writes
    ResourceService(HttpStore &store, std::string writeIdPrefix, Milliseconds writeTimeout);

    Awaitable<absl::StatusOr<StoredResource>> read(std::string path);
    Awaitable<absl::StatusOr<StoredList>> list(std::string prefix);
    Awaitable<ChangeResult> change(Change change);

private:
    Awaitable<ChangeResult> write(const Change &change, const StoredValue &current);
    Findings validate(const Change &change, const StoredList &list) const;

    HttpStore &m_store;
    std::string m_writeIdPrefix;
    Milliseconds m_writeTimeout;
    std::uint64_t m_writeCount = 0;
};

} // namespace snipevalve

#endif // SNIPEVALVE_ADMIN_RESOURCE_SERVICE_HPP
