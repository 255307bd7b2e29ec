#include <sstream>   // istringstream, ostringstream
#include <stdexcept> // invalid_argument
#include <string>    // string
#include <vector>    // vector

#include "poplarport/load/join.hpp"

#include <CppUTest/TestHarness.h>

using namespace poplarport;

namespace
{

std::string sent(const std::string& key, bool repeatable)
{
    return R"({"event":"sent","key":")" + key + R"(","repeatable":)" + (repeatable ? "true" : "false") + "}\n";
}

std::string ended(const std::string& key, bool repeatable, const std::string& outcome,
                  const std::string& matched = "null")
{
    return R"({"event":"outcome","key":")" + key + R"(","repeatable":)" + (repeatable ? "true" : "false") +
           R"(,"outcome":")" + outcome + R"(","latency_us":1500,"body_matched":)" + matched + "}\n";
}

std::string start(const std::string& key, int run, const std::string& upstream = "u1")
{
    return R"({"event":"start","key":")" + key + R"(","upstream":")" + upstream + R"(","run":)" + std::to_string(run) +
           "}\n";
}

std::string end(const std::string& key, int run, bool completed, bool refused = false,
                const std::string& upstream = "u1")
{
    return R"({"event":"end","key":")" + key + R"(","upstream":")" + upstream + R"(","run":)" + std::to_string(run) +
           R"(,"completed":)" + (completed ? "true" : "false") + R"(,"refused":)" + (refused ? "true" : "false") +
           "}\n";
}

load::join_summary join(const std::string& load_lines, const std::string& upstream_lines)
{
    load::ledger_join joined;
    std::istringstream load_input{load_lines};
    std::istringstream upstream_input{upstream_lines};
    joined.add_load(load_input, "load");
    joined.add_upstream(upstream_input, "upstream");
    return joined.summary();
}

struct join_case
{
    const char* name;
    std::string load_lines;
    std::string upstream_lines;
    std::string expected; ///< the line of the summary up to the latencies
};

std::string line_of(const std::string& counts, const std::string& faults)
{
    return counts + " " + faults;
}

const std::string no_fault = "lost=0 doubled=0 crossed=0 false_not_run=0";
const std::string one_lost = "lost=1 doubled=0 crossed=0 false_not_run=0";
const std::string one_doubled = "lost=0 doubled=1 crossed=0 false_not_run=0";
const std::string one_crossed = "lost=0 doubled=0 crossed=1 false_not_run=0";
const std::string one_false_not_run = "lost=0 doubled=0 crossed=0 false_not_run=1";
const std::string one_answered = "sent=1 answered=1 not_run=0 unknown=0";
const std::string one_not_run = "sent=1 answered=0 not_run=1 unknown=0";
const std::string one_unknown = "sent=1 answered=0 not_run=0 unknown=1";
const std::string one_without = "sent=1 answered=0 not_run=0 unknown=0";

std::vector<join_case> cases()
{
    const auto once = start("k", 1) + end("k", 1, true);
    const auto answered = sent("k", false) + ended("k", false, "answered", "true");
    const auto not_run = sent("k", false) + ended("k", false, "not_run");
    const auto unknown = sent("k", false) + ended("k", false, "unknown");
    const auto other_upstream = start("k", 1, "u2") + end("k", 1, true, false, "u2");
    return {
        {"answered once", answered, once, line_of(one_answered, no_fault)},
        {"not run", not_run, "", line_of(one_not_run, no_fault)},
        {"unknown and not started", unknown, "", line_of(one_unknown, no_fault)},
        {"unknown and started", unknown, start("k", 1), line_of(one_unknown, no_fault)},
        {"refused over HTTP", sent("k", false) + ended("k", false, "refused"), "", line_of(one_without, no_fault)},
        {"sent without an outcome", sent("k", true), once, line_of(one_without, one_lost)},
        {"answered and never started", answered, "", line_of(one_answered, one_lost)},
        {"answered and never ended", answered, start("k", 1), line_of(one_answered, one_lost)},
        {"answered and cancelled", answered, start("k", 1) + end("k", 1, false), line_of(one_answered, one_lost)},
        {"two starts at one upstream", answered, once + start("k", 2), line_of(one_answered, one_doubled)},
        {"two starts at two upstreams", answered, once + other_upstream, line_of(one_answered, one_doubled)},
        {"two starts of an unknown call", unknown, once + other_upstream, line_of(one_unknown, one_doubled)},
        {"two starts, repeatable", sent("k", true) + ended("k", true, "answered", "true"), once + other_upstream,
         line_of(one_answered, no_fault)},
        {"a start refused before running", answered, start("k", 1, "u2") + end("k", 1, false, true, "u2") + once,
         line_of(one_answered, no_fault)},
        {"wrong bytes", sent("k", true) + ended("k", true, "answered", "false"), once,
         line_of(one_answered, one_crossed)},
        {"not run and started", not_run, start("k", 1), line_of(one_not_run, one_false_not_run)},
        {"not run and completed", not_run, once, line_of(one_not_run, one_false_not_run)},
        {"not run and refused before running", not_run, start("k", 1) + end("k", 1, false, true),
         line_of(one_not_run, no_fault)},
        {"another load tool's key", answered, once + start("foreign", 2) + start("foreign", 3),
         line_of(one_answered, no_fault)},
    };
}

} // namespace

TEST_GROUP(join){};

// A summary that counts nothing would always be clean. For each of the four faults there are ledgers that make its
// count, and only its count, non-zero.
TEST(join, each_fault_is_counted)
{
    for (const auto& tested : cases())
    {
        const auto result = join(tested.load_lines, tested.upstream_lines);
        const auto line = load::to_line(result);
        STRCMP_EQUAL_TEXT(tested.expected.c_str(), line.substr(0, line.find(" p50_ms")).c_str(), tested.name);
        const bool has_fault = tested.expected.find(no_fault) == std::string::npos;
        CHECK_EQUAL_TEXT(!has_fault, result.is_clean(), tested.name);
    }
}

// Latencies of calls without a response, such as timeouts, would distort the percentiles.
TEST(join, percentiles_are_of_answered_calls)
{
    std::string lines;
    for (int number = 1; number <= 100; ++number)
    {
        const auto key = "k" + std::to_string(number);
        lines += sent(key, true) + R"({"event":"outcome","key":")" + key +
                 R"(","repeatable":true,"outcome":"answered","body_matched":true,"latency_us":)" +
                 std::to_string(number * 1000) + "}\n";
    }
    lines += sent("slow", true) + ended("slow", true, "unknown");
    const auto line = load::to_line(join(lines, ""));
    CHECK(line.ends_with("p50_ms=50.000 p99_ms=99.000"));
}

// A reader that stops at a malformed line would accept the ledger as a shorter one.
TEST(join, malformed_lines_are_rejected_except_an_unfinished_last_line)
{
    const auto good = sent("k", true) + ended("k", true, "answered", "true");
    CHECK_EQUAL(1U, join(good + R"({"event":"sent","key":"k2)", "").sent);
    const auto truncated_start_line = std::string{R"({"event":"start","key":"k)"};
    CHECK_EQUAL(1U, join(good, truncated_start_line).answered);
    for (const auto& text : {std::string{"{\n"} + good, good + "7\n", good + "{}\n", good + sent("k", true),
                             sent("k", true) + ended("k", true, "maybe")})
    {
        CHECK_THROWS(std::invalid_argument, (void)join(text, ""));
    }
    CHECK_THROWS(std::invalid_argument, (void)join(good, R"({"event":"begin","key":"k","run":1,"upstream":"u"})"
                                                         "\n"));
}

// An explanation without the lines of the load tool or of the upstreams does not show why a key is reported.
TEST(join, explanation_has_the_lines_of_both_sides)
{
    load::ledger_join joined;
    std::istringstream load_input{sent("k", false) + sent("other", false)};
    std::istringstream upstream_input{start("k", 7)};
    joined.add_load(load_input, "load");
    joined.add_upstream(upstream_input, "upstream");
    std::ostringstream text;
    joined.explain("k", text);
    CHECK(text.str() == "  " + sent("k", false) + "  " + start("k", 7));
}
