#include "snipevalve/dispatch/work.hpp"

namespace snipevalve {

std::string_view describe(RejectReason reason)
{
    switch (reason) {
    case RejectReason::NoServer:
        return "no usable server";
    case RejectReason::NoOwner:
        return "no server holds the key";
    case RejectReason::TooLate:
        return "the wait is longer than the request's time";
    case RejectReason::RetryBudget:
        return "no repeated send left";
    case RejectReason::Stopping:
        return "the host is about to end";
    case RejectReason::Paused:
        return "the server asks for a pause";
    }
    return "";
}

std::string_view describe(WorkEnd end)
{
    switch (end) {
    case WorkEnd::Done:
        return "done";
    case WorkEnd::Refused:
        return "refused";
    case WorkEnd::Unreachable:
        return "unreachable";
    case WorkEnd::Lost:
        return "lost";
    case WorkEnd::Abandoned:
        return "abandoned";
    }
    return "";
}

} // namespace snipevalve
