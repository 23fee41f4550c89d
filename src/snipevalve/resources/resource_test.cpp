#include <catch2/catch.hpp>

#include "snipevalve/resources/catalog.hpp"

namespace snipevalve {

TEST_CASE("a resource document with findings is refused, and all its findings are reported at once")
{
    struct Case
    {
        std::string document;
        std::vector<std::string> findings;
    };
    const std::vector<Case> cases = {
        {"nonsense", {"document: is not JSON"}},
        {"[]", {"must be an object"}},
        {R"({"name":"a"})", {"kind: is missing", "spec: is missing"}},
        {R"({"kind":"house","name":"a","spec":{}})", {"kind: must be"}},
        {R"({"kind":"service","name":"A b","spec":{}})", {"name: must be"}},
        {R"({"kind":"service","name":"a","spec":{"mode":"x","slots":0,"colour":1}})",
         {"spec.mode", "spec.slots: must be from 1 to 65536", "spec.colour: is not a known field"}},
        {R"({"kind":"server","name":"a","spec":{"endpoint":"host:1","concurrency":-1}})",
         {"spec.service: is missing", "spec.endpoint: must be an IPv4", "spec.concurrency"}},
        {R"({"kind":"route","name":"a","spec":{"pathPrefix":"x","service":"b","deadlineMs":"5"}})",
         {"spec.pathPrefix: must begin", "spec.deadlineMs: must be a whole number"}},
        {R"({"kind":"route","name":"a","extra":1,"spec":{"pathPrefix":"/x/","service":"b"}})",
         {"extra: is not a known field"}},
    };
    for (const Case &entry : cases) {
        INFO(entry.document);
        const auto resource = parseResource(entry.document);
        REQUIRE_FALSE(resource.ok());
        const std::string message(resource.status().message());
        for (const std::string &finding : entry.findings) {
            INFO(message);
            CHECK(message.find(finding) != std::string::npos);
        }
    }
}

TEST_CASE("resources are read back as written")
{
    const std::vector<std::string> documents = {
        R"({"kind":"service","name":"kalender","team":"kliko","spec":{"mode":"keyed","groups":2,"slots":64}})",
        R"({"kind":"server","name":"k-1","spec":{"service":"kalender","endpoint":"127.0.0.1:80","draining":true}})",
        R"({"kind":"route","name":"r","spec":{"pathPrefix":"/r/","service":"kalender","keyHeader":"x-key"}})",
    };
    for (const std::string &document : documents) {
        const auto resource = parseResource(document);
        REQUIRE(resource.ok());
        const auto reparsed = parseResource(toJson(*resource));
        REQUIRE(reparsed.ok());
        CHECK(toJson(*reparsed) == toJson(*resource));
    }
}

TEST_CASE("references between resources are validated")
{
    std::vector<Resource> resources;
    resources.push_back(Service{"kalender", "t", ServiceMode::Keyed, 1, 16, true});
    Server server;
    server.name = "k-1";
    server.service = "kalender";
    server.endpoint = {"127.0.0.1", 80};
    resources.push_back(server);
    CHECK(checkReferences(resources).empty());
    server.name = "k-2";
    server.group = 1;
    resources.push_back(server);
    Route route;
    route.name = "r";
    route.pathPrefix = "/r/";
    route.service = "nothing";
    resources.push_back(route);
    const std::string findings = checkReferences(resources).toString();
    CHECK(findings.find("server/k-2.spec.group") != std::string::npos);
    CHECK(findings.find("server/k-2.spec.endpoint") != std::string::npos);
    CHECK(findings.find("route/r.spec.service") != std::string::npos);
}

TEST_CASE("an envelope keeps the ids of the 16 latest earlier writes", "[promise-8]")
{
    ResourceEnvelope envelope = envelopeAfter(std::nullopt, "w-0", "{}");
    for (int write = 1; write <= 20; ++write) {
        envelope = envelopeAfter(parseEnvelope(toJson(envelope)), "w-" + std::to_string(write), "{}");
    }
    CHECK(envelope.writeId == "w-20");
    CHECK(envelope.earlierWrites.size() == 16);
    CHECK(envelope.earlierWrites.front() == "w-19");
}

} // namespace snipevalve
