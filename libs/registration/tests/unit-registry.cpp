#include "poplarport/registration/registry.hpp"

#include <functional> // function
#include <string>     // string
#include <vector>     // vector

#include <CppUTest/TestHarness.h>

using namespace poplarport;
using namespace std::chrono_literals;
using registration::errc;
using registration::upstream_state;

namespace
{

const core::time_point start = core::time_point{} + 1h;

registration::upstream_heartbeat make_heartbeat(const std::string& id, std::uint64_t born, std::uint64_t sequence,
                                                bool draining = false)
{
    return {{id, born}, "orders", "10.0.0.1:80", 9, draining, sequence, 0ms};
}

registration::registry make_registry()
{
    return {"orders", "10.0.0.1:80"};
}

} // namespace

TEST_GROUP(registry){};

// Guards against entries of others, damaged entries and late words that change what is known of the local upstream.
TEST(registry, rejects_what_is_not_the_upstreams_newest_word)
{
    struct rejected
    {
        const char* name;
        std::function<void(registration::upstream_heartbeat&)> damage;
        std::error_code error;
    };
    const std::vector<rejected> cases{
        {"no id", [](auto& value) { value.start.id.clear(); }, errc::malformed},
        {"no slots", [](auto& value) { value.slots = 0; }, errc::malformed},
        {"other service", [](auto& value) { value.service = "stock"; }, errc::other_service},
        {"other address", [](auto& value) { value.address = "10.0.0.2:80"; }, errc::other_address},
        {"same sequence", [](auto& value) { value.sequence = 4; }, errc::outdated},
        {"earlier sequence", [](auto& value) { value.sequence = 3; }, errc::outdated},
        {"earlier start of the id", [](auto& value) { value.start.started_at_ms = 99; }, errc::outdated}};
    for (const auto& each : cases)
    {
        auto registry = make_registry();
        CHECK_FALSE(registry.announce(make_heartbeat("i-1", 100, 4), start));
        auto value = make_heartbeat("i-1", 100, 5);
        each.damage(value);
        CHECK_TEXT(registry.announce(value, start) == each.error, each.name);
        CHECK_TEXT(registry.current().state == upstream_state::ready, each.name);
        LONGS_EQUAL_TEXT(4, registry.current().sequence, each.name);
    }
}

// Guards against work that reaches an upstream after it has said that it leaves (seen as a late request 2.3 s after
// a departure without a time of birth).
TEST(registry, a_departure_holds_for_the_start)
{
    auto registry = make_registry();
    CHECK_FALSE(registry.announce(make_heartbeat("i-1", 100, 1), start));
    CHECK_FALSE(registry.announce(make_heartbeat("i-1", 100, 2, true), start));
    CHECK(registry.current().state == upstream_state::draining);
    STRCMP_EQUAL("i-1@100", registry.deregistered_instance().c_str());
    CHECK_FALSE(registry.announce(make_heartbeat("i-1", 100, 3), start));
    CHECK(registry.current().state == upstream_state::draining);
    CHECK_FALSE(registry.leave({"i-1", 0}, start));
    CHECK(registry.current().state == upstream_state::left);
    CHECK_FALSE(registry.announce(make_heartbeat("i-1", 100, 4), start));
    CHECK(registry.current().state == upstream_state::left);
    CHECK(registry.leave({"i-2", 100}, start) == errc::outdated);
}

// Guards against a delayed word of an earlier start that replaces the start that took its place.
TEST(registry, a_new_start_replaces_the_former_for_good)
{
    auto registry = make_registry();
    CHECK_FALSE(registry.announce(make_heartbeat("i-1", 100, 8, true), start));
    CHECK_FALSE(registry.announce(make_heartbeat("i-2", 90, 1), start));
    CHECK(registry.current().state == upstream_state::ready);
    CHECK(registry.announce(make_heartbeat("i-1", 100, 9), start) == errc::outdated);
    STRCMP_EQUAL("i-2", registry.current().start.id.c_str());
    // The same id after a restart begins its count again.
    CHECK_FALSE(registry.announce(make_heartbeat("i-2", 200, 1), start));
    CHECK(registry.announce(make_heartbeat("i-2", 90, 7), start) == errc::outdated);
}

// Guards against a restarted node that sends work to an upstream whose departure its former process acknowledged.
TEST(registry, a_departure_before_a_restart_of_the_node_holds)
{
    auto registry = make_registry();
    registry.record_deregistration("i-1@100");
    CHECK_FALSE(registry.adopt("i-1", 9, start));
    CHECK(registry.current().state == upstream_state::unknown);
    CHECK_FALSE(registry.announce(make_heartbeat("i-1", 100, 12), start));
    CHECK(registry.current().state == upstream_state::draining);
    auto late = make_registry();
    CHECK(late.adopt("i-1", 9, start));
    late.record_deregistration("i-1@100");
    CHECK(late.current().state == upstream_state::draining);
}

// Guards against a status check that brings back what has announced itself, or invents an upstream without a name.
TEST(registry, a_status_check_stands_in_for_the_first_announcement_only)
{
    auto registry = make_registry();
    CHECK_FALSE(registry.adopt("", 9, start));
    CHECK(registry.adopt("i-1", 9, start));
    CHECK(registry.current().state == upstream_state::ready);
    CHECK_FALSE(registry.announce(make_heartbeat("i-1", 100, 30), start));
    LONGS_EQUAL(100, registry.current().start.started_at_ms);
    CHECK_FALSE(registry.leave({"i-1", 100}, start));
    CHECK_FALSE(registry.adopt("i-1", 9, start));
}

// Guards against a word that was delayed by a partition and comes after a new start at the address: it would take the
// place of the new start, whose own words would then count as outdated for good.
TEST(registry, a_delayed_word_of_an_earlier_start_does_not_replace_a_live_one)
{
    auto registry = make_registry();
    CHECK_FALSE(registry.announce(make_heartbeat("i-2", 200, 1), start));
    CHECK(registry.announce(make_heartbeat("i-1", 100, 9), start + 3s) == errc::outdated);
    CHECK(registry.current().start.id == "i-2");
    CHECK_FALSE(registry.announce(make_heartbeat("i-2", 200, 2), start + 4s));
    // A start whose clock was set back is taken once the former one is silent.
    CHECK(registry.announce(make_heartbeat("i-3", 150, 1), start + 5s) == errc::outdated);
    CHECK_FALSE(registry.announce(make_heartbeat("i-3", 150, 4), start + 10s));
    CHECK(registry.current().start.id == "i-3");
}
