#include "poplarport/configuration/follower.hpp"

#include <CppUTest/TestHarness.h>

using namespace poplarport;
using namespace poplarport::configuration;
using namespace std::chrono_literals;

TEST_GROUP(follower)
{
    std::mt19937_64 random{1};
    core::time_point now{1h};
    configuration::follower subject = configuration::follower::builder{}.self("self").check(check).build();

    static std::error_code check(const document& offered)
    {
        return offered.content == "faulty" ? make_error_code(error::check_failed) : std::error_code{};
    }

    void setup() override
    {
        subject.follow("orders", now, random);
    }
};

// Guards against a held document that is replaced by an older, a different or a faulty one.
TEST(follower, offers_are_accepted_by_version_and_check)
{
    struct sample
    {
        const char* name;
        document offered;
        std::error_code code;
        core::version held;
    };
    const std::vector<sample> samples{
        {"first", {"orders", 5, "five"}, {}, 5},
        {"older", {"orders", 4, "four"}, error::older_version, 5},
        {"same", {"orders", 5, "five"}, error::same_version, 5},
        {"same version, different content", {"orders", 5, "other"}, error::same_version_differs, 5},
        {"faulty", {"orders", 6, "faulty"}, error::check_failed, 5},
        {"not followed", {"stock", 9, "nine"}, error::not_followed, 5},
        {"newer", {"orders", 7, "seven"}, {}, 7},
    };
    for (const sample& each : samples)
    {
        CHECK_TEXT(subject.offer(each.offered, {"peer"}, now) == each.code, each.name);
        LONGS_EQUAL_TEXT(each.held, subject.version_of("orders"), each.name);
    }
    const auto& counts = subject.counters().at({"peer"});
    LONGS_EQUAL(2, counts.accepted);
    LONGS_EQUAL(1, counts.older);
    LONGS_EQUAL(1, counts.equal);
    LONGS_EQUAL(1, counts.conflicts);
    LONGS_EQUAL(1, counts.failed_checks);
}

// Guards against requests without pause to a platform that is down, and to a peer that serves refused documents.
TEST(follower, failures_are_backed_off)
{
    subject.on_members("orders", {{"self", 0}, {"peer", 9}}, now, random);
    std::size_t pulls = 0;
    std::size_t platform_requests = 0;
    for (const auto end = now + 5min; now < end; now = std::max(now + 1ms, *subject.next_wakeup()))
    {
        for (const follower_action& each : subject.tick(now, random))
        {
            const bool pull = std::holds_alternative<pull_peer>(each);
            ++(pull ? pulls : platform_requests);
            if (pull)
            {
                subject.offer({"orders", 9, "faulty"}, {"peer"}, now);
            }
            subject.on_response("orders", {pull ? "peer" : ""}, pull, now, random);
        }
    }
    CHECK(pulls >= 3 && pulls <= 10);
    CHECK(platform_requests >= 8 && platform_requests <= 40);
}

// Guards against a change that waits for all watchers to end a long back-off after an outage of the platform.
TEST(follower, only_the_first_watcher_retries_in_short_intervals)
{
    const std::vector<peer_version> members{{"self", 5}, {"a", 5}, {"b", 5}};
    std::size_t first_watchers = 0;
    for (const auto& member : members)
    {
        auto watcher = configuration::follower::builder{}.self(member.id).check(check).build();
        watcher.follow("orders", now, random);
        watcher.offer({"orders", 5, "five"}, {"peer"}, now);
        watcher.on_members("orders", members, now, random);
        core::duration longest{0};
        std::optional<core::time_point> last;
        auto time = now;
        for (const auto end = time + 10min; time < end; time = std::max(time + 1ms, *watcher.next_wakeup()))
        {
            for (const follower_action& each : watcher.tick(time, random))
            {
                const bool pull = std::holds_alternative<pull_peer>(each);
                longest = pull || !last ? longest : std::max(longest, time - *last);
                last = pull ? last : time;
                watcher.on_response("orders", {pull ? std::get<pull_peer>(each).peer : ""}, pull, time, random);
            }
        }
        const bool is_first = must_watch("orders", member.id, members, 1);
        first_watchers += is_first ? 1 : 0;
        CHECK_EQUAL(is_first, longest <= 3s);
        CHECK(longest <= 31s);
        CHECK(last.has_value());
    }
    LONGS_EQUAL(1, first_watchers);
}
