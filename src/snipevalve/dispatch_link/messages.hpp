#ifndef SNIPEVALVE_DISPATCH_LINK_MESSAGES_HPP
#define SNIPEVALVE_DISPATCH_LINK_MESSAGES_HPP

#include "snipevalve/dispatch/work.hpp"
#include "snipevalve/dispatch_link/generated/dispatch.pb.h"
#include "snipevalve/gateway/config_change.hpp"
#include "snipevalve/gateway/evacuations.hpp"
#include "snipevalve/gateway/leader_table.hpp"
#include "snipevalve/gateway/leaving_servers.hpp"
#include "snipevalve/gateway/server_load.hpp"
#include "snipevalve/node/known_views.hpp"
#include "snipevalve/node/view_change.hpp"

namespace snipevalve {

/// @file Conversions between the protobuf messages that hosts exchange and the types of the other classes.

proto::Ask toProto(const std::string &service, const WorkItem &item, TimePoint now);

/// @param zone the availability zone of the asking host
/// @return the item with its ticket left unset
WorkItem fromProto(const proto::Ask &ask, const std::string &zone, TimePoint now);

proto::Permit toProto(const Placement &placement);
Placement fromProto(const proto::Permit &permit);
proto::Refusal toProto(const Rejection &rejection);
Rejection fromProto(const proto::Refusal &refusal);
proto::View toProto(const ServiceView &view);
ServiceView fromProto(const proto::View &view);
proto::KnownView toProto(const KnownView &known);
KnownView fromProto(const proto::KnownView &message);
proto::ViewChange toProto(const ViewChange &change);
ViewChange fromProto(const proto::ViewChange &message);

proto::LeavingServer toProto(const LeavingServer &leaving, TimePoint now);
LeavingServer fromProto(const proto::LeavingServer &message, TimePoint now);

proto::ConfigChange toProto(const ConfigChange &change);
ConfigChange fromProto(const proto::ConfigChange &message);
proto::Leaders toProto(const LeaderTable &table);
LeaderTable fromProto(const proto::Leaders &message);
proto::Evacuations toProto(const Evacuations &evacuations);
Evacuations fromProto(const proto::Evacuations &message);

proto::ServerLoad toProto(const ServerLoad &load);

/// @return the load that a host has forwarded; empty when there is none or a field is out of its range
std::optional<ServerLoad> loadOf(const proto::Done &done);

/// @brief Converts the number received for the outcome of a send. An unknown number becomes WorkEnd::Abandoned.
WorkEnd toWorkEnd(std::uint32_t number);

} // namespace snipevalve

#endif // SNIPEVALVE_DISPATCH_LINK_MESSAGES_HPP
