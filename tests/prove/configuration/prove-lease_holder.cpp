#include <chrono>   // milliseconds
#include <iostream> // cout
#include <string>   // string

#include "cluster_view.hpp"

#include <CppUTest/TestHarness.h>

using namespace poplarport;
using namespace std::chrono_literals;

namespace
{

nlohmann::json read_seeds(const test::prove_system& system)
{
    return test::get_json(system.platform_address(), "/v1/objects/seeds%2Forders");
}

} // namespace

TEST_GROUP(lease_holder)
{
    test::prove_system system;

    void start(const std::string& name)
    {
        test::prove_endpoint endpoint;
        endpoint.name = name;
        system.start_node(endpoint);
    }
};

// A member that is paused between reading and writing the seeds must not overwrite seeds that another member wrote in
// the meantime.
TEST(lease_holder, write_after_a_pause_is_refused_by_version)
{
    // The platform delays its response to the first read, so that the pause is certain to fall between read and write.
    test::start_platform_fault(system, {{"kind", "slow"}, {"delay_ms", 700}, {"count", 1}});
    start("n1");
    CHECK(test::wait_until([&] { return system.metric("n1", "poplarport_platform_calls").value_or(0) >= 1; }, 5s));
    system.node("n1").stop();
    test::pause(1s); // the response, that there are no seeds, waits in the socket of n1
    start("n2");
    CHECK(test::wait_until([&] { return read_seeds(system).contains("version"); }, 5s));
    const auto seeds = read_seeds(system);
    STRCMP_EQUAL("n2", seeds["value"]["lease_holder"].get<std::string>().c_str());
    CHECK_EQUAL(0, test::platform_counter(system, "conflicts"));
    system.node("n1").resume();
    CHECK(test::wait_until([&] { return test::platform_counter(system, "conflicts") == 1; }, 10s));
    CHECK(seeds["version"] == read_seeds(system)["version"]);
    CHECK(seeds["value"]["seeds"] == read_seeds(system)["value"]["seeds"]);
    // After the refused write n1 is a member like any other.
    CHECK(system.wait_ready({"n1", "n2"}, 2, 30s));
}
