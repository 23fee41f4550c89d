#ifndef SNIPEVALVE_STORE_HTTP_STORE_HPP
#define SNIPEVALVE_STORE_HTTP_STORE_HPP

#include "snipevalve/net/http_client.hpp"
#include "snipevalve/store/config_store.hpp"

namespace snipevalve {

/// @brief The platform's store over its HTTP and JSON interface. For use on one thread.
class HttpStore
{
public:
    HttpStore(asio::any_io_executor executor, Endpoint endpoint, Milliseconds timeout, std::string sourceAddress = {});

    Awaitable<absl::StatusOr<StoredValue>> read(std::string key);
    Awaitable<absl::StatusOr<StoredList>> list(std::string prefix);
    Awaitable<absl::StatusOr<WriteResult>> write(StoreWrite write);

    /// @param from events after this revision
    /// @param wait how long the store holds the call while there is none
    Awaitable<absl::StatusOr<StoreEvents>> watch(std::string prefix, std::uint64_t from, Milliseconds wait);

    Awaitable<absl::StatusOr<std::uint64_t>> createLease(Milliseconds lifetime);

    /// @return NotFound when the lease has lapsed
    Awaitable<absl::Status> renewLease(std::uint64_t lease);

private:
    Awaitable<absl::StatusOr<HttpReply>> call(http::verb method, std::string target, std::string body,
                                              Milliseconds holdTime = Milliseconds(0));

    HttpClient m_client;
    Endpoint m_endpoint;
    Milliseconds m_timeout;
};

static_assert(ConfigStore<HttpStore>);

} // namespace snipevalve

#endif // SNIPEVALVE_STORE_HTTP_STORE_HPP
