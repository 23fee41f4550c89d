#ifndef SNIPEVALVE_STORE_HTTP_STORE_HPP
#define SNIPEVALVE_STORE_HTTP_STORE_HPP

#include <functional>

#include "snipevalve/net/http_client.hpp"
#include "snipevalve/store/config_store.hpp"

namespace snipevalve {

/// @brief Client of the platform's store over its HTTP and JSON interface. Not thread-safe.
class HttpStore
{
public:
    /// @param timeout longest wait for an answer, in addition to the time that the store holds a watch
    /// @param sourceAddress local address of the connections; empty for the system's choice
    HttpStore(asio::any_io_executor executor, Endpoint endpoint, Milliseconds timeout, std::string sourceAddress = {});

    Awaitable<absl::StatusOr<StoredValue>> read(std::string key);
    Awaitable<absl::StatusOr<StoredList>> list(std::string prefix);
    /// @return NotFound when the lease of the write has expired
    Awaitable<absl::StatusOr<WriteResult>> write(StoreWrite write);

    /// @brief Waits for changes under a prefix (long polling).
    /// @param from the revision after which events are returned
    /// @param wait how long the store holds the call while there are no events
    /// @return OutOfRange when the store no longer has the events after `from`
    Awaitable<absl::StatusOr<StoreEvents>> watch(std::string prefix, std::uint64_t from, Milliseconds wait);

    Awaitable<absl::StatusOr<std::uint64_t>> createLease(Milliseconds lifetime);

    /// @return NotFound when the lease has expired
    Awaitable<absl::Status> renewLease(std::uint64_t lease);

    /// @return 0: this store names no era
    std::uint64_t era() const
    {
        return 0;
    }

    void observeEra(std::uint64_t)
    {
    }

    void setOnRestored(std::function<void(std::uint64_t)>)
    {
    }

private:
    /// @param holdTime how long the store may hold the call; extends the timeout
    Awaitable<absl::StatusOr<HttpReply>> call(http::verb method, std::string target, std::string body,
                                              Milliseconds holdTime = Milliseconds(0));

    HttpClient m_client;
    Endpoint m_endpoint;
    Milliseconds m_timeout;
};

static_assert(ConfigStore<HttpStore>);

} // namespace snipevalve

#endif // SNIPEVALVE_STORE_HTTP_STORE_HPP
