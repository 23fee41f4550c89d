#ifndef SNIPEVALVE_SETTINGS_SETTINGS_HPP
#define SNIPEVALVE_SETTINGS_SETTINGS_HPP

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <absl/status/statusor.h>

#include "snipevalve/core/time.hpp"
#include "snipevalve/net/endpoint.hpp"

namespace snipevalve {

/// @brief The settings of one host, read from one TOML file by all its programs.
struct Settings
{
    std::string hostName;
    std::string hostAddress;
    std::string hostZone;

    Endpoint storeEndpoint;
    Endpoint hostListEndpoint;
    Milliseconds storeTimeout{500};
    Milliseconds hostListInterval{1000};

    std::uint64_t entryPort = 8080;
    std::uint64_t entryOpsPort = 8081;
    std::uint64_t entryTrafficThreads = 1;
    std::uint64_t entryMaxHeaderBytes = 16 << 10;
    std::uint64_t entryReplayBytes = 64 << 10;
    std::uint64_t entryQueueLength = 64;
    Milliseconds entryIdleTimeout{60'000};
    Milliseconds entryDrainDelay{1000};
    Milliseconds entryStopTimeout{30'000};

    std::uint64_t linkPort = 7100;
    std::uint64_t placementOpsPort = 7101;
    std::uint64_t relayCount = 2;
    Milliseconds leaderLease{1000};
    Milliseconds grantLifetime{2000};
    Milliseconds renewInterval{400};
    Milliseconds evidenceLifetime{1200};
    Milliseconds lostAfter{1500};
    Milliseconds balanceInterval{1000};
    Milliseconds orderTimeout{600};

    std::uint64_t adminPort = 7200;
    Milliseconds writeTimeout{3000};
    std::vector<std::string> adminTokens; ///< `team:rights:token`, rights one of read, write, admin

    std::string logLevel = "info";
    std::string logFile;
};

/// @brief Where a setting stands in Settings.
using SettingField = std::variant<std::string Settings::*, std::uint64_t Settings::*, Milliseconds Settings::*,
                                  Endpoint Settings::*, std::vector<std::string> Settings::*>;

/// @brief The description of one setting: its place in the file, its unit and its bounds.
struct SettingSpec
{
    std::string section;
    std::string key;
    SettingField field;
    std::string unit;
    std::uint64_t lowest = 0;
    std::uint64_t highest = 0;
    bool required = false;
    std::string description;
};

/// @brief All settings, in the order of the documentation.
const std::vector<SettingSpec> &settingSpecs();

/// @brief Reads and checks a settings text.
/// @param name the file's name for the findings
/// @return the settings, or InvalidArgument with every finding as `file:line section.key: message`
absl::StatusOr<Settings> parseSettings(std::string_view text, const std::string &name);

/// @brief Reads and checks a settings file. @return NotFound when it can't be read
absl::StatusOr<Settings> loadSettings(const std::string &path);

/// @brief The table of all settings for docs/CONFIGURATION.md.
std::string settingsReference();

} // namespace snipevalve

#endif // SNIPEVALVE_SETTINGS_SETTINGS_HPP
