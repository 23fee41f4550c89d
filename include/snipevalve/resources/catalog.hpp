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

/// @brief The services, servers and routes that this process currently uses, indexed by name.
class Catalog
{
public:
    /// @brief Adds, replaces or removes the resource of an item. If the payload can't be parsed, the catalog is
    /// unchanged.
    void apply(const Item &item);

    /// @return the service; null if the catalog has none of this name
    const Service *service(const std::string &name) const;

    /// @return the server; null if the catalog has none of this name
    const Server *server(const std::string &name) const;

    const std::map<std::string, Service> &services() const;
    const std::map<std::string, Route> &routes() const;

    /// @brief Finds the route whose path prefix is the longest match for `path`.
    /// @return the route; null if no prefix matches
    const Route *routeFor(std::string_view path) const;

    std::vector<Server> serversOf(const std::string &service) const;

    /// @brief The servers of one placement group.
    std::vector<Server> membersOf(const GroupId &group) const;

    /// @brief The placement groups of all keyed services.
    std::vector<GroupId> groups() const;

private:
    /// @param path kind and name, as from pathOf()
    void remove(const std::string &path);

    std::map<std::string, Service> m_services;
    std::map<std::string, Server> m_servers;
    std::map<std::string, Route> m_routes;
};

/// @brief The value that the store holds for a resource: the document and the id of the write that stored it.
///
/// It also keeps the ids of earlier writes. An operator who lost the response to a write can so find out that the write
/// took effect, even if a later write has replaced the document.
struct ResourceEnvelope
{
    std::string writeId;
    std::string document;
    std::vector<std::string> earlierWrites; ///< newest first
};

/// @brief Creates the envelope of a write that replaces `previous`.
/// @param previous the envelope in the store; empty if the resource is new
/// @return an envelope whose earlier writes begin with the write of `previous`
ResourceEnvelope envelopeAfter(const std::optional<ResourceEnvelope> &previous, std::string writeId,
                               std::string document);

std::string toJson(const ResourceEnvelope &envelope);

/// @return the envelope; empty if the text is not a JSON object with `resource` and `writeId`
std::optional<ResourceEnvelope> parseEnvelope(std::string_view text);

/// @brief Prefixes of the keys in the store, by the kind of value.
inline constexpr std::string_view ResourcePrefix = "config/";
inline constexpr std::string_view LeaderPrefix = "leaders/";
inline constexpr std::string_view PlanPrefix = "plans/";

} // namespace snipevalve

#endif // SNIPEVALVE_RESOURCES_CATALOG_HPP
