#include "standins/hold_record.hpp"

#include <fstream>
#include <optional>
#include <sstream>
#include <stdexcept>

namespace snipevalve::standins {

namespace {

const std::string NoId = "-";

std::int64_t toNumber(TimePoint time)
{
    return std::chrono::nanoseconds(time.time_since_epoch()).count();
}

struct LineWriter
{
    std::ostringstream &line;

    void operator()(const StartEvent &event) const
    {
        line << "start " << toNumber(event.at) << ' ' << event.serverStart;
    }

    void operator()(const GrantEvent &event) const
    {
        line << "grant " << toNumber(event.at) << ' ' << toNumber(event.appliedAt) << ' ' << toNumber(event.until)
             << ' ' << event.keys.from << ' ' << event.keys.to << ' ' << event.fence << ' ' << event.giver;
    }

    void operator()(const ReleaseEvent &event) const
    {
        line << "release " << toNumber(event.at) << ' ' << event.keys.from << ' ' << event.keys.to << ' '
             << event.giver;
    }

    void operator()(const RequestArrival &event) const
    {
        line << "request " << toNumber(event.at) << ' ' << event.serverStart << ' ' << event.ran << ' '
             << event.announcesLeaving << ' ' << event.pause.count() << ' ' << event.key << ' '
             << (event.requestId.empty() ? NoId : event.requestId);
    }

    void operator()(const WorkEndEvent &event) const
    {
        line << "end " << toNumber(event.at) << ' ' << event.requestId;
    }
};

TimePoint readTime(std::istream &line)
{
    std::int64_t number = 0;
    line >> number;
    return TimePoint(std::chrono::nanoseconds(number));
}

std::optional<ServerEvent> parseLine(const std::string &text)
{
    std::istringstream line(text);
    std::string kind;
    line >> kind;
    ServerEvent event;
    if (kind == "start") {
        StartEvent start;
        start.at = readTime(line);
        line >> start.serverStart;
        event = start;
    } else if (kind == "grant") {
        GrantEvent grant;
        grant.at = readTime(line);
        grant.appliedAt = readTime(line);
        grant.until = readTime(line);
        line >> grant.keys.from >> grant.keys.to >> grant.fence >> grant.giver;
        event = grant;
    } else if (kind == "release") {
        ReleaseEvent release;
        release.at = readTime(line);
        line >> release.keys.from >> release.keys.to >> release.giver;
        event = release;
    } else if (kind == "request") {
        RequestArrival arrival;
        arrival.at = readTime(line);
        std::int64_t pause = 0;
        line >> arrival.serverStart >> arrival.ran >> arrival.announcesLeaving >> pause >> arrival.key
            >> arrival.requestId;
        arrival.pause = Milliseconds(pause);
        event = arrival;
    } else if (kind == "end") {
        WorkEndEvent end;
        end.at = readTime(line);
        line >> end.requestId;
        event = end;
    } else {
        return std::nullopt;
    }
    return line ? std::optional(event) : std::nullopt;
}

} // namespace

std::string toLine(const ServerEvent &event)
{
    std::ostringstream line;
    std::visit(LineWriter{line}, event);
    line << '\n';
    return line.str();
}

ServerRecord readServerRecord(const std::string &path, const std::string &id, const std::string &service)
{
    ServerRecord record;
    record.id = id;
    record.service = service;
    std::ifstream file(path);
    std::string line;
    while (std::getline(file, line) && !file.eof()) {
        auto event = parseLine(line);
        if (!event) {
            throw std::runtime_error(path + ": unreadable line \"" + line + "\"");
        }
        if (auto *arrival = std::get_if<RequestArrival>(&*event)) {
            arrival->server = id;
            arrival->service = service;
        }
        record.events.push_back(std::move(*event));
    }
    return record;
}

} // namespace snipevalve::standins
