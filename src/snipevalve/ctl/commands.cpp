#include "snipevalve/ctl/commands.hpp"

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <map>
#include <sstream>

#include <docopt/docopt.h>
#include <nlohmann/json.hpp>

#include "snipevalve/net/http_client.hpp"
#include "snipevalve/net/http_server.hpp"

namespace snipevalve {

namespace {

using Json = nlohmann::json;
using Arguments = std::map<std::string, docopt::value>;

constexpr const char *Usage = R"(The operators' command line of snipevalve.

Usage:
  snipevalvectl [options] apply -f FILE [--dry-run]
  snipevalvectl [options] diff -f FILE
  snipevalvectl [options] get KIND [NAME]
  snipevalvectl [options] delete KIND NAME
  snipevalvectl [options] watch [--from=REVISION]
  snipevalvectl [options] wait KIND NAME [--timeout-ms=MS]
  snipevalvectl [options] drain SERVER [--undo]
  snipevalvectl [options] where SERVICE KEY
  snipevalvectl [options] hosts
  snipevalvectl --help
  snipevalvectl --version

Options:
  --admin=ENDPOINT   Address and port of an administration process [default: 127.0.0.1:7200].
  --json             Print JSON instead of tables.
  -f FILE            A JSON file with {"resources": [...]}.
  --from=REVISION    Watch the changes after this revision [default: 0].
  --timeout-ms=MS    How long to wait for a resource to be in force everywhere [default: 15000].

KIND is services, servers or routes. The token is taken from the environment variable SNIPEVALVE_TOKEN.
)";

constexpr int Refused = 1;
constexpr int WrongUsage = 2;
constexpr int UnknownFate = 3;

struct CtlReply
{
    unsigned status = 0;
    Json body;
};

/// Talks to the administration API, one call at a time.
class Api
{
public:
    explicit Api(Endpoint endpoint)
        : m_endpoint(std::move(endpoint))
    {
        const char *token = std::getenv("SNIPEVALVE_TOKEN");
        m_authorization = token == nullptr ? "" : std::string("Bearer ") + token;
    }

    CtlReply call(http::verb method, const std::string &target, const std::string &body = {},
                  std::uint64_t revision = 0)
    {
        constexpr Milliseconds Timeout(40'000);
        HttpCall call;
        call.endpoint = m_endpoint;
        call.method = method;
        call.target = target;
        call.body = body;
        call.authorization = m_authorization;
        call.ifMatch = revision == 0 ? "" : std::to_string(revision);
        call.timeout = Timeout;
        absl::StatusOr<HttpReply> reply;
        asio::io_context context(1);
        HttpClient client(context.get_executor());
        const auto run = [&]() -> Awaitable<void> {
            reply = co_await client.call(call);
        };
        asio::co_spawn(context, run(), asio::detached);
        context.run();
        if (!reply.ok()) {
            return {0, Json({{"error", std::string(reply.status().message())}})};
        }
        return {reply->status, Json::parse(reply->body, nullptr, false)};
    }

private:
    Endpoint m_endpoint;
    std::string m_authorization;
};

int exitOf(const CtlReply &reply)
{
    constexpr unsigned FirstError = 300;
    constexpr unsigned GatewayTimeout = 504;
    if (reply.status == GatewayTimeout) {
        return UnknownFate;
    }
    return reply.status != 0 && reply.status < FirstError ? 0 : Refused;
}

int print(const CtlReply &reply)
{
    constexpr int Indent = 2;
    (exitOf(reply) == 0 ? std::cout : std::cerr) << reply.body.dump(Indent) << "\n";
    return exitOf(reply);
}

std::string pageOf(const std::string &kind, const std::string &name = {})
{
    return "/v1/" + kind + (name.empty() ? "" : "/" + name);
}

void printTable(const Json &items)
{
    for (const Json &item : items) {
        std::cout << item.value("name", "") << "\trevision " << item.value("revision", std::uint64_t(0)) << "\t"
                  << item.value("spec", Json()).dump() << "\n";
    }
}

int get(Api &api, const Arguments &arguments)
{
    const std::string kind = arguments.at("KIND").asString();
    const bool isOne = static_cast<bool>(arguments.at("NAME"));
    const CtlReply reply = api.call(http::verb::get, pageOf(kind, isOne ? arguments.at("NAME").asString() : ""));
    if (exitOf(reply) != 0 || arguments.at("--json").asBool()) {
        return print(reply);
    }
    printTable(isOne ? Json::array({reply.body}) : reply.body.value("items", Json::array()));
    return 0;
}

Json readResources(const std::string &path)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    const Json json = Json::parse(text.str(), nullptr, false);
    return json.is_object() ? json.value("resources", Json()) : Json();
}

std::string collectionOf(const Json &resource)
{
    return resource.value("kind", "") + "s";
}

/// Creates a resource or replaces the one that stands; leaves an equal one alone.
int applyOne(Api &api, const Json &resource, bool dryRun)
{
    const std::string kind = collectionOf(resource);
    const std::string name = resource.value("name", "");
    const std::string query = dryRun ? "?dryRun=true" : "";
    const CtlReply standing = api.call(http::verb::get, pageOf(kind, name));
    CtlReply reply;
    if (exitOf(standing) == 0) {
        const auto revision = standing.body.value("revision", std::uint64_t(0));
        reply = api.call(http::verb::put, pageOf(kind, name) + query, resource.dump(), revision);
    } else {
        reply = api.call(http::verb::post, pageOf(kind) + query, resource.dump());
    }
    const int code = exitOf(reply);
    (code == 0 ? std::cout : std::cerr) << kind << "/" << name << (code == 0 ? " applied " : " refused ")
                                        << reply.body.dump() << "\n";
    return code;
}

int apply(Api &api, const Arguments &arguments)
{
    const Json resources = readResources(arguments.at("-f").asString());
    if (!resources.is_array()) {
        std::cerr << "the file has no {\"resources\": [...]}\n";
        return WrongUsage;
    }
    int code = 0;
    for (const Json &resource : resources) {
        code = std::max(code, applyOne(api, resource, arguments.at("--dry-run").asBool()));
    }
    return code;
}

int diff(Api &api, const Arguments &arguments)
{
    int differences = 0;
    for (const Json &resource : readResources(arguments.at("-f").asString())) {
        const std::string name = resource.value("name", "");
        CtlReply standing = api.call(http::verb::get, pageOf(collectionOf(resource), name));
        if (exitOf(standing) != 0) {
            std::cout << "+ " << collectionOf(resource) << "/" << name << "\n";
            ++differences;
            continue;
        }
        Json wanted = standing.body;
        wanted.merge_patch(resource);
        const Json changes = Json::diff(standing.body, wanted);
        if (!changes.empty()) {
            std::cout << "~ " << collectionOf(resource) << "/" << name << " " << changes.dump() << "\n";
            ++differences;
        }
    }
    return differences == 0 ? 0 : Refused;
}

int remove(Api &api, const Arguments &arguments)
{
    const std::string page = pageOf(arguments.at("KIND").asString(), arguments.at("NAME").asString());
    const CtlReply standing = api.call(http::verb::get, page);
    if (exitOf(standing) != 0) {
        return print(standing);
    }
    return print(api.call(http::verb::delete_, page, {}, standing.body.value("revision", std::uint64_t(0))));
}

int watch(Api &api, const Arguments &arguments)
{
    auto from = static_cast<std::uint64_t>(arguments.at("--from").asLong());
    while (true) {
        const CtlReply reply = api.call(http::verb::get, "/v1/watch?waitMs=20000&from=" + std::to_string(from));
        if (exitOf(reply) != 0) {
            return print(reply);
        }
        for (const Json &event : reply.body.value("events", Json::array())) {
            std::cout << event.dump() << std::endl;
        }
        from = reply.body.value("revision", from);
    }
}

int wait(Api &api, const Arguments &arguments)
{
    const std::string page = pageOf(arguments.at("KIND").asString(), arguments.at("NAME").asString()) + "/status";
    const TimePoint deadline = Clock::now() + Milliseconds(arguments.at("--timeout-ms").asLong());
    while (true) {
        const CtlReply reply = api.call(http::verb::get, page);
        const bool isDone = exitOf(reply) == 0 && reply.body.value("everywhere", false);
        if (isDone || Clock::now() > deadline) {
            print(reply);
            return isDone ? 0 : Refused;
        }
    }
}

int drain(Api &api, const Arguments &arguments)
{
    const std::string page = pageOf("servers", arguments.at("SERVER").asString());
    const CtlReply standing = api.call(http::verb::get, page);
    if (exitOf(standing) != 0) {
        return print(standing);
    }
    const Json patch = {{"spec", {{"draining", !arguments.at("--undo").asBool()}}}};
    return print(api.call(http::verb::patch, page, patch.dump(), standing.body.value("revision", std::uint64_t(0))));
}

int where(Api &api, const Arguments &arguments)
{
    const std::string target = "/v1/where?service=" + encodeParameter(arguments.at("SERVICE").asString())
        + "&key=" + encodeParameter(arguments.at("KEY").asString());
    return print(api.call(http::verb::get, target));
}

int hosts(Api &api, const Arguments &)
{
    return print(api.call(http::verb::get, "/v1/hosts"));
}

} // namespace

int runCtl(int argc, char **argv)
{
    const Arguments arguments = docopt::docopt(Usage, {argv + 1, argv + argc}, true, "snipevalvectl 0.1.0");
    const auto endpoint = parseEndpoint(arguments.at("--admin").asString());
    if (!endpoint) {
        std::cerr << "--admin must be an IPv4 address and a port\n";
        return WrongUsage;
    }
    Api api(*endpoint);
    const std::map<std::string, int (*)(Api &, const Arguments &)> commands = {
        {"apply", apply}, {"diff", diff},   {"get", get},     {"delete", remove}, {"watch", watch},
        {"wait", wait},   {"drain", drain}, {"where", where}, {"hosts", hosts}};
    for (const auto &[name, command] : commands) {
        if (arguments.at(name).asBool()) {
            return command(api, arguments);
        }
    }
    return WrongUsage;
}

} // namespace snipevalve
