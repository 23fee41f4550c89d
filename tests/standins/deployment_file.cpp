#include "standins/deployment_file.hpp"

#include <stdexcept>

#define TOML_HEADER_ONLY 0
#include <toml++/toml.h>

namespace snipevalve::standins {

namespace {

template <typename Number>
Number readNumber(const toml::table &table, const char *key, Number fallback)
{
    return static_cast<Number>(table[key].value_or(static_cast<std::int64_t>(fallback)));
}

DeploymentService readService(const toml::table &table)
{
    DeploymentService part;
    part.name = table["name"].value_or("");
    part.keyed = table["mode"].value_or(std::string()) == "keyed";
    part.servers = readNumber(table, "servers", part.servers);
    part.serviceUs = readNumber(table, "service_us", part.serviceUs);
    part.slots = readNumber(table, "slots", part.slots);
    part.checksTokens = table["checks_tokens"].value_or(true);
    part.coldStartMs = readNumber(table, "cold_start_ms", part.coldStartMs);
    return part;
}

MixPart readMix(const toml::table &table)
{
    MixPart part;
    part.service = table["service"].value_or("");
    part.method = table["method"].value_or("GET");
    part.weight = readNumber(table, "weight", part.weight);
    part.keys = readNumber(table, "keys", part.keys);
    part.bodyBytes = readNumber(table, "body_bytes", part.bodyBytes);
    part.answerBytes = readNumber(table, "answer_bytes", part.answerBytes);
    return part;
}

} // namespace

DeploymentFile readDeployment(const std::string &path)
{
    DeploymentFile file;
    const toml::table root = toml::parse_file(path);
    file.name = root["name"].value_or("");
    file.hosts = readNumber(root, "hosts", file.hosts);
    file.concurrency = readNumber(root, "concurrency", file.concurrency);
    if (const toml::array *zones = root["zones"].as_array()) {
        for (const toml::node &zone : *zones) {
            file.zones.push_back(zone.value_or(std::string()));
        }
    }
    if (const toml::array *services = root["service"].as_array()) {
        for (const toml::node &service : *services) {
            file.services.push_back(readService(*service.as_table()));
        }
    }
    if (const toml::array *mix = root["mix"].as_array()) {
        for (const toml::node &part : *mix) {
            file.mix.push_back(readMix(*part.as_table()));
        }
    }
    if (file.zones.empty() || file.services.empty()) {
        throw std::runtime_error(path + " lists no zones or no services");
    }
    return file;
}

} // namespace snipevalve::standins
