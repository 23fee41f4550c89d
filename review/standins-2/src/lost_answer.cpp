#include "cases.hpp"

#include <csignal>
#include <thread>

#include "node.hpp"
#include "server.hpp"

namespace review {

namespace {

constexpr Milliseconds LossTime(4'500); ///< platform_lost: for_s
constexpr double LossShare = 0.35; ///< platform_lost: x
constexpr Milliseconds RecoveryTime(15'000); ///< recovery_s
constexpr Milliseconds MeasuredTime(10'000);

/// @brief Loses the answer to one write, that by which a host takes the keyed service over.
class AnswerLoss
{
public:
    AnswerLoss(Record &record, Milliseconds end)
        : m_record(record)
        , m_end(end)
    {
    }

    bool onWrite(const Store::Json &body)
    {
        if (m_record.now() > m_end) {
            return false;
        }
        ++m_writes;
        std::string keys;
        for (const auto &write : body.value("writes", Store::Json::array())) {
            keys += " " + write.at("key").get<std::string>();
        }
        const bool isLost = hasTrouble() && m_lost == 0 && keys == " snipevalve/leader/0/ledger";
        m_lost += isLost ? 1 : 0;
        m_record.add("store writes:" + keys + " deletes: " + body.value("deletes", Store::Json::array()).dump()
                     + " answer=" + (isLost ? "lost" : "given"));
        return isLost;
    }

    void check() const
    {
        m_record.add("store-calm writes=" + std::to_string(m_writes) + " answers_lost=" + std::to_string(m_lost));
        if (hasTrouble() && (m_lost != 1 || m_lost > LossShare * m_writes)) {
            throw CouldNotRun("not one answer was lost, or too large a share of them");
        }
    }

private:
    Record &m_record;
    Milliseconds m_end;
    int m_writes = 0;
    int m_lost = 0;
};

} // namespace

Verdict playLostAnswer(Record &record)
{
    const TemporaryFolder folder;
    Store &store = keep<Store>("127.67.9.1");
    store.put("op/config", smallConfig({{"accounts", false}, {"ledger", true}}));
    for (int number = 0; number < 6; ++number) {
        keep<Server>(store, record,
                     Server::Options{.id = "i-ledger-" + std::to_string(number),
                                     .service = "ledger",
                                     .ip = "127.67.9." + std::to_string(10 + number),
                                     .keyed = true});
    }
    keep<Server>(store, record, Server::Options{.id = "i-accounts", .service = "accounts", .ip = "127.67.9.30"});
    Node first(folder, store, {.name = "node-1", .ip = "127.67.1.1"});
    first.start();
    waitUntilServed(first, "/k/");
    Node second(folder, store, {.name = "node-2", .ip = "127.67.1.2", .seeds = {first.control()}});
    second.start();
    waitUntilServed(second, "/k/");
    for (const char *service : {"accounts", "ledger"}) {
        waitUntil(
            [&]() {
                return store.leaderOf(service) == first.control().text();
            },
            Milliseconds(5'000), std::string("node-1 leads ") + service);
    }
    std::this_thread::sleep_for(Milliseconds(3'000));
    int before = 0;
    int number = 0;
    for (; number < 20; ++number) {
        before += lookUp(record, number % 2 == 0 ? first : second, number) ? 1 : 0;
    }
    if (before < number / 4) {
        throw CouldNotRun("too little is served before the disruption");
    }

    const Milliseconds lossEnd = record.now() + LossTime;
    AnswerLoss &loss = keep<AnswerLoss>(record, lossEnd);
    store.setOnWrite([&loss](const Store::Json &body) {
        return loss.onWrite(body);
    });
    record.add("SIGTERM node-1");
    first.sendSignal(SIGTERM);
    first.wait();
    first.start();
    record.add("started node-1");
    std::this_thread::sleep_for(std::max(Milliseconds(0), lossEnd - record.now()));
    store.setOnWrite({});
    loss.check();
    waitUntil(
        [&first]() {
            return first.isReady();
        },
        Milliseconds(10'000), "node-1 is ready");
    record.add("machines-back");
    std::this_thread::sleep_for(RecoveryTime);
    record.add("recovery-over leader_of_ledger=" + store.leaderOf("ledger") + " node-1=" + first.control().text()
               + " node-2=" + second.control().text());
    int after = 0;
    int sent = 0;
    for (const Milliseconds end = record.now() + MeasuredTime; record.now() < end; ++sent) {
        after += lookUp(record, sent % 2 == 0 ? first : second, ++number) ? 1 : 0;
        std::this_thread::sleep_for(Milliseconds(100));
    }
    record.add("result served_before=" + std::to_string(before) + "/20 served_after=" + std::to_string(after) + "/"
               + std::to_string(sent));
    if (!first.isRunning() || !second.isRunning()) {
        throw CouldNotRun("a node has ended");
    }
    return after * 4 < sent ? Verdict::Broken : Verdict::Held;
}

} // namespace review
