#include "poplarport/configuration/apply_operation.hpp"

#include <CppUTest/TestHarness.h>

using namespace poplarport;
using namespace poplarport::configuration;
using namespace std::chrono_literals;

TEST_GROUP(apply_operation)
{
    std::mt19937_64 random{1};
    const core::time_point now{1h};

    [[nodiscard]] apply_operation build(std::optional<core::version> base) const
    {
        apply_operation::builder builder;
        builder.change("mine").deadline(now + 1min);
        builder.edit([](const read_result&) { return std::variant<std::string, std::error_code>{"new"}; });
        return base ? builder.based_on(*base).build() : builder.build();
    }
};

// Guards against a change that is written over a version which the operator did not see.
TEST(apply_operation, a_change_on_an_old_version_is_a_conflict_and_not_written)
{
    auto subject = build(4);
    static_cast<void>(subject.start(now));
    const auto end = std::get<apply_finished>(subject.on_read({5, stored_document{"old", {{"theirs", 4}}}}));
    CHECK(end.code == error::conflict);
    LONGS_EQUAL(5, end.version);
    STRCMP_EQUAL("theirs", end.conflicting_change->id.c_str());
}

// Guards against writing a change again that an earlier run already made.
TEST(apply_operation, a_change_that_is_in_the_history_is_not_written_again)
{
    auto subject = build(std::nullopt);
    static_cast<void>(subject.start(now));
    const auto end = std::get<apply_finished>(subject.on_read({9, stored_document{"x", {{"mine", 4}, {"b", 5}}}}));
    CHECK(end.code == std::error_code{});
    LONGS_EQUAL(5, end.version);
}

// Guards against the version of a later change in the result of a change whose answer was lost.
TEST(apply_operation, a_change_that_is_read_back_has_its_own_version)
{
    auto subject = build(std::nullopt);
    static_cast<void>(subject.start(now));
    static_cast<void>(subject.on_read({4, stored_document{"x", {}}}));
    static_cast<void>(subject.on_write_lost(now, random));
    const auto end = std::get<apply_finished>(subject.on_read({9, stored_document{"y", {{"mine", 4}, {"theirs", 5}}}}));
    CHECK(end.code == std::error_code{});
    LONGS_EQUAL(5, end.version);
}

// Guards against a list of changes that grows without bound.
TEST(apply_operation, the_history_is_bounded)
{
    auto subject = build(std::nullopt);
    static_cast<void>(subject.start(now));
    stored_document document;
    for (core::version base = 0; base < 64; ++base)
    {
        document.recent_changes.push_back({"change-" + std::to_string(base), base});
    }
    const auto write = std::get<write_object>(subject.on_read({64, document}));
    LONGS_EQUAL(64, write.document.recent_changes.size());
    STRCMP_EQUAL("change-1", write.document.recent_changes.front().id.c_str());
    STRCMP_EQUAL("mine", write.document.recent_changes.back().id.c_str());
}

// Guards against a wrong claim about a change when the platform stays silent until the deadline.
TEST(apply_operation, silence_is_reported_by_what_was_sent)
{
    auto unsent = build(std::nullopt);
    static_cast<void>(unsent.start(now));
    CHECK(std::get<apply_finished>(unsent.on_read_failed(now + 1min, random)).code == error::platform_unavailable);
    auto sent = build(std::nullopt);
    static_cast<void>(sent.start(now));
    static_cast<void>(sent.on_read({0, std::nullopt}));
    const auto pause = std::get<wait_until>(sent.on_write_lost(now, random));
    CHECK(pause.time > now && pause.time <= now + 1min);
    CHECK(std::get<apply_finished>(sent.tick(now + 1min)).code == error::undetermined);
}
