#include "poplarport/membership/member.hpp"

#include <CppUTest/TestHarness.h>

using namespace poplarport::membership;

namespace
{

struct sample
{
    const char* name;
    member current;
    member update;
    bool changed;
    member_state state;
    bool draining;
};

member entry(std::uint64_t incarnation, std::uint32_t revision, member_state state, bool draining)
{
    member result;
    result.id = "a";
    result.incarnation = incarnation;
    result.revision = revision;
    result.state = state;
    result.draining = draining;
    return result;
}

} // namespace

TEST_GROUP(member){};

// Stale entries that arrive late could revive a dead member or reset its draining.
TEST(member, merge_follows_the_order_of_entries)
{
    using enum member_state;
    const sample samples[] = {
        {"stale alive", entry(1, 0, dead, false), entry(1, 0, alive, false), false, dead, false},
        {"refutation", entry(1, 0, dead, false), entry(1, 1, alive, false), true, alive, false},
        {"earlier incarnation", entry(2, 0, alive, false), entry(1, 9, dead, true), false, alive, false},
        {"later incarnation", entry(1, 9, left, true), entry(2, 0, alive, false), true, alive, false},
        {"suspicion", entry(1, 0, alive, false), entry(1, 0, suspect, false), true, suspect, false},
        {"draining in an older entry", entry(1, 2, alive, false), entry(1, 1, alive, true), true, alive, true},
        {"draining stays", entry(1, 1, alive, true), entry(1, 2, alive, false), true, alive, true},
    };
    for (const sample& each : samples)
    {
        member current = each.current;
        CHECK_EQUAL_TEXT(each.changed, merge(current, each.update), each.name);
        CHECK_TEXT(current.state == each.state, each.name);
        CHECK_EQUAL_TEXT(each.draining, current.draining, each.name);
    }
}

// If the hash depended on the order or on dead members, equal lists would be exchanged again and again.
TEST(member, hash_ignores_order_and_ended_members)
{
    member first = entry(1, 0, member_state::alive, false);
    member second = first;
    second.id = "b";
    member ended = first;
    ended.id = "c";
    ended.state = member_state::dead;
    CHECK(list_hash({first, second}) == list_hash({second, ended, first}));
    second.draining = true;
    CHECK(list_hash({first, second}) != list_hash({first}));
}

// A restarted node could use an upstream instance that deregistered before the restart, if peers dropped that fact
// when they received the new incarnation.
TEST(member, a_deregistration_survives_a_restart_of_the_node)
{
    member current = entry(1, 4, member_state::alive, false);
    current.deregistered_instance = "i-1@100";
    CHECK(merge(current, entry(2, 0, member_state::alive, false)));
    LONGS_EQUAL(2, current.incarnation);
    STRCMP_EQUAL("i-1@100", current.deregistered_instance.c_str());
    member later = entry(2, 1, member_state::alive, false);
    later.deregistered_instance = "i-2@200";
    CHECK(merge(current, later));
    STRCMP_EQUAL("i-2@200", current.deregistered_instance.c_str());
}

// An entry with an older revision could hide that an upstream accepts work again, or that it no longer does.
TEST(member, accepting_follows_the_revision)
{
    member current = entry(1, 0, member_state::alive, false);
    member update = entry(1, 1, member_state::alive, false);
    update.accepting = false;
    CHECK(merge(current, update));
    CHECK_FALSE(current.accepting);
    CHECK_FALSE(merge(current, entry(1, 0, member_state::alive, false)));
    CHECK_FALSE(current.accepting);
    CHECK(merge(current, entry(1, 2, member_state::alive, false)));
    CHECK(current.accepting);
}
