#include <fcntl.h>
#include <unistd.h>

#include <csignal>

#include <iostream>

#include <docopt/docopt.h>

#include "snipevalve/net/http_client.hpp"
#include "standins/platform_standin.hpp"

namespace {

using namespace snipevalve;
using namespace snipevalve::standins;

constexpr const char *Usage =
    R"(standin-upstream is one server of the users' platform, as a process with a clock of its own.

It renews its entry in the store, takes grants and releases, runs requests, and appends what it does to a record file.
SIGTERM makes it drain; it then serves on until it is killed. SIGUSR1 and SIGUSR2 turn late orders on and off; SIGRTMIN+N
sets fault N of ServerFault.

Usage:
  standin-upstream --id=ID --service=NAME --listen=ADDRESS --registered-as=ADDRESS --store=ADDRESS --record=FILE
                   [--keyed] [--service-ms=N] [--clock-rate=R] [--clock-step-ms=N]
  standin-upstream --help

Options:
  --id=ID                  Id of the server; kept over restarts.
  --service=NAME           Its service.
  --listen=ADDRESS         Where it listens.
  --registered-as=ADDRESS  The address in its entry.
  --store=ADDRESS          The store, or a proxy in front of it.
  --record=FILE            What it does is appended to this file.
  --keyed                  It runs only requests for keys that it holds.
  --service-ms=N           How long each request runs. [default: 20]
  --clock-rate=R           Seconds that its clock for holds counts in one second. [default: 1]
  --clock-step-ms=N        How far its time of day is ahead. [default: 0]
  --help                   Show this text.
)";

Awaitable<void> renewEntry(UpstreamStandin &server, std::mutex &mutex, HttpClient &client, Endpoint store)
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    while (true) {
        HttpCall call;
        {
            const std::lock_guard lock(mutex);
            call.body = nlohmann::json{{"id", server.options().id}, {"entry", server.nextEntry()}}.dump();
        }
        call.endpoint = store;
        call.method = http::verb::post;
        call.target = PlatformStandin::HeartbeatPath;
        call.timeout = UpstreamStandin::EntryRenewalInterval;
        co_await client.call(std::move(call)); // a heartbeat that is lost is followed by the next one
        timer.expires_after(UpstreamStandin::EntryRenewalInterval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

Awaitable<void> handleSignals(UpstreamStandin &server, std::mutex &mutex)
{
    asio::signal_set signals(co_await asio::this_coro::executor, SIGTERM, SIGUSR1, SIGUSR2);
    for (int fault = 0; fault <= static_cast<int>(ServerFault::LastFault); ++fault) {
        signals.add(SIGRTMIN + fault);
    }
    sigset_t all;
    ::sigfillset(&all);
    ::pthread_sigmask(SIG_UNBLOCK, &all, nullptr); // whoever starts this process may have blocked them
    while (true) {
        const int signal = co_await signals.async_wait(asio::use_awaitable);
        const std::lock_guard lock(mutex);
        if (signal == SIGTERM) {
            server.drain();
        } else if (signal == SIGUSR1 || signal == SIGUSR2) {
            server.setLateOrders(signal == SIGUSR1);
        } else {
            server.setFault(static_cast<ServerFault>(signal - SIGRTMIN));
        }
    }
}

} // namespace

int main(int argc, char **argv)
{
    const auto arguments = docopt::docopt(Usage, {argv + 1, argv + argc}, true);
    const auto text = [&arguments](const char *name) {
        return arguments.at(name).asString();
    };
    UpstreamOptions options;
    options.id = text("--id");
    options.service = text("--service");
    options.keyed = arguments.at("--keyed").asBool();
    options.serviceTime = Milliseconds(std::stol(text("--service-ms")));
    options.listen = parseEndpoint(text("--listen")).value();
    options.registeredAs = parseEndpoint(text("--registered-as")).value();
    options.clockRate = std::stod(text("--clock-rate"));
    options.clockStep = Milliseconds(std::stol(text("--clock-step-ms")));
    const int record = ::open(text("--record").c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (record < 0) {
        std::cerr << "cannot open " << text("--record") << std::endl;
        return 1;
    }
    UpstreamStandin::Handlers handlers;
    // Written at once, so that nothing is lost when the process is killed.
    handlers.onEvent = [record](const ServerEvent &event) {
        const std::string line = toLine(event);
        [[maybe_unused]] const ssize_t written = ::write(record, line.data(), line.size());
    };
    asio::io_context context(1);
    std::mutex mutex;
    const auto server = std::make_shared<UpstreamStandin>(context, mutex, options, std::move(handlers));
    HttpClient client(context.get_executor(), options.listen.address);
    server->start();
    asio::co_spawn(context, renewEntry(*server, mutex, client, parseEndpoint(text("--store")).value()), asio::detached);
    asio::co_spawn(context, handleSignals(*server, mutex), asio::detached);
    context.run();
    return 0;
}
