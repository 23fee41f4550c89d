#include <fstream>
#include <sstream>

#include <catch2/catch.hpp>

#include "snipevalve/settings/settings.hpp"

namespace snipevalve {

namespace {

const std::string ValidSettings = R"([host]
name = "host-01"
address = "127.0.1.1"
zone = "leiden"
[platform]
store = "127.0.0.1:7000"
host_list = "127.0.0.1:7000"
)";

} // namespace

TEST_CASE("settings are read with their defaults")
{
    const auto settings = parseSettings(ValidSettings + "[entry]\nport = 9000\n", "a.toml");
    REQUIRE(settings.ok());
    CHECK(settings->entryPort == 9000);
    CHECK(settings->grantLifetime == Milliseconds(2000));
    CHECK(settings->storeEndpoint == Endpoint{"127.0.0.1", 7000});
}

TEST_CASE("settings with findings are refused with all findings at once, each with its line")
{
    struct Case
    {
        std::string text;
        std::vector<std::string> findings;
    };
    const std::vector<Case> cases = {
        {"", {"host.name: is missing", "host.address: is missing", "platform.store: is missing"}},
        {"[host\n", {"a.toml:1"}},
        {ValidSettings + "[entry]\nport = \"x\"\nopsport = 1\n",
         {"a.toml:9 entry.port: must be a whole number", "a.toml:10 entry.opsport: is not a known setting"}},
        {ValidSettings + "[entry]\nport = 70000\n", {"entry.port: must be from 1 to 65535"}},
        {ValidSettings + "[entry]\nport = 1\nport = 2\n", {"a.toml:10"}},
        {ValidSettings + "[placement]\nrenew_interval_ms = 1500\n", {"must be at most a third of grant_lifetime_ms"}},
        {ValidSettings + "[log]\nlevel = \"loud\"\n", {"log.level: must be"}},
        {ValidSettings + "[admin]\ntokens = \"x\"\n", {"admin.tokens: must be a list of strings"}},
        {ValidSettings + "[colours]\nred = 1\n", {"colours.red: is not a known setting"}},
    };
    for (const Case &entry : cases) {
        const auto settings = parseSettings(entry.text, "a.toml");
        INFO(entry.text);
        REQUIRE_FALSE(settings.ok());
        const std::string message(settings.status().message());
        for (const std::string &finding : entry.findings) {
            INFO(message);
            CHECK(message.find(finding) != std::string::npos);
        }
    }
}

TEST_CASE("a missing file is reported with its path")
{
    const auto settings = loadSettings("no/such/file.toml");
    CHECK(settings.status().message() == "can't read the settings file no/such/file.toml");
}

TEST_CASE("the documentation contains the generated table of settings")
{
    std::ifstream file(std::string(SOURCE_FOLDER) + "/docs/CONFIGURATION.md");
    std::stringstream text;
    text << file.rdbuf();
    INFO(settingsReference());
    CHECK(text.str().find(settingsReference()) != std::string::npos);
}

} // namespace snipevalve
