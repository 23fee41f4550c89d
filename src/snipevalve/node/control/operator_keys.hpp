#ifndef SNIPEVALVE_NODE_CONTROL_OPERATOR_KEYS_HPP
#define SNIPEVALVE_NODE_CONTROL_OPERATOR_KEYS_HPP

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include <spdlog/spdlog.h>

#include "snipevalve/core/log_text.hpp"
#include "snipevalve/gateway/evacuations.hpp"
#include "snipevalve/node/control/platform_api.hpp"

namespace snipevalve {

/// @brief What the operators have written to the store: the configuration and the evacuated zones. Both are below one
/// prefix, so that one watch covers them.
///
/// Lives on the control thread and makes no calls.
template <PlatformApi Platform>
class OperatorKeys
{
public:
    struct Outputs
    {
        std::function<void(std::shared_ptr<const GatewayConfig>, std::uint64_t revision)> config;
        std::function<void(const Evacuations &)> evacuations; ///< newer than the last ones
    };

    explicit OperatorKeys(Outputs outputs)
        : m_outputs(std::move(outputs))
    {
    }

    /// @brief Handles all values below the prefix. A zone without a key is taken back.
    /// @param era of the store that returned the list
    void onList(const StoredList &list, std::uint64_t era)
    {
        Evacuations next{era, list.revision, {}};
        for (const StoredValue &value : list.values) {
            addZone(value, next);
        }
        std::erase_if(m_ignoredKeys, [&list](const std::string &key) {
            return std::none_of(list.values.begin(), list.values.end(), [&key](const StoredValue &value) {
                return value.key == key;
            });
        });
        adopt(next);
        for (const StoredValue &value : list.values) {
            applyConfig(value);
        }
    }

    /// @brief Handles one event of an answer; evacuations take effect with onEventsEnd(), since one transaction can
    /// write several zones at the same revision.
    /// @param era of the store that told of the event
    void onEvent(const StoreEvent &event, std::uint64_t era)
    {
        applyConfig(event.value);
        const auto zone = Platform::evacuatedZone(event.value.key);
        if (!zone) {
            return;
        }
        const Evacuations at{era, event.value.revision, {}};
        if (!at.isNewerThan(m_evacuations)) {
            return;
        }
        if (!m_next) {
            m_next = m_evacuations;
        }
        m_next->era = era;
        m_next->revision = std::max(m_next->revision, event.value.revision);
        if (event.removed) {
            m_next->zones.erase(*zone);
            m_ignoredKeys.erase(event.value.key);
        } else {
            addZone(event.value, *m_next);
        }
    }

    /// @brief Puts the evacuations of the last events in force.
    void onEventsEnd()
    {
        if (const auto next = std::exchange(m_next, std::nullopt)) {
            adopt(*next);
        }
    }

    /// @brief Takes evacuations that were read from the store or that a leader has relayed, unless they are older than
    /// the known ones.
    void adopt(const Evacuations &evacuations)
    {
        if (evacuations.isNewerThan(m_evacuations)) {
            m_evacuations = evacuations;
            m_outputs.evacuations(m_evacuations);
        }
    }

    /// @brief Handles the value if it is the configuration.
    void applyConfig(const StoredValue &value)
    {
        if (value.key != Platform::configKey()) {
            return;
        }
        const auto read = Platform::parseConfig(value.value);
        if (!read.ok()) {
            spdlog::error("config: event=unreadable revision={} reason=\"{}\"", value.revision,
                          escapeQuotedText(std::string(read.status().message())));
            return;
        }
        logFindings(read->findings, value.revision);
        m_outputs.config(read->config, value.revision);
    }

    const Evacuations &evacuations() const
    {
        return m_evacuations;
    }

private:
    /// Adds the zone that the key names, if any. A key that can't name a zone is logged once.
    void addZone(const StoredValue &value, Evacuations &evacuations)
    {
        const auto zone = Platform::evacuatedZone(value.key);
        if (!zone) {
            return;
        }
        const bool isZone = !zone->empty() && zone->size() <= Evacuations::MaxZoneLength;
        const bool hasRoom = evacuations.zones.size() < Evacuations::MaxZones;
        if (isZone && hasRoom) {
            evacuations.zones.insert(*zone);
            m_ignoredKeys.erase(value.key);
        } else if (m_ignoredKeys.size() < Evacuations::MaxZones && m_ignoredKeys.insert(value.key).second) {
            spdlog::error("servers: event=evacuation zone={} state=ignored revision={} reason=\"{}\"",
                          escapeLogValue(*zone), value.revision, isZone ? "too many zones" : "not a zone's name");
        }
    }

    /// Logs only findings that the previous version did not have, since most persist across versions.
    void logFindings(const Findings &findings, std::uint64_t revision)
    {
        constexpr std::size_t MaxLines = 100; ///< a version can hold thousands
        std::set<std::string> lines;
        for (const Finding &finding : findings.all()) {
            std::string line = finding.place + ": " + finding.message;
            if (!m_findings.contains(line) && lines.size() < MaxLines) {
                spdlog::error("config: event=finding revision={} place=\"{}\" reason=\"{}\"", revision,
                              escapeQuotedText(finding.place), escapeQuotedText(finding.message));
            }
            lines.insert(std::move(line));
        }
        m_findings = std::move(lines);
    }

    Outputs m_outputs;
    Evacuations m_evacuations;
    std::optional<Evacuations> m_next; ///< with the events of the answer that is being handled
    std::set<std::string> m_findings; ///< of the newest configuration that was read
    std::set<std::string> m_ignoredKeys; ///< keys that name no zone
};

} // namespace snipevalve

#endif // SNIPEVALVE_NODE_CONTROL_OPERATOR_KEYS_HPP
