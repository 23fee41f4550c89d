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

/// @brief The settings of one host. All programs of the host read them from the same TOML file.
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
    std::uint64_t entryMemoryMb = 256;
    std::uint64_t entryMaxConnections = 10'000;
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
    std::vector<std::string> adminTokens; ///< `team:rights:token`; rights is `read`, `write` or `admin`

    std::string logLevel = "info";
    std::string logFile;
};

/// @brief The member of Settings that holds a setting's value.
using SettingField = std::variant<std::string Settings::*, std::uint64_t Settings::*, Milliseconds Settings::*,
                                  Endpoint Settings::*, std::vector<std::string> Settings::*>;

/// @brief Describes one setting: its section and key in the file, its unit and its bounds.
struct SettingSpec
{
    std::string section;
    std::string key;
    SettingField field;
    std::string unit;
    std::uint64_t lowest = 0;
    std::uint64_t highest = 0; ///< 0 when the setting is not a number
    bool required = false;
    std::string description;
};

/// @brief All settings, in the order in which the documentation lists them.
const std::vector<SettingSpec> &settingSpecs();

/// @brief Parses and validates settings.
/// @param text the content of a TOML file
/// @param name the file's name as it appears in the findings
/// @return the settings, or InvalidArgument with all findings, one per line: `file:line section.key: message`. A
///         finding without a position in the file, such as a missing setting, has no line number.
absl::StatusOr<Settings> parseSettings(std::string_view text, const std::string &name);

/// @brief Reads a settings file and parses it with parseSettings().
/// @return the settings, NotFound when the file can't be read, or the error of parseSettings()
absl::StatusOr<Settings> loadSettings(const std::string &path);

/// @return the Markdown table of all settings that docs/CONFIGURATION.md contains
std::string settingsReference();

} // namespace snipevalve

#endif // SNIPEVALVE_SETTINGS_SETTINGS_HPP
