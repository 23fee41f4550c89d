#include "snipevalve/settings/settings.hpp"

#include <algorithm>
#include <fstream>
#include <set>
#include <sstream>

#define TOML_HEADER_ONLY 0
#include <toml++/toml.h>

#include "snipevalve/core/findings.hpp"

namespace snipevalve {

namespace {

constexpr std::uint64_t MaxPort = 65535;
constexpr std::uint64_t MaxTimeMs = 3'600'000;

/// Converts a parsed TOML file to Settings and collects all findings.
class SettingsReader
{
public:
    SettingsReader(const toml::table &root, std::string file, Findings &findings)
        : m_root(root)
        , m_file(std::move(file))
        , m_findings(findings)
    {
    }

    Settings read()
    {
        Settings settings;
        for (const SettingSpec &spec : settingSpecs()) {
            readSetting(spec, settings);
        }
        reportUnknownKeys();
        return settings;
    }

private:
    void readSetting(const SettingSpec &spec, Settings &settings)
    {
        const toml::node *node = m_root[spec.section][spec.key].node();
        if (node == nullptr) {
            if (spec.required) {
                m_findings.add(m_file + " " + spec.section + "." + spec.key, "is missing");
            }
            return;
        }
        std::visit(
            [&](auto field) {
                assign(spec, *node, settings.*field);
            },
            spec.field);
    }

    void assign(const SettingSpec &spec, const toml::node &node, std::string &out)
    {
        const auto value = node.value_exact<std::string>();
        if (!value) {
            addFinding(spec, node, "must be a string");
            return;
        }
        out = *value;
    }

    void assign(const SettingSpec &spec, const toml::node &node, std::uint64_t &out)
    {
        const auto value = node.value_exact<std::int64_t>();
        if (!value) {
            addFinding(spec, node, "must be a whole number");
            return;
        }
        if (*value < 0 || static_cast<std::uint64_t>(*value) < spec.lowest
            || static_cast<std::uint64_t>(*value) > spec.highest) {
            addFinding(spec, node,
                       "must be from " + std::to_string(spec.lowest) + " to " + std::to_string(spec.highest));
            return;
        }
        out = static_cast<std::uint64_t>(*value);
    }

    void assign(const SettingSpec &spec, const toml::node &node, Milliseconds &out)
    {
        auto number = static_cast<std::uint64_t>(out.count());
        assign(spec, node, number);
        out = Milliseconds(number);
    }

    void assign(const SettingSpec &spec, const toml::node &node, Endpoint &out)
    {
        const auto value = node.value_exact<std::string>();
        const auto endpoint = value ? parseEndpoint(*value) : std::nullopt;
        if (!endpoint) {
            addFinding(spec, node, "must be an IPv4 address and a port, such as \"127.0.0.1:7000\"");
            return;
        }
        out = *endpoint;
    }

    void assign(const SettingSpec &spec, const toml::node &node, std::vector<std::string> &out)
    {
        const toml::array *array = node.as_array();
        if (array == nullptr || !std::all_of(array->begin(), array->end(), [](const auto &e) {
                return e.is_string();
            })) {
            addFinding(spec, node, "must be a list of strings");
            return;
        }
        out.clear();
        for (const toml::node &element : *array) {
            out.push_back(*element.value_exact<std::string>());
        }
    }

    void reportUnknownKeys()
    {
        for (const auto &[section, node] : m_root) {
            const toml::table *table = node.as_table();
            if (table == nullptr) {
                addFindingAt(node, std::string(section.str()), "is not a known section");
                continue;
            }
            for (const auto &[key, value] : *table) {
                reportIfUnknown(std::string(section.str()), std::string(key.str()), value);
            }
        }
    }

    void reportIfUnknown(const std::string &section, const std::string &key, const toml::node &value)
    {
        const auto &specs = settingSpecs();
        const auto isThisSetting = [&](const SettingSpec &spec) {
            return spec.section == section && spec.key == key;
        };
        if (std::none_of(specs.begin(), specs.end(), isThisSetting)) {
            addFindingAt(value, section + "." + key, "is not a known setting");
        }
    }

    void addFinding(const SettingSpec &spec, const toml::node &node, const std::string &message)
    {
        addFindingAt(node, spec.section + "." + spec.key, message);
    }

    void addFindingAt(const toml::node &node, const std::string &place, const std::string &message)
    {
        m_findings.add(m_file + ":" + std::to_string(node.source().begin.line) + " " + place, message);
    }

    const toml::table &m_root;
    std::string m_file;
    Findings &m_findings;
};

/// Checks constraints that the bounds of a single setting don't express, such as those between two settings.
void checkConstraints(const Settings &settings, const std::string &name, Findings &findings)
{
    if (!settings.hostAddress.empty() && !parseEndpoint(settings.hostAddress + ":1")) {
        findings.add(name + " host.address", "must be an IPv4 address");
    }
    if (settings.renewInterval * 3 > settings.grantLifetime) {
        findings.add(name + " placement.renew_interval_ms", "must be at most a third of grant_lifetime_ms");
    }
    if (settings.renewInterval * 2 > settings.evidenceLifetime) {
        findings.add(name + " placement.renew_interval_ms", "must be at most half of evidence_lifetime_ms");
    }
    const std::set<std::string> levels = {"trace", "debug", "info", "warn", "error", "off"};
    if (!levels.contains(settings.logLevel)) {
        findings.add(name + " log.level", "must be trace, debug, info, warn, error or off");
    }
}

/// Formats a default value for the reference table.
struct DefaultFormatter
{
    std::string operator()(const std::string &value) const
    {
        return value.empty() ? "" : "`\"" + value + "\"`";
    }
    std::string operator()(std::uint64_t value) const
    {
        return "`" + std::to_string(value) + "`";
    }
    std::string operator()(Milliseconds value) const
    {
        return "`" + std::to_string(value.count()) + "`";
    }
    std::string operator()(const Endpoint &) const
    {
        return "";
    }
    std::string operator()(const std::vector<std::string> &) const
    {
        return "`[]`";
    }
};

} // namespace

const std::vector<SettingSpec> &settingSpecs()
{
    using S = Settings;
    static const std::vector<SettingSpec> specs = {
        {"host", "name", &S::hostName, "", 0, 0, true, "The host's name in the platform's host list."},
        {"host", "address", &S::hostAddress, "IPv4", 0, 0, true, "The address that all programs listen on."},
        {"host", "zone", &S::hostZone, "", 0, 0, true, "The host's availability zone."},
        {"platform", "store", &S::storeEndpoint, "IPv4:port", 0, 0, true, "The platform's store."},
        {"platform", "host_list", &S::hostListEndpoint, "IPv4:port", 0, 0, true, "The platform's host list."},
        {"platform", "store_timeout_ms", &S::storeTimeout, "ms", 10, 60'000, false, "Longest wait for a store answer."},
        {"platform", "host_list_interval_ms", &S::hostListInterval, "ms", 50, MaxTimeMs, false,
         "Time between two reads of the host list."},
        {"entry", "port", &S::entryPort, "", 1, MaxPort, false, "Port for callers."},
        {"entry", "ops_port", &S::entryOpsPort, "", 1, MaxPort, false, "Port for readiness and metrics."},
        {"entry", "traffic_threads", &S::entryTrafficThreads, "threads", 1, 64, false, "Threads that serve callers."},
        {"entry", "max_header_bytes", &S::entryMaxHeaderBytes, "bytes", 1024, 1 << 20, false,
         "Longest request header; longer ones get 431."},
        {"entry", "replay_bytes", &S::entryReplayBytes, "bytes", 0, 16 << 20, false,
         "Request and response bodies up to this size are held in memory; a larger request isn't retried once its body "
         "is being sent."},
        {"entry", "queue_length", &S::entryQueueLength, "requests", 0, 100'000, false,
         "Longest queue of requests that wait for a server, per traffic thread; further requests are refused as not "
         "run."},
        {"entry", "memory_mb", &S::entryMemoryMb, "MB", 16, 1 << 20, false,
         "Memory that the process may use; a part of it bounds what is held for callers and servers."},
        {"entry", "max_connections", &S::entryMaxConnections, "connections", 16, 1'000'000, false,
         "Most connections of callers; then stalled and idle ones are closed, and others wait to be accepted."},
        {"entry", "idle_timeout_ms", &S::entryIdleTimeout, "ms", 100, MaxTimeMs, false,
         "A caller's connection is closed after this time without progress."},
        {"entry", "drain_delay_ms", &S::entryDrainDelay, "ms", 0, MaxTimeMs, false,
         "Time from failed readiness to closed listeners at a planned stop."},
        {"entry", "stop_timeout_ms", &S::entryStopTimeout, "ms", 0, MaxTimeMs, false,
         "Longest wait for requests in flight at a planned stop."},
        {"placement", "link_port", &S::linkPort, "", 1, MaxPort, false, "Port for links between processes (gRPC)."},
        {"placement", "ops_port", &S::placementOpsPort, "", 1, MaxPort, false, "Port for status."},
        {"placement", "relay_count", &S::relayCount, "hosts", 1, 64, false,
         "Number of hosts that watch the store for all others."},
        {"placement", "leader_lease_ms", &S::leaderLease, "ms", 100, 60'000, false,
         "Lifetime of the store lease of a group's leader; when it expires, another host can take the lead."},
        {"placement", "grant_lifetime_ms", &S::grantLifetime, "ms", 200, 60'000, false, "Lifetime of a grant."},
        {"placement", "renew_interval_ms", &S::renewInterval, "ms", 10, 60'000, false,
         "Time between two regular orders to a server."},
        {"placement", "evidence_lifetime_ms", &S::evidenceLifetime, "ms", 50, 60'000, false,
         "How long a confirmation of the leader's term stays valid."},
        {"placement", "lost_after_ms", &S::lostAfter, "ms", 50, 60'000, false,
         "A server that accepts no order for this time is considered lost."},
        {"placement", "balance_interval_ms", &S::balanceInterval, "ms", 10, MaxTimeMs, false,
         "Time between two regular rounds of rebalancing."},
        {"placement", "order_timeout_ms", &S::orderTimeout, "ms", 10, 60'000, false,
         "Longest wait for a server's answer to an order."},
        {"admin", "port", &S::adminPort, "", 1, MaxPort, false, "Port of the administration API."},
        {"admin", "write_timeout_ms", &S::writeTimeout, "ms", 100, 60'000, false,
         "Longest wait for the outcome of a change."},
        {"admin", "tokens", &S::adminTokens, "", 0, 0, false,
         "Owner tokens as `team:rights:token`, rights `read`, `write` or `admin`; with no tokens, the API is open."},
        {"log", "level", &S::logLevel, "", 0, 0, false,
         "Lowest level that is logged: trace, debug, info, warn, error or off."},
        {"log", "file", &S::logFile, "path", 0, 0, false, "Log file; empty for standard error."},
    };
    return specs;
}

absl::StatusOr<Settings> parseSettings(std::string_view text, const std::string &name)
{
    Findings findings;
    try {
        const toml::table root = toml::parse(text);
        SettingsReader reader(root, name, findings);
        Settings settings = reader.read();
        checkConstraints(settings, name, findings);
        if (findings.empty()) {
            return settings;
        }
    } catch (const toml::parse_error &error) {
        const auto line = std::to_string(error.source().begin.line);
        findings.add(name + ":" + line, std::string(error.description()));
    }
    return findings.toStatus();
}

absl::StatusOr<Settings> loadSettings(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        return absl::NotFoundError("can't read the settings file " + path);
    }
    std::stringstream text;
    text << file.rdbuf();
    return parseSettings(text.str(), path);
}

std::string settingsReference()
{
    const Settings defaults;
    std::string table = "| setting | unit | default | bounds | meaning |\n|---|---|---|---|---|\n";
    for (const SettingSpec &spec : settingSpecs()) {
        const bool isNumber = spec.highest > 0;
        const std::string bounds =
            isNumber ? std::to_string(spec.lowest) + " to " + std::to_string(spec.highest) : std::string();
        const auto toText = [&](auto field) {
            return DefaultFormatter()(defaults.*field);
        };
        const std::string fallback = spec.required ? "required" : std::visit(toText, spec.field);
        table += "| `" + spec.section + "." + spec.key + "` | " + spec.unit + " | " + fallback + " | " + bounds + " | "
            + spec.description + " |\n";
    }
    return table;
}

} // namespace snipevalve
