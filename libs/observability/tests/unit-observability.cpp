#include <chrono> // milliseconds
#include <string> // string

#include "poplarport/observability/log_record.hpp"
#include "poplarport/observability/metrics.hpp"
#include "poplarport/observability/request_log_limit.hpp"

#include <CppUTest/TestHarness.h>

using namespace poplarport;
using namespace std::chrono_literals;

TEST_GROUP(observability){};

// A line break or an invalid byte in a value must not split a record: readers of the log expect one record per line.
TEST(observability, log_record_stays_on_one_line)
{
    observability::log_record record{"sample"};
    record.with("text", "line one\nline \"two\" \xff").with("number", 7);
    const auto text = record.text();
    CHECK(text.find('\n') == std::string::npos);
    CHECK(text.starts_with(R"({"event":"sample","text":"line one\nline \"two\")"));
    CHECK(text.find("\"number\":7") != std::string::npos);
}

// A rate limit alone would keep a few records of every request under load, and the complete records of none.
TEST(observability, sampled_requests_keep_all_records_under_load)
{
    constexpr int requests = 300;
    constexpr int records_each = 4;
    observability::request_log_limit limit;
    std::chrono::steady_clock::time_point now{1h};
    int sampled_lost = 0;
    int sampled = 0;
    int written = 0;
    for (int number = 0; number < requests; ++number)
    {
        const auto id = "request-" + std::to_string(number);
        const bool is_sampled = observability::request_log_limit::is_sampled(id);
        CHECK_EQUAL(is_sampled, observability::request_log_limit::is_sampled(id + ".call-7"));
        sampled += is_sampled ? 1 : 0;
        for (int record = 0; record < records_each; ++record)
        {
            const bool is_admitted = limit.admits(record % 2 == 0 ? id : id + ".call-7", now);
            sampled_lost += is_sampled && !is_admitted ? 1 : 0;
            written += is_admitted ? 1 : 0;
        }
    }
    CHECK(sampled > requests / 16 && sampled < requests / 4);
    LONGS_EQUAL(0, sampled_lost);
    CHECK(written <= 400);
    now += 1s;
    CHECK(limit.admits("any", now));
}

// Callers can send any number of tenant names; each one must not add metrics that take memory for good.
TEST(observability, the_number_of_labels_is_limited)
{
    observability::metrics metrics;
    for (int index = 0; index < 1000; ++index)
    {
        metrics.count_call("tenant-" + std::to_string(index), "class", core::outcome::answered, 1ms);
    }
    const auto text = metrics.text();
    CHECK(text.find("tenant-399") != std::string::npos);
    CHECK(text.find("tenant-400") == std::string::npos);
    CHECK(text.find(R"(poplarport_calls_total{class="other",outcome="answered",tenant="other"} 600)") !=
          std::string::npos);
}
