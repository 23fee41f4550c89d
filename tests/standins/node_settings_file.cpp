#include "standins/node_settings_file.hpp"

#include <fstream>

namespace snipevalve::standins {

void writeNodeSettings(const std::string &path, const std::string &node, const std::string &address,
                       const Endpoint &store, const std::optional<Endpoint> &controlProxy, const NodeLimits &limits)
{
    const Endpoint control{address, NodeControlPort};
    std::ofstream file(path);
    file << "node = \"" << node << "\"\nip = \"" << address
         << "\"\nzone = \"z\"\nseeds = []\nheartbeat_ms = 200\nbootstrap = true\n"
         << "bounds = [\"grace_s=6\",\"retry_budget_slack=60\",\"hold_max_ms=10000\"]\n[listen]\nfront = \"" << address
         << ":" << NodeCallersPort << "\"\nready = \"" << address << ":" << NodeReadinessPort << "\"\ncontrol = \""
         << toString(controlProxy.value_or(control)) << "\"\n[bind]\ncontrol = \"" << toString(control) << "\"\n"
         << "[limits]\ncpu_share = 1.0\ncores = 1\nmemory_mb = " << limits.memoryMb
         << "\nmax_fds = " << limits.descriptors << "\n[platform]\naddress = \"" << toString(store)
         << "\"\nttl_min_ms = 1000\n";
}

std::string smallConfig(std::uint64_t version, std::uint64_t routes)
{
    std::string text = R"({"version":"r)" + std::to_string(version) + R"(","resources":[
            {"type":"routes","metadata":{"name":"lookup"},"spec":{"host":"h.example","prefix":"/k/","kind":"safe",
             "timeout_ms":3000,"target_latency_ms":500,"priority":2,"service":"ledger","max_attempts":2}},
            {"type":"routes","metadata":{"name":"debit"},"spec":{"host":"h.example","prefix":"/p/","kind":"unsafe",
             "timeout_ms":3000,"target_latency_ms":500,"priority":1,"service":"debits","max_attempts":2}},)";
    for (std::uint64_t route = 1; route <= routes; ++route) {
        const std::string number = std::to_string(route);
        text += R"({"type":"routes","metadata":{"name":"later)" + number
            + R"("},"spec":{"host":"h.example","prefix":"/v)" + number
            + R"(/","kind":"safe","timeout_ms":3000,"target_latency_ms":500,"priority":2,"service":"debits",
                "max_attempts":2}},)";
    }
    return text + R"({"type":"services","metadata":{"name":"ledger"},"spec":{"health_path":"/health","sharded":true}},
            {"type":"services","metadata":{"name":"debits"},"spec":{"health_path":"/health"}},
            {"type":"limits","metadata":{},"spec":{}}]})";
}

} // namespace snipevalve::standins
