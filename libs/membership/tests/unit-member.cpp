#include "poplarport/membership/member.hpp"

#include <CppUTest/TestHarness.h>

using namespace poplarport::membership;

namespace
{

struct sample
{
    const char* name;
    member known;
    member news;
    bool changed;
    member_state state;
    bool draining;
};

member entry(std::uint64_t incarnation, std::uint32_t revision, member_state state, bool draining)
{
    member value;
    value.id = "a";
    value.incarnation = incarnation;
    value.revision = revision;
    value.state = state;
    value.draining = draining;
    return value;
}

} // namespace

TEST_GROUP(member){};

// Guards against stale entries that revive a dead member or undo its draining.
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
        member known = each.known;
        CHECK_EQUAL_TEXT(each.changed, merge(known, each.news), each.name);
        CHECK_TEXT(known.state == each.state, each.name);
        CHECK_EQUAL_TEXT(each.draining, known.draining, each.name);
    }
}

// Guards against lists that are exchanged although they are equal.
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

// Guards against a restarted node that learns from nobody which upstream has left before its restart.
TEST(member, a_departure_outlives_the_nodes_restart)
{
    member known = entry(1, 4, member_state::alive, false);
    known.deregistered_instance = "i-1@100";
    CHECK(merge(known, entry(2, 0, member_state::alive, false)));
    LONGS_EQUAL(2, known.incarnation);
    STRCMP_EQUAL("i-1@100", known.deregistered_instance.c_str());
    member later = entry(2, 1, member_state::alive, false);
    later.deregistered_instance = "i-2@200";
    CHECK(merge(known, later));
    STRCMP_EQUAL("i-2@200", known.deregistered_instance.c_str());
}

// Guards against an upstream that is back and gets no work, or one that has gone and still gets some.
TEST(member, accepting_follows_the_revision)
{
    member known = entry(1, 0, member_state::alive, false);
    member news = entry(1, 1, member_state::alive, false);
    news.accepting = false;
    CHECK(merge(known, news));
    CHECK_FALSE(known.accepting);
    CHECK_FALSE(merge(known, entry(1, 0, member_state::alive, false)));
    CHECK_FALSE(known.accepting);
    CHECK(merge(known, entry(1, 2, member_state::alive, false)));
    CHECK(known.accepting);
}
