#include "snipevalve/store/store_era.hpp"

#include <string>
#include <vector>

#include <catch2/catch.hpp>

namespace snipevalve {

TEST_CASE("an era is a whole number up to the limit")
{
    struct Case
    {
        std::string text;
        std::optional<std::uint64_t> era;
    };
    const std::vector<Case> cases = {
        {"0", 0},
        {"7", 7},
        {"9007199254740992", StoreEra::MaxEra},
        {"9007199254740993", std::nullopt},
        {"18446744073709551617", std::nullopt},
        {"", std::nullopt},
        {"-1", std::nullopt},
        {"+1", std::nullopt},
        {"1.5", std::nullopt},
        {"1e3", std::nullopt},
        {" 7", std::nullopt},
        {"4, 5", std::nullopt},
        {"five", std::nullopt},
    };
    for (const Case &each : cases) {
        INFO('"' << each.text << '"');
        CHECK(StoreEra::parse(each.text) == each.era);
    }
}

TEST_CASE("each rise after the first known era is a restore")
{
    struct Case
    {
        std::string name;
        std::vector<std::uint64_t> seen;
        std::vector<std::uint64_t> previous; ///< one per rise
        std::uint64_t known;
    };
    const std::vector<Case> cases = {
        {"none seen", {}, {}, 0},
        {"the first era", {4}, {}, 4},
        {"the same era again", {4, 4}, {}, 4},
        {"a rise", {4, 5}, {4}, 5},
        {"a rise that is seen twice", {4, 5, 5}, {4}, 5},
        {"a rise by more than one", {4, 7}, {4}, 7},
        {"two rises", {4, 5, 6}, {4, 5}, 6},
        {"a lower era after a rise", {4, 5, 4, 5}, {4}, 5},
        {"a store that counts from 0", {0, 1}, {0}, 1},
    };
    for (const Case &each : cases) {
        INFO(each.name);
        StoreEra era;
        std::vector<std::uint64_t> previous;
        for (const std::uint64_t seen : each.seen) {
            if (const auto before = era.observe(seen)) {
                previous.push_back(*before);
            }
        }
        CHECK(previous == each.previous);
        CHECK(era.known() == each.known);
    }
}

TEST_CASE("only an answer of the era in which its call began is used")
{
    struct Case
    {
        std::string name;
        std::vector<std::uint64_t> seenBefore;
        std::vector<std::uint64_t> seenDuring; ///< from other calls and hosts
        std::optional<std::uint64_t> named; ///< by the answer
        absl::StatusCode code;
    };
    const std::vector<Case> cases = {
        {"a store that names no era", {}, {}, std::nullopt, absl::StatusCode::kOk},
        {"the first era", {}, {}, 4, absl::StatusCode::kOk},
        {"the first era, which another call has seen first", {}, {4}, 4, absl::StatusCode::kOk},
        {"a restore during the very first call", {}, {4}, 5, absl::StatusCode::kAborted},
        {"the same era", {4}, {}, 4, absl::StatusCode::kOk},
        {"a higher era", {4}, {}, 5, absl::StatusCode::kAborted},
        {"a higher era, which another call has seen first", {4}, {5}, 5, absl::StatusCode::kAborted},
        {"a lower era", {5}, {}, 4, absl::StatusCode::kUnavailable},
        {"an answer from before the restore", {4}, {5}, 4, absl::StatusCode::kUnavailable},
        {"no era named", {4}, {}, std::nullopt, absl::StatusCode::kOk},
        {"no era named, restored during the call", {4}, {5}, std::nullopt, absl::StatusCode::kAborted},
        {"a store that counts from 0", {0}, {}, 1, absl::StatusCode::kAborted},
    };
    for (const Case &each : cases) {
        INFO(each.name);
        StoreEra era;
        for (const std::uint64_t seen : each.seenBefore) {
            era.observe(seen);
        }
        const std::uint64_t begun = era.known();
        for (const std::uint64_t seen : each.seenDuring) {
            era.observe(seen);
        }
        if (each.named) {
            era.observe(*each.named);
        }
        CHECK(era.check(begun, each.named.value_or(era.known())).code() == each.code);
    }
}

} // namespace snipevalve
