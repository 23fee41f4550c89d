#include "snipevalve/model/load_file.hpp"

#include <toml++/toml.h>

#include "snipevalve/core/findings.hpp"

namespace snipevalve::model {

namespace {

/// Reads the fields of a TOML table and collects all validation errors.
class TableReader
{
public:
    TableReader(const toml::table &table, std::string path, Findings &findings)
        : m_table(table)
        , m_path(std::move(path))
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
            m_findings.add(m_path + "." + field, "must be a number of at least 0");
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
            m_findings.add(m_path + "." + field, "must be a string");
        }
        return value.value_or("");
    }

    /// Calls `read` with a reader for each table in an array of tables.
    template <typename Read>
    void forEachTable(const char *field, Read read)
    {
        const toml::array *array = m_table[field].as_array();
        for (std::size_t index = 0; array != nullptr && index < array->size(); ++index) {
            const std::string path = m_path + "." + field + "[" + std::to_string(index) + "]";
            if (const toml::table *table = (*array)[index].as_table()) {
                read(TableReader(*table, path, m_findings));
            } else {
                m_findings.add(path, "must be a table");
            }
        }
    }

    std::vector<double> numbers(const char *field)
    {
        std::vector<double> values;
        const toml::array *array = m_table[field].as_array();
        for (std::size_t index = 0; array != nullptr && index < array->size(); ++index) {
            values.push_back((*array)[index].value<double>().value_or(0));
            if (values.back() <= 0) {
                m_findings.add(m_path + "." + field, "must contain only numbers above 0");
            }
        }
        if (values.empty()) {
            m_findings.add(m_path + "." + field, "must be a list of numbers that is not empty");
        }
        return values;
    }

private:
    const toml::table &m_table;
    std::string m_path;
    Findings &m_findings;
};

RequestClass readClass(TableReader reader)
{
    RequestClass result;
    result.name = reader.text("name");
    result.arrivalsPerSecond = reader.number("per_s", result.arrivalsPerSecond);
    result.meanWork = reader.seconds("work_s", result.meanWork);
    result.workLogDeviation = reader.number("spread", result.workLogDeviation);
    result.target = reader.seconds("target_s", result.target);
    result.deadline = reader.seconds("deadline_s", result.deadline);
    result.worth = reader.number("worth", result.worth);
    result.lateWorth = reader.number("late_worth", result.lateWorth);
    result.priority = static_cast<int>(reader.number("priority", 0));
    result.maxRetries = static_cast<int>(reader.number("retries", result.maxRetries));
    return result;
}

Disturbance readDisturbance(TableReader reader)
{
    Disturbance result;
    result.from = reader.seconds("from_s", result.from);
    result.until = reader.seconds("until_s", result.until);
    result.arrivalFactor = reader.number("arrivals", result.arrivalFactor);
    result.slowServerShare = reader.number("slow_share", result.slowServerShare);
    result.slowdownFactor = reader.number("slowness", result.slowdownFactor);
    result.refusalRate = reader.number("refuse_share", result.refusalRate);
    return result;
}

Load readLoad(TableReader reader)
{
    Load load;
    load.name = reader.text("name");
    load.serverSpeeds = reader.numbers("servers");
    load.slotsPerServer = static_cast<unsigned>(reader.number("slots", load.slotsPerServer));
    load.hosts = static_cast<unsigned>(reader.number("hosts", load.hosts));
    load.linkDelay = reader.seconds("link_s", load.linkDelay);
    load.duration = reader.seconds("length_s", load.duration);
    load.seed = static_cast<std::uint64_t>(reader.number("seed", 1));
    reader.forEachTable("classes", [&load](TableReader entry) {
        load.classes.push_back(readClass(entry));
    });
    reader.forEachTable("disturbances", [&load](TableReader entry) {
        load.disturbances.push_back(readDisturbance(entry));
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
    TableReader(table, path, findings).forEachTable("load", [&loads](TableReader entry) {
        loads.push_back(readLoad(entry));
    });
    if (!findings.empty()) {
        return findings.toStatus();
    }
    return loads;
}

} // namespace snipevalve::model
