#include "snipevalve/request/request_life.hpp"

namespace snipevalve {

std::string_view toString(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Answered:
        return "answered";
    case Outcome::NotRun:
        return "not-run";
    case Outcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

bool isNotRun(AttemptEnd end)
{
    return end != AttemptEnd::Answered && end != AttemptEnd::Lost;
}

} // namespace snipevalve
