#ifndef SNIPEVALVE_RESOURCES_CATALOG_HPP
#define SNIPEVALVE_RESOURCES_CATALOG_HPP

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "snipevalve/core/item.hpp"
#include "snipevalve/core/token.hpp"
#include "snipevalve/resources/resource.hpp"

namespace snipevalve {

/// @brief The resources in force in this process, by name.
class Catalog
{
public:
    /// @brief Takes in a resource item; an unreadable payload leaves the catalog as it is.
    void apply(const Item &item);

    const Service *service(const std::string &name) const;
    const Server *server(const std::string &name) const;
    const std::map<std::string, Service> &services() const;
    const std::map<std::string, Route> &routes() const;

    /// @brief The route with the longest prefix of `path`; null when none fits.
    const Route *routeFor(std::string_view path) const;

    std::vector<Server> serversOf(const std::string &service) const;
    std::vector<Server> membersOf(const GroupId &group) const;

    /// @brief The placement groups of all keyed services.
    std::vector<GroupId> groups() const;

private:
    void remove(const std::string &path);

    std::map<std::string, Service> m_services;
    std::map<std::string, Server> m_servers;
    std::map<std::string, Route> m_routes;
};

/// @brief The store's value for a resource: the document and the id of the write.
///
/// The ids of the writes before it let an operator whose answer was lost learn that the write took effect, even after
/// another one has gone on top of it.
struct ResourceEnvelope
{
    std::string writeId;
    std::string document;
    std::vector<std::string> earlierWrites; ///< newest first
};

/// @brief The envelope of the write that goes on top of `previous`.
ResourceEnvelope envelopeAfter(const std::optional<ResourceEnvelope> &previous, std::string writeId,
                               std::string document);

std::string toJson(const ResourceEnvelope &envelope);
std::optional<ResourceEnvelope> parseEnvelope(std::string_view text);

/// @brief Prefixes of the store's keys.
inline constexpr std::string_view ResourcePrefix = "config/";
inline constexpr std::string_view LeaderPrefix = "leaders/";
inline constexpr std::string_view PlanPrefix = "plans/";

} // namespace snipevalve

#endif // SNIPEVALVE_RESOURCES_CATALOG_HPP
