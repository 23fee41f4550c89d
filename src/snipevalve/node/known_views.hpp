#ifndef SNIPEVALVE_NODE_KNOWN_VIEWS_HPP
#define SNIPEVALVE_NODE_KNOWN_VIEWS_HPP

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "snipevalve/core/time.hpp"
#include "snipevalve/node/service_view.hpp"

namespace snipevalve {

/// @brief A view that one host passes on to another, with the time since a leader or the store last confirmed it.
struct KnownView
{
    ServiceView view;
    Milliseconds age{0};
};

/// @brief The views that a host knows, for the time when a service has no leader. No I/O, threads or clock.
///
/// Load pattern: hosts restart while the store is away. They get the configuration from their peers but can't read the
/// servers and key owners anywhere, so they would hold every request until its deadline, for as long as the outage
/// lasts. Such a host asks its peers for the views that it lacks; the youngest one is used.
class KnownViews
{
public:
    /// @brief Sets a view that a leader has sent or that was read from the store.
    void set(ServiceView view, TimePoint now)
    {
        Entry &entry = m_entries[view.service];
        entry.view = std::move(view);
        entry.confirmedAt = now;
    }

    /// @brief Notes that the service's view is up to date, since its leader sends every change.
    void confirm(const std::string &service, TimePoint now)
    {
        const auto entry = m_entries.find(service);
        if (entry != m_entries.end()) {
            entry->second.confirmedAt = now;
        }
    }

    /// @brief Takes a view from another host if it is younger than the one known here. @return whether it was taken
    bool adopt(const KnownView &known, TimePoint now)
    {
        const auto entry = m_entries.find(known.view.service);
        const TimePoint confirmedAt = now - known.age;
        const bool isNews = entry == m_entries.end() || entry->second.confirmedAt < confirmedAt;
        if (isNews) {
            set(known.view, confirmedAt);
        }
        return isNews;
    }

    /// @return the view of the service; null when none is known
    const ServiceView *find(const std::string &service) const
    {
        const auto entry = m_entries.find(service);
        return entry == m_entries.end() ? nullptr : &entry->second.view;
    }

    /// @brief The services whose views are known.
    std::vector<std::string> services() const
    {
        std::vector<std::string> services;
        for (const auto &[service, entry] : m_entries) {
            services.push_back(service);
        }
        return services;
    }

    /// @brief The zones of the servers in all views.
    std::set<std::string> zones() const
    {
        std::set<std::string> zones;
        for (const auto &[service, entry] : m_entries) {
            for (const UpstreamServer &server : entry.view.servers) {
                zones.insert(server.zone);
            }
        }
        return zones;
    }

    /// @brief The views of these services that are young enough to be passed on.
    std::vector<KnownView> offer(const std::vector<std::string> &services, TimePoint now) const
    {
        std::vector<KnownView> offered;
        for (const std::string &service : services) {
            const auto entry = m_entries.find(service);
            if (entry != m_entries.end() && now - entry->second.confirmedAt <= MaxAge) {
                const auto age = std::chrono::duration_cast<Milliseconds>(now - entry->second.confirmedAt);
                offered.push_back({entry->second.view, std::max(age, Milliseconds(0))});
            }
        }
        return offered;
    }

    /// @brief The services to ask other hosts about now.
    /// @param leaderless services without a leader that answers
    std::vector<std::string> missing(const std::vector<std::string> &leaderless, TimePoint now)
    {
        std::vector<std::string> services;
        for (const std::string &service : leaderless) {
            if (!m_entries.contains(service)) {
                services.push_back(service);
            }
        }
        if (services.empty()) {
            m_missingSince.reset();
            return {};
        }
        m_missingSince = m_missingSince.value_or(now);
        if (now - *m_missingSince < RequestDelay || now - m_requestedAt < RequestInterval) {
            return {};
        }
        m_requestedAt = now;
        return services;
    }

private:
    struct Entry
    {
        ServiceView view;
        TimePoint confirmedAt;
    };

    /// Servers last longer than this; an older view is likely to name none that still serves.
    static constexpr Milliseconds MaxAge{30'000};
    /// With the store in reach, a host has read its views by then.
    static constexpr Milliseconds RequestDelay{400};
    static constexpr Milliseconds RequestInterval{300};

    std::map<std::string, Entry> m_entries; ///< by service
    std::optional<TimePoint> m_missingSince;
    TimePoint m_requestedAt;
};

} // namespace snipevalve

#endif // SNIPEVALVE_NODE_KNOWN_VIEWS_HPP
