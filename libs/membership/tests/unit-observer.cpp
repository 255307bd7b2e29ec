#include "poplarport/membership/observer.hpp"

#include <CppUTest/TestHarness.h>

using namespace poplarport;
using namespace poplarport::membership;
using namespace std::chrono_literals;

TEST_GROUP(observer)
{
    std::mt19937_64 random{5};
    core::time_point now{1h};
    membership::observer subject{"caller", {}, now, random};

    static core::socket_address address(int number)
    {
        return {"10.0.0." + std::to_string(number), 7000};
    }

    static member_entry entry(int number, member_state state)
    {
        member value;
        value.id = "node-" + std::to_string(number);
        value.incarnation = 1;
        value.peer_address = address(number);
        value.state = state;
        return {value, 0ms};
    }

    static list_response list(std::vector<member_state> states)
    {
        list_response answer{1, false, {}};
        for (std::size_t place = 0; place < states.size(); ++place)
        {
            answer.entries.push_back(entry(static_cast<int>(place) + 1, states[place]));
        }
        return answer;
    }

    std::vector<list_pull> pulls_within(core::duration time)
    {
        std::vector<list_pull> all;
        for (const auto end = now + time; subject.next_wakeup() <= end;)
        {
            now = std::max(now, subject.next_wakeup());
            const auto pulls = subject.tick(now, random);
            all.insert(all.end(), pulls.begin(), pulls.end());
        }
        return all;
    }
};

// Guards against an observer that loses members which a cut-off source takes for dead, or keeps those that left.
TEST(observer, merges_lists_in_favour_of_live_members)
{
    using enum member_state;
    subject.set_seeds({address(1), address(2)});
    LONGS_EQUAL(2, pulls_within(3s).size());
    LONGS_EQUAL(3, subject.on_list(address(1), list({alive, alive, alive}), now, random).size());
    CHECK(subject.on_list(address(2), list({alive, alive, dead}), now, random).empty());
    const auto after_leaving = subject.on_list(address(2), list({alive, left, dead}), now, random);
    LONGS_EQUAL(1, after_leaving.size());
    STRCMP_EQUAL("node-2", after_leaving.at(0).member.id.c_str());
    const auto after_agreement = subject.on_list(address(1), list({alive, alive, dead}), now, random);
    STRCMP_EQUAL("node-3", after_agreement.at(0).member.id.c_str());
    LONGS_EQUAL(1, subject.members().size());
}

// Guards against an unchanged list that is transferred again.
TEST(observer, sends_the_hash_of_the_list_it_holds)
{
    subject.set_seeds({address(1)});
    static_cast<void>(pulls_within(3s));
    auto answer = list({member_state::alive});
    answer.hash = 99;
    static_cast<void>(subject.on_list(address(1), answer, now, random));
    LONGS_EQUAL(99, pulls_within(4s).at(0).known_hash);
    CHECK(subject.on_list(address(1), {99, true, {}}, now, random).empty());
    LONGS_EQUAL(1, subject.members().size());
}

// Guards against an observer that forgets all members when its sources fail, or that asks a failed one for ever.
TEST(observer, replaces_failed_sources_and_keeps_the_last_list)
{
    using enum member_state;
    subject.set_seeds({address(1)});
    static_cast<void>(pulls_within(3s));
    static_cast<void>(subject.on_list(address(1), list({alive, alive, alive, alive, alive}), now, random));
    std::size_t asked = 0;
    for (int round = 0; round < 60; ++round)
    {
        for (const list_pull& each : pulls_within(1s))
        {
            ++asked;
            subject.on_failed(each.from, now, random);
        }
    }
    LONGS_EQUAL(5, subject.members().size());
    CHECK(asked < 60);
}
