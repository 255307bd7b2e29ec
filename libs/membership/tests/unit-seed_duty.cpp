#include "poplarport/membership/seed_duty.hpp"

#include <algorithm> // ranges::find
#include <chrono>    // hours, minutes, seconds

#include <CppUTest/TestHarness.h>

using namespace poplarport;
using namespace poplarport::membership;
using namespace std::chrono_literals;

TEST_GROUP(seed_duty)
{
    std::mt19937_64 random{5};
    core::time_point now{1h};
    wall_time wall_now{1000h};
    std::vector<member> members;

    void setup() override
    {
        for (int number = 1; number <= 8; ++number)
        {
            member candidate;
            candidate.id = "node-" + std::to_string(number);
            candidate.peer_address = {"10.0.0." + std::to_string(number), 7000};
            members.push_back(candidate);
        }
    }

    membership::seed_duty duty_of(const core::node_id& id)
    {
        return {"orders", id, {}, now, random};
    }

    core::node_id first_ranked()
    {
        for (const member& each : members)
        {
            if (duty_of(each.id).on_duty(members))
            {
                return each.id;
            }
        }
        return {};
    }
};

// If no member or several members were on duty, the seeds would become outdated or be written redundantly.
TEST(seed_duty, exactly_one_member_is_on_duty_and_a_draining_one_never)
{
    std::size_t on_duty = 0;
    for (const member& each : members)
    {
        on_duty += duty_of(each.id).on_duty(members) ? 1 : 0;
    }
    LONGS_EQUAL(1, on_duty);
    const auto first = first_ranked();
    for (member& each : members)
    {
        each.draining = each.id == first;
    }
    CHECK_FALSE(duty_of(first).on_duty(members));
    CHECK(first_ranked() != first);
}

// A write that is unnecessary, unconditional or made during the lease of another live member wastes platform calls or
// overwrites newer seeds.
TEST(seed_duty, writes_only_when_too_few_seeds_are_live)
{
    const auto id = first_ranked();
    auto duty = duty_of(id);
    const auto action = duty.on_read(std::nullopt, 0, members, wall_now);
    const auto& write = std::get<write_seeds>(*action);
    LONGS_EQUAL(0, write.expected_version);
    LONGS_EQUAL(4, write.document.seeds.size());
    CHECK_FALSE(duty.on_read(write.document, 7, members, wall_now).has_value());

    const auto holder = id == "node-1" ? "node-2" : "node-1";
    seeds_document stale{{{"gone-1", {"10.9.0.1", 1}}, {"gone-2", {"10.9.0.2", 1}}}, holder, wall_now + 1s};
    CHECK_FALSE(duty.on_read(stale, 7, members, wall_now).has_value());
    const auto later = duty.on_read(stale, 7, members, wall_now + 1s);
    LONGS_EQUAL(7, std::get<write_seeds>(*later).expected_version);
    LONGS_EQUAL(6, std::get<write_seeds>(*later).document.seeds.size());
}

// If the lease of a dead holder were respected, new nodes would find no member until it expires.
TEST(seed_duty, lease_of_a_dead_holder_is_ignored)
{
    auto duty = duty_of(first_ranked());
    const seeds_document stale{{{"gone-1", {"10.9.0.1", 1}}}, "gone-1", wall_now + 2min};
    CHECK(duty.on_read(stale, 7, members, wall_now).has_value());
}

// The first node of a service writes only itself as a seed. If the seeds stayed like that, its replacement would find
// no member.
TEST(seed_duty, members_that_join_bring_the_next_read_forward)
{
    const auto id = first_ranked();
    auto duty = duty_of(id);
    const auto position = std::ranges::find(members, id, &member::id);
    const std::vector<member> alone{*position};
    CHECK(duty.on_read(std::nullopt, 0, alone, wall_now).has_value());
    duty.on_members(alone, now, random);
    const auto regular = duty.next_wakeup();
    duty.on_members(members, now, random);
    CHECK(duty.next_wakeup() < regular);
    CHECK(duty.next_wakeup() <= now + 2s);
    CHECK(duty.tick(members, duty.next_wakeup(), random).has_value());
}

// The two sides of a partition could overwrite each other's seeds in turn.
TEST(seed_duty, sides_of_a_partition_accept_shared_seeds)
{
    const std::vector<member> all = members;
    members.assign(all.begin(), all.begin() + 4);
    auto one = duty_of(first_ranked());
    const auto first = std::get<write_seeds>(*one.on_read(std::nullopt, 0, members, wall_now)).document;
    const auto one_side = members;
    members.assign(all.begin() + 4, all.end());
    auto other = duty_of(first_ranked());
    const auto second = std::get<write_seeds>(*other.on_read(first, 1, members, wall_now + 1h)).document;
    CHECK_FALSE(one.on_read(second, 2, one_side, wall_now + 2h).has_value());
    CHECK_FALSE(other.on_read(second, 2, members, wall_now + 2h).has_value());
}
