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
  snipevalvectl [options] check-config FILE [--against=FILE]
  snipevalvectl --help
  snipevalvectl --version

Options:
  --admin=ENDPOINT   Address and port of an administration process [default: 127.0.0.1:7200].
  --json             Print JSON instead of tables.
  -f FILE            A JSON file with {"resources": [...]}.
  --from=REVISION    Watch the changes after this revision [default: 0].
  --against=FILE     The configuration in force; differences to it are reported.
  --timeout-ms=MS    How long to wait for a resource to be in force everywhere [default: 15000].

KIND is services, servers or routes. The token is taken from the environment variable SNIPEVALVE_TOKEN.
)";

constexpr int ExitRefused = 1;
constexpr int ExitWrongUsage = 2;
constexpr int ExitUnknownOutcome = 3;

/// Status 0 stands for a call without a response.
struct ApiReply
{
    unsigned status = 0;
    Json body;
};

/// A blocking client of the administration API.
class ApiClient
{
public:
    explicit ApiClient(Endpoint endpoint)
        : m_endpoint(std::move(endpoint))
    {
        const char *token = std::getenv("SNIPEVALVE_TOKEN");
        m_authorization = token == nullptr ? "" : std::string("Bearer ") + token;
    }

    ApiReply call(http::verb method, const std::string &target, const std::string &body = {},
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

int exitCodeOf(const ApiReply &reply)
{
    constexpr unsigned FirstError = 300;
    constexpr unsigned GatewayTimeout = 504;
    if (reply.status == GatewayTimeout) {
        return ExitUnknownOutcome;
    }
    return reply.status != 0 && reply.status < FirstError ? 0 : ExitRefused;
}

int print(const ApiReply &reply)
{
    constexpr int Indent = 2;
    (exitCodeOf(reply) == 0 ? std::cout : std::cerr) << reply.body.dump(Indent) << "\n";
    return exitCodeOf(reply);
}

std::string resourcePath(const std::string &kind, const std::string &name = {})
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

int get(ApiClient &api, const Arguments &arguments)
{
    const std::string kind = arguments.at("KIND").asString();
    const bool isOne = static_cast<bool>(arguments.at("NAME"));
    const ApiReply reply = api.call(http::verb::get, resourcePath(kind, isOne ? arguments.at("NAME").asString() : ""));
    if (exitCodeOf(reply) != 0 || arguments.at("--json").asBool()) {
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

std::string collectionNameOf(const Json &resource)
{
    return resource.value("kind", "") + "s";
}

/// Creates the resource, or replaces it at its current revision if it exists.
int applyResource(ApiClient &api, const Json &resource, bool dryRun)
{
    const std::string kind = collectionNameOf(resource);
    const std::string name = resource.value("name", "");
    const std::string query = dryRun ? "?dryRun=true" : "";
    const ApiReply current = api.call(http::verb::get, resourcePath(kind, name));
    ApiReply reply;
    if (exitCodeOf(current) == 0) {
        const auto revision = current.body.value("revision", std::uint64_t(0));
        reply = api.call(http::verb::put, resourcePath(kind, name) + query, resource.dump(), revision);
    } else {
        reply = api.call(http::verb::post, resourcePath(kind) + query, resource.dump());
    }
    const int code = exitCodeOf(reply);
    (code == 0 ? std::cout : std::cerr) << kind << "/" << name << (code == 0 ? " applied " : " refused ")
                                        << reply.body.dump() << "\n";
    return code;
}

int apply(ApiClient &api, const Arguments &arguments)
{
    const Json resources = readResources(arguments.at("-f").asString());
    if (!resources.is_array()) {
        std::cerr << "the file has no {\"resources\": [...]}\n";
        return ExitWrongUsage;
    }
    int code = 0;
    for (const Json &resource : resources) {
        code = std::max(code, applyResource(api, resource, arguments.at("--dry-run").asBool()));
    }
    return code;
}

int diff(ApiClient &api, const Arguments &arguments)
{
    int differences = 0;
    for (const Json &resource : readResources(arguments.at("-f").asString())) {
        const std::string name = resource.value("name", "");
        ApiReply current = api.call(http::verb::get, resourcePath(collectionNameOf(resource), name));
        if (exitCodeOf(current) != 0) {
            std::cout << "+ " << collectionNameOf(resource) << "/" << name << "\n";
            ++differences;
            continue;
        }
        Json desired = current.body;
        desired.merge_patch(resource);
        const Json changes = Json::diff(current.body, desired);
        if (!changes.empty()) {
            std::cout << "~ " << collectionNameOf(resource) << "/" << name << " " << changes.dump() << "\n";
            ++differences;
        }
    }
    return differences == 0 ? 0 : ExitRefused;
}

int remove(ApiClient &api, const Arguments &arguments)
{
    const std::string path = resourcePath(arguments.at("KIND").asString(), arguments.at("NAME").asString());
    const ApiReply current = api.call(http::verb::get, path);
    if (exitCodeOf(current) != 0) {
        return print(current);
    }
    return print(api.call(http::verb::delete_, path, {}, current.body.value("revision", std::uint64_t(0))));
}

int watch(ApiClient &api, const Arguments &arguments)
{
    auto from = static_cast<std::uint64_t>(arguments.at("--from").asLong());
    while (true) {
        const ApiReply reply = api.call(http::verb::get, "/v1/watch?waitMs=20000&from=" + std::to_string(from));
        if (exitCodeOf(reply) != 0) {
            return print(reply);
        }
        for (const Json &event : reply.body.value("events", Json::array())) {
            std::cout << event.dump() << std::endl;
        }
        from = reply.body.value("revision", from);
    }
}

int wait(ApiClient &api, const Arguments &arguments)
{
    const std::string path = resourcePath(arguments.at("KIND").asString(), arguments.at("NAME").asString()) + "/status";
    const TimePoint deadline = Clock::now() + Milliseconds(arguments.at("--timeout-ms").asLong());
    while (true) {
        const ApiReply reply = api.call(http::verb::get, path);
        const bool isDone = exitCodeOf(reply) == 0 && reply.body.value("everywhere", false);
        if (isDone || Clock::now() > deadline) {
            print(reply);
            return isDone ? 0 : ExitRefused;
        }
    }
}

int drain(ApiClient &api, const Arguments &arguments)
{
    const std::string path = resourcePath("servers", arguments.at("SERVER").asString());
    const ApiReply current = api.call(http::verb::get, path);
    if (exitCodeOf(current) != 0) {
        return print(current);
    }
    const Json patch = {{"spec", {{"draining", !arguments.at("--undo").asBool()}}}};
    return print(api.call(http::verb::patch, path, patch.dump(), current.body.value("revision", std::uint64_t(0))));
}

int where(ApiClient &api, const Arguments &arguments)
{
    const std::string target = "/v1/where?service=" + encodeParameter(arguments.at("SERVICE").asString())
        + "&key=" + encodeParameter(arguments.at("KEY").asString());
    return print(api.call(http::verb::get, target));
}

int hosts(ApiClient &api, const Arguments &)
{
    return print(api.call(http::verb::get, "/v1/hosts"));
}

} // namespace

int runCtl(int argc, char **argv, const ConfigCheck &checkConfig)
{
    Arguments arguments;
    try {
        arguments = docopt::docopt_parse(Usage, {argv + 1, argv + argc});
    } catch (const docopt::DocoptExitHelp &) {
        std::cout << Usage;
        return 0;
    } catch (const docopt::DocoptExitVersion &) {
        std::cout << "snipevalvectl 0.1.0\n";
        return 0;
    } catch (const docopt::DocoptArgumentError &error) {
        std::cerr << error.what() << "\n" << Usage;
        return ExitWrongUsage;
    }
    if (arguments.at("check-config").asBool()) {
        const docopt::value &against = arguments.at("--against");
        return checkConfig({arguments.at("FILE").asString(), against ? std::optional(against.asString()) : std::nullopt,
                            arguments.at("--json").asBool()});
    }
    const auto endpoint = parseEndpoint(arguments.at("--admin").asString());
    if (!endpoint) {
        std::cerr << "--admin must be an IPv4 address and a port\n";
        return ExitWrongUsage;
    }
    ApiClient api(*endpoint);
    const std::map<std::string, int (*)(ApiClient &, const Arguments &)> commands = {
        {"apply", apply}, {"diff", diff},   {"get", get},     {"delete", remove}, {"watch", watch},
        {"wait", wait},   {"drain", drain}, {"where", where}, {"hosts", hosts}};
    for (const auto &[name, command] : commands) {
        if (arguments.at(name).asBool()) {
            return command(api, arguments);
        }
    }
    return ExitWrongUsage;
}

} // namespace snipevalve
