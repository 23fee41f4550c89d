#include "snipevalve/net/log_failure.hpp"

#include <spdlog/spdlog.h>

#include "snipevalve/core/log_text.hpp"

namespace snipevalve {

LogFailure::LogFailure(std::string component)
    : m_component(std::move(component))
{
}

void LogFailure::operator()(const std::exception_ptr &failure) const
{
    if (!failure) {
        return;
    }
    try {
        std::rethrow_exception(failure);
    } catch (const std::exception &error) {
        spdlog::error("{}: event=failed reason=\"{}\"", m_component, escapeQuotedText(error.what()));
    } catch (...) {
        spdlog::error("{}: event=failed reason=\"unknown\"", m_component);
    }
}

} // namespace snipevalve
