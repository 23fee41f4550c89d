#ifndef SNIPEVALVE_PLACEMENT_APP_PLACEMENT_CONTEXT_HPP
#define SNIPEVALVE_PLACEMENT_APP_PLACEMENT_CONTEXT_HPP

#include "snipevalve/link/link_hub.hpp"
#include "snipevalve/net/http_client.hpp"
#include "snipevalve/resources/catalog.hpp"
#include "snipevalve/settings/settings.hpp"
#include "snipevalve/store/http_store.hpp"

namespace snipevalve {

/// @brief The objects that the parts of the placement process share. All of them are used on the control thread only.
struct PlacementContext
{
    asio::any_io_executor executor;
    const Settings &settings;
    HttpStore &store;
    HttpClient &client;
    LinkHub &hub;
    Catalog &catalog;
};

} // namespace snipevalve

#endif // SNIPEVALVE_PLACEMENT_APP_PLACEMENT_CONTEXT_HPP
