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

TEST_CASE("a host's report of a server's load arrives unchanged; one that no server can send counts as none")
{
    const ServerLoad load{3, 2, 4, 2.5};
    proto::Done done;
    CHECK_FALSE(loadOf(done));
    *done.mutable_load() = toProto(load);
    CHECK(loadOf(done) == load);
    const std::vector<void (*)(proto::ServerLoad &)> faults = {
        [](proto::ServerLoad &each) {
            each.set_slots(0);
        },
        [](proto::ServerLoad &each) {
            each.set_slots(10'001);
        },
        [](proto::ServerLoad &each) {
            each.set_running(100'001);
        },
        [](proto::ServerLoad &each) {
            each.set_waiting(4'000'000'000U);
        },
        [](proto::ServerLoad &each) {
            each.set_slowdown_percent(0);
        },
        [](proto::ServerLoad &each) {
            each.set_slowdown_percent(10'001);
        },
    };
    for (const auto fault : faults) {
        proto::Done wrong = done;
        fault(*wrong.mutable_load());
        CHECK_FALSE(loadOf(wrong));
    }
}

TEST_CASE("an address that can't be read is that of no server or leader, and the others hold")
{
    struct Case
    {
        std::string address;
        std::uint32_t port;
    };
    const std::vector<Case> cases = {
        {"10.0.0.1", 0}, {"10.0.0.1", 65'536}, {"10.0.0.1", 65'536 + 80},          {"10.0.0.1", 0xffff'ffff},
        {"", 80},        {"host", 80},         {std::string("10.0.0.1\0", 9), 80}, {std::string(100'000, '1'), 80},
    };
    for (const Case &each : cases) {
        INFO(each.address.substr(0, 20) << " " << each.port);
        proto::View view = toProto(smallView());
        view.mutable_servers(1)->set_address(each.address);
        view.mutable_servers(1)->set_port(each.port);
        const ServiceView received = fromProto(view);
        REQUIRE(received.servers.size() == 3);
        CHECK(received.servers[0].endpoint == smallView().servers[0].endpoint);
        CHECK(received.servers[1].endpoint == Endpoint()); // no connection is opened to it
        CHECK(received.servers[2].endpoint == smallView().servers[2].endpoint);
        CHECK(received.owners == smallView().owners);

        ServiceView renewed = smallView();
        for (UpstreamServer &server : renewed.servers) {
            server.slots = 3;
        }
        proto::ViewChange change = toProto(changeBetween(smallView(), renewed));
        change.mutable_servers(1)->set_address(each.address);
        change.mutable_servers(1)->set_port(each.port);
        const ServiceView changed = applyChange(smallView(), fromProto(change));
        REQUIRE(changed.servers.size() == 3);
        CHECK(changed.servers[0] == renewed.servers[0]);
        CHECK(changed.servers[1].endpoint == Endpoint());
        CHECK(changed.servers[2] == renewed.servers[2]);

        proto::Permit permit = toProto(Placement{7, smallView().servers.front(), Milliseconds(90)});
        permit.mutable_server()->set_address(each.address);
        permit.mutable_server()->set_port(each.port);
        CHECK(fromProto(permit).server.endpoint == Endpoint());

        proto::Leaders leaders =
            toProto(LeaderTable{2, 5, {{"k", {{"10.0.0.2", 81}, 4}}, {"l", {{"10.0.0.3", 81}, 4}}}});
        leaders.mutable_leaders(0)->set_address(each.address);
        leaders.mutable_leaders(0)->set_port(each.port);
        const LeaderTable table = fromProto(leaders);
        CHECK(table.leaders.size() == 1);
        CHECK(table.leaders.contains("l"));
    }
}

TEST_CASE("ranges of keys that no service has are left out")
{
    struct Case
    {
        std::uint32_t from;
        std::uint32_t to;
    };
    for (const Case &each : {Case{0, 65'536}, Case{65'536, 65'540}, Case{9, 8}, Case{0xffff'ffff, 0xffff'ffff}}) {
        INFO(each.from << " to " << each.to);
        proto::View view = toProto(smallView());
        view.mutable_ranges(1)->set_from(each.from);
        view.mutable_ranges(1)->set_to(each.to);
        CHECK(fromProto(view).owners == KeyOwners({{{0, 99}, "a"}, {{30'001, 65'535}, "c"}}));
        proto::ViewChange change;
        change.add_owners("b");
        proto::OwnerChange *range = change.add_ranges();
        range->set_from(each.from);
        range->set_to(each.to);
        range->set_owner(1);
        CHECK(fromProto(change).owners.empty());
    }
}

TEST_CASE("frames with texts that are no UTF-8 are refused")
{
    google::protobuf::SetLogHandler(nullptr);
    for (const char *text : {"\xff", "a\xe2\x82", "\xc0\xaf", "\xed\xa0\x80"}) {
        proto::LeaderFrame views;
        *views.add_views() = toProto(smallView());
        views.mutable_views(0)->mutable_servers(0)->set_zone(text);
        CHECK_FALSE(proto::LeaderFrame().ParseFromString(views.SerializeAsString()));
        proto::LeaderFrame leaders;
        leaders.mutable_leaders()->add_leaders()->set_service(text);
        CHECK_FALSE(proto::LeaderFrame().ParseFromString(leaders.SerializeAsString()));
        proto::HostFrame host;
        host.add_wanted_views(text);
        CHECK_FALSE(proto::HostFrame().ParseFromString(host.SerializeAsString()));
    }
}

TEST_CASE("evacuations reach the hosts with era and revision, also an empty list")
{
    for (const Evacuations &sent : {Evacuations{3, 7, {"a", "b c"}}, Evacuations{3, 8, {}}}) {
        proto::LeaderFrame frame;
        *frame.mutable_evacuations() = toProto(sent);
        proto::LeaderFrame received;
        REQUIRE(received.ParseFromString(frame.SerializeAsString()));
        REQUIRE(received.has_evacuations());
        CHECK(fromProto(received.evacuations()) == sent);
    }
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
