#include "snipevalve/admin/resource_service.hpp"

#include <algorithm>

namespace snipevalve {

namespace {

std::string storeKey(const std::string &path)
{
    return std::string(ResourcePrefix) + path;
}

std::optional<Resource> resourceOf(const StoredValue &value)
{
    const auto envelope = parseEnvelope(value.value);
    if (!envelope) {
        return std::nullopt;
    }
    auto resource = parseResource(envelope->document);
    return resource.ok() ? std::optional(std::move(*resource)) : std::nullopt;
}

/// Whether the write with this id was committed and has been replaced by a later write since.
bool wasSuperseded(const StoredValue &current, const std::string &writeId)
{
    const auto envelope = parseEnvelope(current.value);
    return envelope && std::count(envelope->earlierWrites.begin(), envelope->earlierWrites.end(), writeId) > 0;
}

} // namespace

ResourceService::ResourceService(HttpStore &store, std::string writeIdPrefix, Milliseconds writeTimeout)
    : m_store(store)
    , m_writeIdPrefix(std::move(writeIdPrefix))
    , m_writeTimeout(writeTimeout)
{
}

Awaitable<absl::StatusOr<StoredResource>> ResourceService::read(std::string path)
{
    const auto value = co_await m_store.read(storeKey(path));
    if (!value.ok()) {
        co_return value.status();
    }
    const auto envelope = parseEnvelope(value->value);
    if (value->revision == 0 || !envelope) {
        co_return absl::NotFoundError("there is no " + path);
    }
    co_return StoredResource{envelope->document, value->revision};
}

Awaitable<absl::StatusOr<StoredList>> ResourceService::list(std::string prefix)
{
    co_return co_await m_store.list(storeKey(prefix));
}

Awaitable<ChangeResult> ResourceService::change(Change change)
{
    ChangeResult result;
    const auto list = co_await m_store.list(std::string(ResourcePrefix));
    if (!list.ok()) {
        result.message = "the store can't be reached";
        co_return result;
    }
    StoredValue current = {storeKey(change.path), {}, 0};
    for (const StoredValue &value : list->values) {
        if (value.key == current.key) {
            current = value;
        }
    }
    if (current.revision != change.expectedRevision) {
        result.outcome = ChangeOutcome::Conflict;
        result.revision = current.revision;
        result.message = "the resource has another revision than the change was made on";
        co_return result;
    }
    result.findings = validate(change, *list);
    if (!result.findings.empty()) {
        result.outcome = ChangeOutcome::Invalid;
        co_return result;
    }
    if (change.dryRun) {
        result.outcome = ChangeOutcome::Done;
        result.revision = current.revision;
        co_return result;
    }
    co_return co_await write(change, current);
}

Findings ResourceService::validate(const Change &change, const StoredList &list) const
{
    std::vector<Resource> resources;
    for (const StoredValue &value : list.values) {
        auto resource = value.key == storeKey(change.path) ? std::nullopt : resourceOf(value);
        if (resource) {
            resources.push_back(std::move(*resource));
        }
    }
    if (change.resource) {
        resources.push_back(*change.resource);
    }
    return checkReferences(resources);
}

Awaitable<ChangeResult> ResourceService::write(const Change &change, const StoredValue &current)
{
    const std::string writeId = m_writeIdPrefix + "-" + std::to_string(++m_writeCount);
    StoreWrite write;
    write.key = current.key;
    write.expectedRevision = current.revision;
    write.remove = !change.resource;
    if (change.resource) {
        write.value = toJson(envelopeAfter(parseEnvelope(current.value), writeId, toJson(*change.resource)));
    }
    const auto written = co_await writeWithRetry(m_store, write, Clock::now() + m_writeTimeout);
    ChangeResult result;
    if (!written.ok()) {
        const bool isNotRun = absl::IsFailedPrecondition(written.status());
        result.outcome = isNotRun ? ChangeOutcome::NotRun : ChangeOutcome::Unknown;
        result.message = isNotRun ? "the store can't be reached" : "the store did not answer; read the resource";
        co_return result;
    }
    const bool isDeleted = write.remove && written->current.revision == 0;
    const bool isDone = written->committed || isDeleted || wasSuperseded(written->current, writeId);
    result.outcome = isDone ? ChangeOutcome::Done : ChangeOutcome::Conflict;
    result.revision = written->current.revision;
    result.message = isDone ? "" : "another change came first";
    co_return result;
}

} // namespace snipevalve
