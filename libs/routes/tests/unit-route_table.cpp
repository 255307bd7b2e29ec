#include "poplarport/routes/route_table.hpp"
#include "poplarport/routes/weighted_round_robin.hpp"

#include <cmath>  // abs
#include <map>    // map
#include <string> // string
#include <vector> // vector

#include <CppUTest/TestHarness.h>

using namespace poplarport;

namespace
{

routes::route make_route(const std::string& name, const std::string& host, const std::string& prefix)
{
    routes::route result;
    result.name = name;
    result.host = host;
    result.path_prefix = prefix;
    result.destinations = {{"orders", 1}};
    return result;
}

routes::configuration make_configuration()
{
    routes::configuration result;
    result.version = 7;
    result.routes = {make_route("all", "a.example", "/"), make_route("quotes", "a.example", "/quotes/"),
                     make_route("deep", "a.example", "/quotes/deep/"), make_route("other", "b.example", "/quotes/")};
    result.services = {{"orders", "/health", 260}};
    return result;
}

} // namespace

TEST_GROUP(route_table){};

// A request must not reach the service of another host or of a shorter prefix.
TEST(route_table, longest_prefix_of_the_host_is_found)
{
    struct lookup_case
    {
        const char* host;
        const char* target;
        const char* route; ///< nullptr if none matches
    };
    const std::vector<lookup_case> cases{{"a.example", "/quotes/1", "quotes"},
                                         {"a.example", "/quotes/deep/1?x=/quotes/", "deep"},
                                         {"a.example", "/quotes/deep", "quotes"},
                                         {"a.example", "/quotes", "all"},
                                         {"a.example", "/", "all"},
                                         {"A.Example:8080", "/quotes/1", "quotes"},
                                         {"b.example", "/quotes/1", "other"},
                                         {"b.example", "/quotesx/1", nullptr},
                                         {"c.example", "/quotes/1", nullptr},
                                         {"", "/quotes/1", nullptr},
                                         {"a.example", "*", nullptr}};
    const routes::route_table table{make_configuration()};
    for (const auto& each : cases)
    {
        const auto* const found = table.find(each.host, each.target);
        CHECK_EQUAL_TEXT(each.route == nullptr, found == nullptr, each.target);
        if (found != nullptr)
        {
            STRCMP_EQUAL_TEXT(each.route, found->name.c_str(), each.target);
        }
    }
    CHECK(table.find_service("orders") != nullptr);
    POINTERS_EQUAL(nullptr, table.find_service("stock"));
}

TEST_GROUP(weighted_round_robin){};

// Guards against shares that deviate from the weights, over all requests or within a short sequence.
TEST(weighted_round_robin, every_sequence_of_requests_follows_the_weights)
{
    auto route = make_route("split", "a.example", "/");
    route.destinations = {{"orders", 90}, {"stock", 7}, {"desk", 3}};
    routes::weighted_round_robin round_robin;
    std::map<std::string, int> counts;
    for (int request = 1; request <= 1000; ++request)
    {
        ++counts[round_robin.next(route).service];
        for (const auto& each : route.destinations)
        {
            const double expected = request * each.weight / 100.0;
            CHECK_TEXT(std::abs(counts[each.service] - expected) <= 1.0, each.service.c_str());
        }
    }
}

// Guards against a new configuration version that resets the credits of unchanged routes, and against credits of
// earlier weights that are kept.
TEST(weighted_round_robin, credits_are_kept_until_the_weights_change)
{
    auto route = make_route("split", "a.example", "/");
    route.destinations = {{"orders", 3}, {"stock", 1}};
    routes::weighted_round_robin round_robin;
    std::map<std::string, int> counts;
    for (int request = 0; request < 40; ++request)
    {
        routes::configuration version;
        version.routes = {route};
        round_robin.retain(version);
        ++counts[round_robin.next(route).service];
    }
    LONGS_EQUAL(30, counts["orders"]);
    route.destinations = {{"orders", 0}, {"stock", 1}};
    for (int request = 0; request < 10; ++request)
    {
        STRCMP_EQUAL("stock", round_robin.next(route).service.c_str());
    }
}
