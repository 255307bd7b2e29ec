#include <set>       // set
#include <stdexcept> // invalid_argument
#include <string>    // string
#include <vector>    // vector

#include "poplarport/standins/upstream/faults.hpp"
#include "poplarport/standins/upstream/response_body.hpp"
#include "poplarport/standins/upstream/service_times.hpp"

#include <CppUTest/TestHarness.h>

using namespace poplarport;

TEST_GROUP(upstream_values){};

// Guards against answers that two different requests share, which would hide a byte of another request's answer.
TEST(upstream_values, answers_differ_by_key_and_body_and_are_prefixes_of_longer_ones)
{
    const std::vector<std::pair<std::string, std::string>> requests{
        {"key-1", ""}, {"key-2", ""}, {"key-1", "a"}, {"key-1", "b"}, {"", ""}};
    std::set<std::string> answers;
    for (const auto& [key, body] : requests)
    {
        const auto answer = standins::response_body(key, standins::hash_of_body(body), 37);
        CHECK_EQUAL(37U, answer.size());
        CHECK(answer == standins::response_body(key, standins::hash_of_body(body), 64).substr(0, 37));
        CHECK(answers.insert(answer).second);
    }
    CHECK(standins::response_body("key", 0, 0).empty());
}

// Guards against a changed function: the load tool of another version must still recognise the answers.
TEST(upstream_values, answer_is_stable)
{
    const auto answer = standins::response_body("key", standins::hash_of_body("body"), 8);
    const std::string expected{"\xaa\x80\x85\x2c\x22\x76\x99\xf4", 8};
    CHECK(answer == expected);
}

// Guards against a hash that depends on how the body was split.
TEST(upstream_values, hash_does_not_depend_on_pieces)
{
    standins::body_hash hash;
    hash.append("to");
    hash.append("");
    hash.append("gether");
    CHECK(hash.value() == standins::hash_of_body("together"));
}

// Guards against a distribution whose mean is not the one asked for.
TEST(upstream_values, service_times_have_the_mean)
{
    for (const auto* name : {"constant", "exponential", "lognormal"})
    {
        const auto shape = standins::service_time_shape_from_string(name);
        CHECK(shape.has_value());
        standins::service_times times{{.shape = *shape, .mean = standins::fractional_milliseconds{5.0}, .sigma = 0.7}};
        constexpr int count = 20000;
        standins::fractional_milliseconds sum{0.0};
        for (int index = 0; index < count; ++index)
        {
            sum += times.next();
        }
        DOUBLES_EQUAL(5.0, sum.count() / count, 0.2);
    }
    CHECK(!standins::service_time_shape_from_string("normal").has_value());
}

// Guards against a fault that a misspelt key or value leaves silently unchanged.
TEST(upstream_values, faults_are_checked)
{
    const standins::faults before{.service_time_factor = 3.0};
    const auto after = standins::merge_faults(before, R"({"drain":"announce","report_lag_ms":250,"freeze":true})");
    CHECK(after.drain == standins::drain_mode::announce);
    CHECK(after.report_lag == std::chrono::milliseconds{250});
    CHECK(after.freeze);
    DOUBLES_EQUAL(3.0, after.service_time_factor, 0.0);
    CHECK(standins::merge_faults({}, standins::to_json(after)) == after);
    for (const auto* text : {"", "[]", R"({"frozen":true})", R"({"drain":"on"})", R"({"straggle":"10"})",
                             R"({"straggle":-1})", R"({"report_lag_ms":-1})", R"({"shed":1})"})
    {
        CHECK_THROWS(std::invalid_argument, (void)standins::merge_faults(before, text));
    }
}
