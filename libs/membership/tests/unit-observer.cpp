#include "poplarport/membership/observer.hpp"

#include <CppUTest/TestHarness.h>

using namespace poplarport;
using namespace poplarport::membership;
using namespace std::chrono_literals;

TEST_GROUP(observer)
{
    std::mt19937_64 random{5};
    core::time_point now{1h};
    membership::observer tested_observer{"caller", {}, now, random};

    static core::socket_address address(int number)
    {
        return {"10.0.0." + std::to_string(number), 7000};
    }

    static member_entry entry(int number, member_state state)
    {
        member listed;
        listed.id = "node-" + std::to_string(number);
        listed.incarnation = 1;
        listed.peer_address = address(number);
        listed.state = state;
        return {listed, 0ms};
    }

    static list_response list(std::vector<member_state> states)
    {
        list_response response{1, false, {}};
        for (std::size_t index = 0; index < states.size(); ++index)
        {
            response.entries.push_back(entry(static_cast<int>(index) + 1, states[index]));
        }
        return response;
    }

    std::vector<list_pull> pulls_within(core::duration time)
    {
        std::vector<list_pull> all;
        for (const auto end = now + time; tested_observer.next_wakeup() <= end;)
        {
            now = std::max(now, tested_observer.next_wakeup());
            const auto pulls = tested_observer.tick(now, random);
            all.insert(all.end(), pulls.begin(), pulls.end());
        }
        return all;
    }
};

// A source that is cut off from a member reports it as dead although it is live; a member that left must not be kept.
TEST(observer, merges_lists_in_favour_of_live_members)
{
    using enum member_state;
    tested_observer.set_seeds({address(1), address(2)});
    LONGS_EQUAL(2, pulls_within(3s).size());
    LONGS_EQUAL(3, tested_observer.on_list(address(1), list({alive, alive, alive}), now, random).size());
    CHECK(tested_observer.on_list(address(2), list({alive, alive, dead}), now, random).empty());
    const auto after_leaving = tested_observer.on_list(address(2), list({alive, left, dead}), now, random);
    LONGS_EQUAL(1, after_leaving.size());
    STRCMP_EQUAL("node-2", after_leaving.at(0).member.id.c_str());
    const auto after_agreement = tested_observer.on_list(address(1), list({alive, alive, dead}), now, random);
    STRCMP_EQUAL("node-3", after_agreement.at(0).member.id.c_str());
    LONGS_EQUAL(1, tested_observer.members().size());
}

// Without the hash in the pull, an unchanged list would be transferred again each time.
TEST(observer, sends_the_hash_of_the_list_it_holds)
{
    tested_observer.set_seeds({address(1)});
    static_cast<void>(pulls_within(3s));
    auto response = list({member_state::alive});
    response.hash = 99;
    static_cast<void>(tested_observer.on_list(address(1), response, now, random));
    LONGS_EQUAL(99, pulls_within(4s).at(0).known_hash);
    CHECK(tested_observer.on_list(address(1), {99, true, {}}, now, random).empty());
    LONGS_EQUAL(1, tested_observer.members().size());
}

// An observer whose sources all fail could drop every member, or pull from the failed sources without backoff.
TEST(observer, replaces_failed_sources_and_keeps_the_last_list)
{
    using enum member_state;
    tested_observer.set_seeds({address(1)});
    static_cast<void>(pulls_within(3s));
    static_cast<void>(tested_observer.on_list(address(1), list({alive, alive, alive, alive, alive}), now, random));
    std::size_t pull_count = 0;
    for (int round = 0; round < 60; ++round)
    {
        for (const list_pull& each : pulls_within(1s))
        {
            ++pull_count;
            tested_observer.on_failed(each.from, now, random);
        }
    }
    LONGS_EQUAL(5, tested_observer.members().size());
    CHECK(pull_count < 60);
}
