#include <map>    // map
#include <string> // string, to_string

#include <CppUTest/TestHarness.h>

#include "poplarport/membership/detail/gossip_queue.hpp"

using namespace poplarport;
using membership::detail::gossip_queue;

TEST_GROUP(gossip_queue){};

// Pattern: all members of a large group change at once. A message takes a few updates; each of them must be sent once
// before one is sent twice, and none may be lost or sent more often than its limit.
TEST(gossip_queue, many_updates_take_turns)
{
    constexpr std::size_t members = 1000;
    constexpr std::size_t message_size = 8;
    constexpr std::size_t limit = 3;
    gossip_queue queue;
    for (std::size_t index = 0; index < members; ++index)
    {
        queue.add("m" + std::to_string(index));
    }
    std::map<std::string, std::size_t> sent;
    for (std::size_t message = 0; message < members * limit / message_size; ++message)
    {
        const auto ids = queue.least_transmitted(message_size);
        LONGS_EQUAL(message_size, ids.size());
        for (const auto& id : ids)
        {
            CHECK(++sent[id] <= message * message_size / members + 1);
            queue.on_sent(id, limit);
        }
    }
    LONGS_EQUAL(members, sent.size());
    CHECK(queue.empty());
    CHECK(queue.least_transmitted(message_size).empty());
}

// A new change of a member must be sent before the older updates of others, and a removed member no more.
TEST(gossip_queue, a_new_change_comes_first)
{
    gossip_queue queue;
    queue.add("a");
    queue.add("b");
    queue.on_sent("a", 5);
    queue.on_sent("b", 5);
    queue.add("b");
    STRCMP_EQUAL("b", queue.least_transmitted(1).front().c_str());
    queue.remove("b");
    LONGS_EQUAL(1, queue.least_transmitted(5).size());
    STRCMP_EQUAL("a", queue.least_transmitted(5).front().c_str());
}
