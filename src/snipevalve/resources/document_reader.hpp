#ifndef SNIPEVALVE_RESOURCES_DOCUMENT_READER_HPP
#define SNIPEVALVE_RESOURCES_DOCUMENT_READER_HPP

#include <set>
#include <string>

#include <nlohmann/json.hpp>

#include "snipevalve/core/findings.hpp"

namespace snipevalve::detail {

/// @brief Reads and validates the fields of one JSON object.
///
/// An invalid value adds a finding and reads as the fallback, so that all findings are reported together.
class DocumentReader
{
public:
    /// @param place the location of the object in the document, as a prefix for findings; empty for the root
    DocumentReader(const nlohmann::json &object, std::string place, Findings &findings)
        : m_object(object)
        , m_place(std::move(place))
        , m_findings(findings)
    {
        if (!m_object.is_object()) {
            m_findings.add(m_place, "must be an object");
        }
    }

    std::string text(const std::string &field, const std::string &fallback, bool required = false)
    {
        const nlohmann::json *value = find(field, required);
        if (value == nullptr) {
            return fallback;
        }
        if (!value->is_string()) {
            addFinding(field, "must be a string");
            return fallback;
        }
        return value->get<std::string>();
    }

    /// @return the number; the fallback if the field is missing, not a number, or not from `minimum` to `maximum`
    std::uint64_t number(const std::string &field, std::uint64_t fallback, std::uint64_t minimum, std::uint64_t maximum)
    {
        const nlohmann::json *value = find(field, false);
        if (value == nullptr) {
            return fallback;
        }
        if (!value->is_number_unsigned()) {
            addFinding(field, "must be a whole number, not negative");
            return fallback;
        }
        const auto number = value->get<std::uint64_t>();
        if (number < minimum || number > maximum) {
            addFinding(field, "must be from " + std::to_string(minimum) + " to " + std::to_string(maximum));
            return fallback;
        }
        return number;
    }

    bool flag(const std::string &field, bool fallback)
    {
        const nlohmann::json *value = find(field, false);
        if (value == nullptr) {
            return fallback;
        }
        if (!value->is_boolean()) {
            addFinding(field, "must be true or false");
            return fallback;
        }
        return value->get<bool>();
    }

    /// @brief Looks up a field and marks it as known.
    /// @return the value; null if the field is missing
    const nlohmann::json *find(const std::string &field, bool required)
    {
        m_knownFields.insert(field);
        if (m_object.is_object() && m_object.contains(field)) {
            return &m_object.at(field);
        }
        if (required) {
            addFinding(field, "is missing");
        }
        return nullptr;
    }

    void addFinding(const std::string &field, const std::string &message)
    {
        m_findings.add(m_place.empty() ? field : m_place + "." + field, message);
    }

    /// @brief Adds a finding for every field that has not been read. Call it after all known fields.
    void reportUnknownFields()
    {
        if (!m_object.is_object()) {
            return;
        }
        for (const auto &[field, value] : m_object.items()) {
            if (!m_knownFields.contains(field)) {
                addFinding(field, "is not a known field");
            }
        }
    }

private:
    const nlohmann::json &m_object;
    std::string m_place;
    Findings &m_findings;
    std::set<std::string> m_knownFields;
};

} // namespace snipevalve::detail

#endif // SNIPEVALVE_RESOURCES_DOCUMENT_READER_HPP
