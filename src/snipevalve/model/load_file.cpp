#include "snipevalve/model/load_file.hpp"

#include <toml++/toml.h>

#include "snipevalve/core/findings.hpp"

namespace snipevalve::model {

namespace {

/// Reads one table and collects what is wrong with it.
class TableReader
{
public:
    TableReader(const toml::table &table, std::string place, Findings &findings)
        : m_table(table)
        , m_place(std::move(place))
        , m_findings(findings)
    {
    }

    double number(const char *field, double fallback)
    {
        const toml::node *node = m_table.get(field);
        if (node == nullptr) {
            return fallback;
        }
        const auto value = node->value<double>();
        if (!value || *value < 0) {
            m_findings.add(m_place + "." + field, "a number of at least 0 is needed");
        }
        return value.value_or(fallback);
    }

    Seconds seconds(const char *field, Seconds fallback)
    {
        return Seconds(number(field, fallback.count()));
    }

    std::string text(const char *field)
    {
        const auto value = m_table[field].value<std::string>();
        if (!value) {
            m_findings.add(m_place + "." + field, "a text is needed");
        }
        return value.value_or("");
    }

    /// Calls `read` with a reader for each table of a list.
    template <typename Read>
    void each(const char *field, Read read)
    {
        const toml::array *array = m_table[field].as_array();
        for (std::size_t at = 0; array != nullptr && at < array->size(); ++at) {
            const std::string place = m_place + "." + field + "[" + std::to_string(at) + "]";
            if (const toml::table *table = (*array)[at].as_table()) {
                read(TableReader(*table, place, m_findings));
            } else {
                m_findings.add(place, "a table is needed");
            }
        }
    }

    std::vector<double> numbers(const char *field)
    {
        std::vector<double> all;
        const toml::array *array = m_table[field].as_array();
        for (std::size_t at = 0; array != nullptr && at < array->size(); ++at) {
            all.push_back((*array)[at].value<double>().value_or(0));
            if (all.back() <= 0) {
                m_findings.add(m_place + "." + field, "numbers above 0 are needed");
            }
        }
        if (all.empty()) {
            m_findings.add(m_place + "." + field, "a list of numbers is needed");
        }
        return all;
    }

private:
    const toml::table &m_table;
    std::string m_place;
    Findings &m_findings;
};

RequestClass readClass(TableReader reader)
{
    RequestClass result;
    result.name = reader.text("name");
    result.perSecond = reader.number("per_s", result.perSecond);
    result.meanWork = reader.seconds("work_s", result.meanWork);
    result.spread = reader.number("spread", result.spread);
    result.target = reader.seconds("target_s", result.target);
    result.deadline = reader.seconds("deadline_s", result.deadline);
    result.worth = reader.number("worth", result.worth);
    result.lateWorth = reader.number("late_worth", result.lateWorth);
    result.priority = static_cast<int>(reader.number("priority", 0));
    result.retries = static_cast<int>(reader.number("retries", result.retries));
    return result;
}

Disturbance readDisturbance(TableReader reader)
{
    Disturbance result;
    result.from = reader.seconds("from_s", result.from);
    result.until = reader.seconds("until_s", result.until);
    result.arrivals = reader.number("arrivals", result.arrivals);
    result.slowShare = reader.number("slow_share", result.slowShare);
    result.slowness = reader.number("slowness", result.slowness);
    result.refuseShare = reader.number("refuse_share", result.refuseShare);
    return result;
}

Load readLoad(TableReader reader)
{
    Load load;
    load.name = reader.text("name");
    load.serverSpeeds = reader.numbers("servers");
    load.slots = static_cast<unsigned>(reader.number("slots", load.slots));
    load.hosts = static_cast<unsigned>(reader.number("hosts", load.hosts));
    load.linkDelay = reader.seconds("link_s", load.linkDelay);
    load.length = reader.seconds("length_s", load.length);
    load.seed = static_cast<std::uint64_t>(reader.number("seed", 1));
    reader.each("classes", [&load](TableReader each) {
        load.classes.push_back(readClass(each));
    });
    reader.each("disturbances", [&load](TableReader each) {
        load.disturbances.push_back(readDisturbance(each));
    });
    return load;
}

} // namespace

absl::StatusOr<std::vector<Load>> readLoads(const std::string &path)
{
    toml::table table;
    try {
        table = toml::parse_file(path);
    } catch (const toml::parse_error &error) {
        return absl::InvalidArgumentError(path + ":" + std::to_string(error.source().begin.line) + ": "
                                          + std::string(error.description()));
    }
    Findings findings;
    std::vector<Load> loads;
    TableReader(table, path, findings).each("load", [&loads](TableReader each) {
        loads.push_back(readLoad(each));
    });
    if (!findings.empty()) {
        return findings.toStatus();
    }
    return loads;
}

} // namespace snipevalve::model
