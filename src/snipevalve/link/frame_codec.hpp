#ifndef SNIPEVALVE_LINK_FRAME_CODEC_HPP
#define SNIPEVALVE_LINK_FRAME_CODEC_HPP

#include "snipevalve/link/generated/link.pb.h"
#include "snipevalve/link/link.hpp"

namespace snipevalve::detail {

/// Converts frames between LinkFrame and the messages of proto/link.proto.
inline proto::Frame toProto(const LinkFrame &frame)
{
    proto::Frame message;
    message.set_node(frame.node);
    message.set_role(frame.role);
    for (const Item &item : frame.items) {
        proto::Item *out = message.add_items();
        out->set_kind(static_cast<std::uint32_t>(item.key.kind));
        out->set_name(item.key.name);
        out->set_major(item.version.major);
        out->set_minor(item.version.minor);
        out->set_payload(item.payload);
        out->set_removed(item.removed);
    }
    return message;
}

inline LinkFrame fromProto(const proto::Frame &message)
{
    LinkFrame frame;
    frame.node = message.node();
    frame.role = message.role();
    for (const proto::Item &in : message.items()) {
        Item item;
        item.key = {static_cast<ItemKind>(in.kind()), in.name()};
        item.version = {in.major(), in.minor()};
        item.payload = in.payload();
        item.removed = in.removed();
        frame.items.push_back(std::move(item));
    }
    return frame;
}

} // namespace snipevalve::detail

#endif // SNIPEVALVE_LINK_FRAME_CODEC_HPP
