#include <catch2/catch.hpp>

#include <random>

#include "snipevalve/dispatch/work_order.hpp"

namespace snipevalve {

namespace {

const TimePoint Now{std::chrono::hours(1)};
constexpr double Margin = 1.4;

struct Waiting
{
    int priority = 0;
    Milliseconds target{0}; ///< from now
    Seconds work{0};
};

WorkItem itemOf(const Waiting &waiting, Ticket ticket)
{
    WorkItem item;
    item.ticket = ticket;
    item.priority = waiting.priority;
    item.targetBy = Now + waiting.target;
    item.deadline = item.targetBy + Milliseconds(1'000);
    return item;
}

std::vector<Ticket> ordered(const std::vector<Waiting> &all, bool defersLessUrgent, double capacity = 4)
{
    std::vector<WorkItem> items;
    for (const Waiting &each : all) {
        items.push_back(itemOf(each, items.size() + 1));
    }
    std::vector<WorkEstimate> estimates;
    WorkOrder order(defersLessUrgent, capacity, Now);
    for (std::size_t at = 0; at < all.size(); ++at) {
        const Seconds needed = all[at].work * Margin;
        estimates.push_back({&items[at], all[at].work, needed, needed > Seconds(all[at].target)});
        order.add(estimates.back());
    }
    std::vector<WorkRank> ranks;
    for (const WorkEstimate &each : estimates) {
        ranks.push_back(order.rank(each));
    }
    std::sort(ranks.begin(), ranks.end());
    std::vector<Ticket> tickets;
    for (const WorkRank &rank : ranks) {
        tickets.push_back(rank.ticket);
    }
    return tickets;
}

} // namespace

TEST_CASE("a late urgent request goes before less urgent ones that meet their target after it")
{
    struct Case
    {
        std::string name;
        std::vector<Waiting> waiting;
        std::vector<Ticket> today;
        std::vector<Ticket> deferring;
    };
    const Seconds brief(0.15);
    const Seconds lengthy(0.88);
    const std::vector<Case> cases = {
        {"has time", {{2, Milliseconds(3'000), lengthy}, {0, Milliseconds(100), brief}}, {1, 2}, {2, 1}},
        {"would miss its target", {{2, Milliseconds(1'250), lengthy}, {0, Milliseconds(100), brief}}, {1, 2}, {1, 2}},
        {"is late, too", {{2, Milliseconds(500), lengthy}, {0, Milliseconds(100), brief}}, {2, 1}, {2, 1}},
        {"the urgent one is on time",
         {{2, Milliseconds(3'000), lengthy}, {0, Milliseconds(400), brief}},
         {2, 1},
         {2, 1}},
        {"the late one is less urgent",
         {{0, Milliseconds(400), brief}, {2, Milliseconds(500), lengthy}},
         {1, 2},
         {1, 2}},
        {"three priorities",
         {{2, Milliseconds(3'000), lengthy}, {1, Milliseconds(100), brief}, {0, Milliseconds(100), brief}},
         {1, 3, 2},
         {3, 2, 1}},
        {"only some have time",
         {{2, Milliseconds(3'000), lengthy}, {2, Milliseconds(1'250), lengthy}, {0, Milliseconds(100), brief}},
         {2, 1, 3},
         {2, 3, 1}},
        {"many urgent ones ahead would cost the target",
         {{2, Milliseconds(1'300), lengthy},
          {0, Milliseconds(100), brief},
          {0, Milliseconds(100), brief},
          {0, Milliseconds(100), brief}},
         {1, 2, 3, 4},
         {1, 2, 3, 4}},
    };
    for (const Case &each : cases) {
        INFO(each.name);
        CHECK(ordered(each.waiting, false) == each.today);
        CHECK(ordered(each.waiting, true) == each.deferring);
    }
}

TEST_CASE("with one priority, deferring changes nothing")
{
    std::mt19937_64 random(1);
    for (int round = 0; round < 50; ++round) {
        std::vector<Waiting> waiting;
        for (int at = 0; at < 12; ++at) {
            waiting.push_back(
                {1, Milliseconds(random() % 2'000), Seconds(0.1 + 0.1 * static_cast<double>(random() % 9))});
        }
        CHECK(ordered(waiting, true) == ordered(waiting, false));
    }
}

} // namespace snipevalve
