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
            member value;
            value.id = "node-" + std::to_string(number);
            value.peer_address = {"10.0.0." + std::to_string(number), 7000};
            members.push_back(value);
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

// Guards against no member, or several, that look after the seeds.
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

// Guards against rewriting without need, without a condition, or against a running lease.
TEST(seed_duty, writes_only_when_too_few_seeds_are_live)
{
    const auto id = first_ranked();
    auto subject = duty_of(id);
    const auto action = subject.on_read(std::nullopt, 0, members, wall_now);
    const auto& write = std::get<write_seeds>(*action);
    LONGS_EQUAL(0, write.expected_version);
    LONGS_EQUAL(4, write.document.seeds.size());
    CHECK_FALSE(subject.on_read(write.document, 7, members, wall_now).has_value());

    const auto holder = id == "node-1" ? "node-2" : "node-1";
    seeds_document stale{{{"gone-1", {"10.9.0.1", 1}}, {"gone-2", {"10.9.0.2", 1}}}, holder, wall_now + 1s};
    CHECK_FALSE(subject.on_read(stale, 7, members, wall_now).has_value());
    const auto later = subject.on_read(stale, 7, members, wall_now + 1s);
    LONGS_EQUAL(7, std::get<write_seeds>(*later).expected_version);
    LONGS_EQUAL(6, std::get<write_seeds>(*later).document.seeds.size());
}

// Guards against new nodes that find no other member until the lease of a dead holder has expired.
TEST(seed_duty, lease_of_a_dead_holder_blocks_nobody)
{
    auto subject = duty_of(first_ranked());
    const seeds_document stale{{{"gone-1", {"10.9.0.1", 1}}}, "gone-1", wall_now + 2min};
    CHECK(subject.on_read(stale, 7, members, wall_now).has_value());
}

// Guards against a service whose seeds stay its first node alone: its replacement would find no other member.
TEST(seed_duty, members_that_join_bring_the_next_read_forward)
{
    const auto id = first_ranked();
    auto subject = duty_of(id);
    const auto position = std::ranges::find(members, id, &member::id);
    const std::vector<member> alone{*position};
    CHECK(subject.on_read(std::nullopt, 0, alone, wall_now).has_value());
    subject.on_members(alone, now, random);
    const auto regular = subject.next_wakeup();
    subject.on_members(members, now, random);
    CHECK(subject.next_wakeup() < regular);
    CHECK(subject.next_wakeup() <= now + 2s);
    CHECK(subject.tick(members, subject.next_wakeup(), random).has_value());
}

// Guards against the two sides of a partition that rewrite each other's seeds in turn.
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
