#include <catch2/catch.hpp>

#include <random>

#include <google/protobuf/stubs/logging.h>

#include "snipevalve/dispatch/dispatcher.hpp"
#include "snipevalve/dispatch_link/messages.hpp"

namespace snipevalve {

namespace {

ServiceView smallView()
{
    ServiceView view{"ledger", true, {}, {}};
    for (const char *id : {"a", "b", "c"}) {
        UpstreamServer server;
        server.id = id;
        server.service = view.service;
        server.endpoint = {"10.0.0.1", 80};
        server.zone = "z";
        server.slots = 2;
        view.servers.push_back(server);
    }
    view.owners = KeyOwners({{{0, 99}, "a"}, {{100, 30'000}, "b"}, {{30'001, 65'535}, "c"}});
    return view;
}

proto::LeaderFrame leaderFrame()
{
    proto::LeaderFrame frame;
    ServiceView later = smallView();
    later.servers.pop_back();
    later.owners = KeyOwners({{{0, 4'000}, "a"}});
    *frame.add_views() = toProto(smallView());
    *frame.add_view_changes() = toProto(changeBetween(smallView(), later));
    *frame.add_permits() = toProto(Placement{7, smallView().servers.front(), Milliseconds(90)});
    *frame.add_refusals() = toProto(Rejection{8, RejectReason::TooLate, Milliseconds(300), 2});
    frame.set_config_version(9);
    frame.set_hosts(195);
    GatewayConfig config;
    config.version = 9;
    GatewayRoute route;
    route.host = "h";
    route.pathPrefix = "/a/";
    route.kind = RequestKind::Download;
    route.services = {{"ledger", 3}};
    config.addRoute(route);
    *frame.mutable_config() = toProto(changeBetween(nullptr, config));
    *frame.mutable_leaders() = toProto(LeaderTable{2, 5, {{"ledger", {{"10.0.0.2", 81}, 4}}}});
    return frame;
}

/// Overwrites, removes or duplicates some bytes, or flips a bit, in one or two places.
std::string corrupted(std::string bytes, std::mt19937_64 &random)
{
    const std::size_t changes = 1 + random() % 2;
    for (std::size_t change = 0; change < changes && !bytes.empty(); ++change) {
        const std::size_t at = random() % bytes.size();
        switch (random() % 4) {
        case 0:
            bytes[at] = static_cast<char>(random());
            break;
        case 1:
            bytes.erase(at, 1 + random() % 8);
            break;
        case 2:
            bytes.insert(at, bytes.substr(at, 1 + random() % 16));
            break;
        default:
            bytes[at] = static_cast<char>(bytes[at] ^ (1 << (random() % 8)));
        }
    }
    return bytes;
}

} // namespace

TEST_CASE("a route's kind is preserved by conversion, and an unknown kind runs at most once")
{
    proto::LeaderFrame frame = leaderFrame();
    CHECK(fromProto(frame.config()).routes.front().kind == RequestKind::Download);
    frame.mutable_config()->mutable_routes(0)->set_kind(99);
    CHECK_FALSE(isIdempotent(fromProto(frame.config()).routes.front().kind));
}

TEST_CASE("corrupted frames are refused or converted, and never end the process")
{
    constexpr int Rounds = 5'000;
    google::protobuf::SetLogHandler(nullptr); // silences the message that protobuf logs for each rejected frame
    std::mt19937_64 random(20261205);
    const std::string leaderBytes = leaderFrame().SerializeAsString();
    proto::HostFrame host;
    WorkItem item;
    item.key = 7;
    *host.add_asks() = toProto("ledger", item, Clock::now());
    const std::string hostBytes = host.SerializeAsString();
    int parsed = 0;
    for (int round = 0; round < Rounds; ++round) {
        const TimePoint now = Clock::now();
        proto::LeaderFrame frame;
        proto::HostFrame asks;
        Dispatcher dispatcher{DispatcherOptions{}};
        ServiceView view = smallView();
        if (frame.ParseFromString(corrupted(leaderBytes, random))) {
            ++parsed;
            for (const proto::View &each : frame.views()) {
                view = fromProto(each);
            }
            for (const proto::ViewChange &each : frame.view_changes()) {
                view = applyChange(view, fromProto(each));
            }
            for (const proto::Permit &each : frame.permits()) {
                fromProto(each);
            }
            for (const proto::Refusal &each : frame.refusals()) {
                fromProto(each);
            }
            fromProto(frame.config());
            fromProto(frame.leaders());
        }
        dispatcher.setServers(view.servers, now);
        dispatcher.setOwners(view.owners, now);
        if (asks.ParseFromString(corrupted(hostBytes, random))) {
            for (const proto::Ask &ask : asks.asks()) {
                dispatcher.submit(fromProto(ask, "z", now), now);
            }
        }
        dispatcher.advance(now + Milliseconds(50));
    }
    CHECK(parsed > Rounds / 10);
}

TEST_CASE("a departure reaches the leader with its time and with what told it", "[promise-6]")
{
    const TimePoint now{std::chrono::hours(1)};
    for (const LeavingSource source : {LeavingSource::List, LeavingSource::Answer}) {
        INFO(describe(source));
        const LeavingServer received =
            fromProto(toProto({"ledger", {"a", 7}, source, now - Milliseconds(300)}, now), now);
        CHECK(received.service == "ledger");
        CHECK(received.server == ServerIncarnation{"a", 7});
        CHECK(received.source == source);
        CHECK(received.since == now - Milliseconds(300));
    }
}

} // namespace snipevalve
