#include "cases.hpp"

#include "node.hpp"
#include "server.hpp"

namespace review {

namespace {

std::string inOneChunk(const std::string &body)
{
    char size[32];
    std::snprintf(size, sizeof(size), "%zx\r\n", body.size());
    return size + body + "\r\n0\r\n\r\n";
}

} // namespace

Verdict playSmuggledRequest(Record &record)
{
    constexpr int Uploads = 5;
    const TemporaryFolder folder;
    Store &store = keep<Store>("127.66.9.1");
    store.put("op/config", smallConfig({{"debits", false}, {"ledger", true}}));
    Server &server =
        keep<Server>(store, record, Server::Options{.id = "i-debits", .service = "debits", .ip = "127.66.9.10"});
    Node node(folder, store, {.name = "node-1", .ip = "127.66.1.1"});
    node.start();
    waitUntilServed(node, "/s/");

    std::map<std::string, std::string> sent; // bodies by request id
    for (int number = 0; number < Uploads; ++number) {
        const std::string id = "upload-" + std::to_string(number);
        const std::string inner = "inner-" + std::to_string(number);
        // What the consumer uploads is the text of another request, which nobody sends.
        sent[id] = request("POST", "/p/" + inner, inner, {{"Content-Length", "0"}});
        const std::string coding = hasTrouble() ? "gzip" : "chunked";
        record.add("send id=" + id + " request=\"POST /u/" + id + "\" transfer_encoding=" + coding
                   + " body_bytes=" + std::to_string(sent[id].size()));
        const auto connection = Connection::open(node.callers(), Milliseconds(1'000));
        if (!connection) {
            throw CouldNotRun("the node takes no connection");
        }
        connection->write(request("POST", "/u/" + id, id, {{"Transfer-Encoding", coding}},
                                  hasTrouble() ? sent[id] : inOneChunk(sent[id])));
        connection->setTimeout(Milliseconds(6'000));
        const auto reply = connection->readAnswer();
        record.add("answer id=" + id + " status=" + std::to_string(reply ? reply->status() : 0));
        connection->setTimeout(Milliseconds(300));
        if (const auto second = connection->readAnswer()) {
            record.add("second-answer on_connection_of=" + id + " status=" + std::to_string(second->status())
                       + " id=" + second->header("X-Snipevalve-Request-Id"));
        }
    }
    const auto ordinary = sendAndReceive(node.callers(), request("GET", "/s/after", "after"));
    record.add("answer id=after status=" + std::to_string(ordinary ? ordinary->status() : 0));
    sent["after"] = "";

    bool isBroken = false;
    for (const Run &run : server.runs()) {
        if (run.id.starts_with("start-")) {
            continue;
        }
        const auto asked = sent.find(run.id);
        if (asked == sent.end()) {
            record.add("unasked id=" + run.id + " target=" + run.target + " reason=\"no consumer sent this request\"");
            isBroken = true;
        } else if (asked->second != run.body) {
            record.add("unasked id=" + run.id + " run_with_bytes=" + std::to_string(run.body.size())
                       + " sent_bytes=" + std::to_string(asked->second.size()));
            isBroken = true;
        }
    }
    if (!ordinary || ordinary->status() != 200) {
        throw CouldNotRun("an ordinary request was not served");
    }
    return isBroken ? Verdict::Broken : Verdict::Held;
}

} // namespace review
