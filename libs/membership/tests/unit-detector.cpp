#include "poplarport/membership/detector.hpp"

#include <CppUTest/TestHarness.h>

#include "group.hpp"

using namespace poplarport;
using namespace poplarport::membership;
using namespace std::chrono_literals;

TEST_GROUP(detector)
{
    std::mt19937_64 random{5};
    core::time_point now{1h};

    static member entry(const char* id, core::incarnation incarnation, const char* host)
    {
        member value;
        value.id = id;
        value.incarnation = incarnation;
        value.peer_address = {host, 7000};
        return value;
    }

    membership::detector build(const member& self)
    {
        return membership::detector::builder{}.service("orders").self(self).build(now, random);
    }

    detector_output receive(membership::detector & subject, const message& value)
    {
        return subject.receive({"10.0.0.2", 7000}, value, now, random);
    }
};

// Guards against a killed member that stays in the list, and against a slow spread of draining.
TEST(detector, a_killed_member_is_removed_and_draining_spreads)
{
    group subject{14, 1, {}};
    subject.run(10s);
    CHECK(subject.converged());
    subject.drain(3);
    subject.run(1500ms);
    CHECK(subject.converged());
    subject.kill(5);
    subject.run(20s);
    CHECK(subject.converged());
    LONGS_EQUAL(13, subject.removals);
    LONGS_EQUAL(0, subject.faults.size());
}

// Guards against probing that costs more than the 4 KB/s of control traffic that a node may cause.
TEST(detector, steady_traffic_stays_within_the_budget)
{
    constexpr std::size_t size = 14;
    group subject{size, 2, {}};
    subject.run(30s);
    const auto before = subject.bytes;
    subject.run(60s);
    CHECK((subject.bytes - before) / size / 60 < 1024);
}

// Guards against members that start at once and send their first messages at once.
TEST(detector, a_zone_that_starts_at_once_spreads_its_messages)
{
    constexpr std::size_t size = 14;
    group subject{size, 3, {}};
    std::size_t greatest = 0;
    for (int part = 0; part < 20; ++part)
    {
        const auto before = subject.messages;
        subject.run(100ms);
        greatest = std::max(greatest, subject.messages - before);
    }
    CHECK(greatest <= size * 6);
    subject.run(10s);
    CHECK(subject.converged());
}

// Guards against a frozen process that declares all others dead when it resumes.
TEST(detector, a_frozen_process_declares_nobody_dead)
{
    for (const auto time : {1500ms, 4000ms, 60000ms})
    {
        group subject{6, 4, {}};
        subject.run(10s);
        subject.freeze(2, time);
        subject.run(time);
        const auto before = subject.detector(2).counters().suspicions;
        const auto removals = subject.removals;
        subject.run(40s);
        CHECK(subject.converged());
        LONGS_EQUAL(before, subject.detector(2).counters().suspicions);
        LONGS_EQUAL(removals, subject.removals);
        CHECK(subject.detector(2).counters().freezes > 0);
    }
}

// Guards against one lost path that removes a member which others reach.
TEST(detector, indirect_probes_keep_a_member_whose_direct_path_is_lost)
{
    auto subject = build(entry("a", 1, "10.0.0.1"));
    const auto target = entry("b", 1, "10.0.0.2");
    const auto helper = entry("c", 1, "10.0.0.3");
    static_cast<void>(receive(subject, member_updates{{"orders", target}, false, {{helper, 0ms}}}));
    std::size_t indirect = 0;
    for (int step = 0; step < 200; ++step)
    {
        now = subject.next_wakeup();
        for (const outgoing& sent : subject.tick(now, random).messages)
        {
            const auto* direct = std::get_if<ping>(&sent.message);
            const auto* other = std::get_if<indirect_ping>(&sent.message);
            if (direct != nullptr && direct->target == "c")
            {
                static_cast<void>(receive(subject, ack{{"orders", helper}, direct->sequence, {}}));
            }
            if (other != nullptr)
            {
                ++indirect;
                static_cast<void>(receive(subject, ack{{"orders", helper}, other->sequence, {{target, 0ms}}}));
            }
        }
    }
    CHECK(indirect > 10);
    LONGS_EQUAL(0, subject.counters().suspicions);
    LONGS_EQUAL(3, subject.members().size());
}

// Guards against a relay that keeps the answer for itself.
TEST(detector, relays_a_probe_and_reports_its_answer)
{
    auto subject = build(entry("c", 1, "10.0.0.3"));
    const auto requester = entry("a", 1, "10.0.0.2");
    const auto target = entry("b", 1, "10.0.0.4");
    const auto asked = receive(subject, indirect_ping{{"orders", requester}, 77, "b", target.peer_address, {}});
    const auto& relayed = std::get<ping>(asked.messages.at(0).message);
    CHECK(asked.messages.at(0).to == target.peer_address);
    const auto answered = receive(subject, ack{{"orders", target}, relayed.sequence, {}});
    CHECK(answered.messages.at(0).to == requester.peer_address);
    LONGS_EQUAL(77, std::get<ack>(answered.messages.at(0).message).sequence);
}

// Guards against sides of a healed partition that have given each other up and do not find each other without seeds.
TEST(detector, sides_of_a_partition_find_each_other_without_seeds)
{
    group subject{6, 7, {}};
    subject.run(10s);
    subject.clear_seeds();
    subject.net.side = {0, 0, 0, 1, 1, 1};
    subject.run(60s);
    LONGS_EQUAL(18, subject.removals);
    subject.net.side.assign(6, 0);
    subject.run(120s);
    CHECK(subject.converged());
}

// Guards against a restart under the same id that is taken for the old process, also when the clock went back.
TEST(detector, a_restart_at_the_same_address_replaces_the_old_entry)
{
    auto subject = build(entry("a", 5, "10.0.0.1"));
    const auto peer = entry("b", 1, "10.0.0.2");
    auto before = entry("a", 9, "10.0.0.1");
    before.draining = true;
    static_cast<void>(receive(subject, member_updates{{"orders", peer}, false, {{before, 0ms}}}));
    CHECK(subject.self().incarnation > 9);
    CHECK_FALSE(subject.self().draining);
}

// Guards against an old process that competes with its replacement on another host.
TEST(detector, a_process_that_was_replaced_reports_it_and_falls_silent)
{
    auto subject = build(entry("a", 5, "10.0.0.1"));
    const auto replacement = entry("a", 9, "10.0.0.9");
    const auto output = receive(subject, member_updates{{"orders", replacement}, false, {}});
    CHECK(output.events.at(0).change == member_change::superseded);
    CHECK(subject.tick(now + 1h, random).messages.empty());
}

// Guards against members of another service, or another node, after an address was taken over.
TEST(detector, messages_for_another_service_or_node_are_ignored)
{
    auto subject = build(entry("a", 1, "10.0.0.1"));
    const auto peer = entry("b", 1, "10.0.0.2");
    CHECK(receive(subject, ping{{"stock", peer}, 1, "a", {}}).messages.empty());
    CHECK(receive(subject, ping{{"orders", peer}, 1, "x", {}}).messages.empty());
    LONGS_EQUAL(1, subject.counters().other_service);
    LONGS_EQUAL(1, subject.counters().other_target);
}

// Guards against draining that waits for the next probe.
TEST(detector, draining_is_announced_at_once)
{
    auto subject = build(entry("a", 1, "10.0.0.1"));
    static_cast<void>(receive(subject, member_updates{{"orders", entry("b", 1, "10.0.0.2")}, false, {}}));
    now = subject.next_wakeup();
    static_cast<void>(subject.tick(now, random));
    subject.drain(now);
    CHECK(subject.next_wakeup() <= now);
    const auto output = subject.tick(now, random);
    CHECK(std::get<member_updates>(output.messages.at(0).message).header.sender.draining);
    LONGS_EQUAL(1, subject.self().revision);
}

// Guards against an ended member that is remembered anew by each member that hears of it.
TEST(detector, the_age_of_an_end_travels_with_its_entry)
{
    auto subject = build(entry("a", 1, "10.0.0.1"));
    auto ended = entry("c", 1, "10.0.0.3");
    ended.state = member_state::dead;
    static_cast<void>(receive(subject, member_updates{{"orders", entry("b", 1, "10.0.0.2")}, false, {{ended, 29min}}}));
    LONGS_EQUAL(3, subject.list(0, now).entries.size());
    static_cast<void>(subject.tick(now + 61s, random));
    LONGS_EQUAL(2, subject.list(0, now + 61s).entries.size());
}

// Guards against members that remind each other of an ended member for ever.
TEST(detector, an_ended_member_is_forgotten_after_the_retention)
{
    detector_settings settings;
    settings.ended_retention = 60s;
    group subject{4, 6, settings};
    subject.run(10s);
    subject.leave(3);
    subject.run(30s);
    LONGS_EQUAL(4, subject.detector(0).list(0, core::time_point{1h}).entries.size());
    subject.run(40s);
    for (std::size_t index = 0; index < 3; ++index)
    {
        LONGS_EQUAL(3, subject.detector(index).list(0, core::time_point{1h}).entries.size());
    }
}

// Guards against versions that each member passes on for every other: with 60 members that is a message for each pair.
TEST(detector, a_configuration_version_is_told_by_its_holder_alone)
{
    auto subject = build(entry("a", 10, "10.0.0.1"));
    auto holder = entry("b", 20, "10.0.0.2");
    static_cast<void>(receive(subject, ping{{"orders", holder}, 1, "a", {}}));
    for (int part = 0; part < 100; ++part)
    {
        now += 100ms;
        for (const auto& each : subject.tick(now, random).messages)
        {
            if (const auto* probe = std::get_if<ping>(&each.message))
            {
                static_cast<void>(receive(subject, ack{{"orders", holder}, probe->sequence, {}}));
            }
        }
    }
    holder.configuration_version = 7;
    const auto output = receive(subject, ping{{"orders", holder}, 2, "a", {}});
    CHECK(output.events.at(0).change == member_change::configured);
    LONGS_EQUAL(7, subject.members().at(1).configuration_version);
    const auto third = entry("c", 30, "10.0.0.3");
    const auto answer = receive(subject, ping{{"orders", third}, 1, "a", {}});
    for (const auto& each : std::get<ack>(answer.messages.at(0).message).gossip)
    {
        CHECK(each.member.id != "b");
    }
}

// Guards against news that crosses between availability zones once for each member instead of a few times.
TEST(detector, news_leaves_a_zone_in_few_copies)
{
    constexpr std::size_t zone_size = 20;
    constexpr int rounds = 200;
    auto self = entry("a", 10, "10.0.0.1");
    self.availability_zone = "zone-a";
    auto subject = build(self);
    member_updates others{{"orders", entry("b-0", 20, "10.0.1.0")}, false, {}};
    others.header.sender.availability_zone = "zone-b";
    for (std::size_t index = 0; index < 3 * zone_size; ++index)
    {
        auto value = entry(("n-" + std::to_string(index)).c_str(), 20, "10.0.2.1");
        value.availability_zone = index < zone_size ? "zone-a" : "zone-b";
        value.peer_address.port = static_cast<std::uint16_t>(1000 + index);
        others.entries.push_back({value, {}});
    }
    static_cast<void>(receive(subject, others));
    std::size_t near = 0;
    std::size_t far = 0;
    for (int round = 0; round < rounds; ++round)
    {
        // Each change is news again, as from each member of the zone in turn.
        subject.set_accepting(round % 2 == 1, now);
        now += 200ms;
        for (const auto& each : subject.tick(now, random).messages)
        {
            if (std::holds_alternative<member_updates>(each.message))
            {
                const bool is_near = each.to.port >= 1000 && each.to.port < 1000 + zone_size;
                (is_near ? near : far) += 1;
            }
        }
    }
    const auto transmissions = 18.0;
    const auto copies_of_zone = static_cast<double>(far) / static_cast<double>(near + far) * transmissions * 21.0;
    CHECK(copies_of_zone > 4.0);
    CHECK(copies_of_zone < 16.0);
}
