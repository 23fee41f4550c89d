#ifndef SNIPEVALVE_ADMIN_RESOURCE_SERVICE_HPP
#define SNIPEVALVE_ADMIN_RESOURCE_SERVICE_HPP

#include <optional>
#include <string>
#include <vector>

#include "snipevalve/resources/catalog.hpp"
#include "snipevalve/store/http_store.hpp"

namespace snipevalve {

/// @brief A resource document and its revision in the store.
struct StoredResource
{
    std::string document;
    std::uint64_t revision = 0;
};

/// @brief The outcome of a change to a resource.
enum class ChangeOutcome {
    Done, ///< committed, also if a later change has replaced it since; or a dry run that would pass
    Conflict, ///< the current revision differs from the expected one; nothing was changed
    Invalid, ///< validation produced findings; nothing was changed
    NotRun, ///< the store could not be reached; nothing was changed
    Unknown, ///< the store did not answer in time; the change may have been committed
};

struct ChangeResult
{
    ChangeOutcome outcome = ChangeOutcome::NotRun;
    std::uint64_t revision = 0; ///< with Done or Conflict, the revision of the resource now in the store
    std::string message;
    Findings findings;
};

/// @brief A requested change of one resource.
struct Change
{
    std::string path; ///< `kind/name`
    std::optional<Resource> resource; ///< empty: delete the resource
    std::uint64_t expectedRevision = 0; ///< 0: the resource must not exist
    bool dryRun = false;
};

/// @brief Reads and changes resources in the store. A change is a compare-and-swap on the revision of the resource.
class ResourceService
{
public:
    /// @param writeIdPrefix the start of the ids of all writes, unique to this process
    /// @param writeTimeout how long a write is retried when the store does not answer
    ResourceService(HttpStore &store, std::string writeIdPrefix, Milliseconds writeTimeout);

    /// @param path `kind/name`
    /// @return NotFound if the resource does not exist, another error if the store can't be reached
    Awaitable<absl::StatusOr<StoredResource>> read(std::string path);
    /// @param prefix the start of the paths, such as `service/`
    Awaitable<absl::StatusOr<StoredList>> list(std::string prefix);
    /// @brief Validates the change against all stored resources, then writes it unless it is a dry run.
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
