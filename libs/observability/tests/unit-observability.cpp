#include <chrono> // milliseconds
#include <string> // string

#include "poplarport/observability/log_record.hpp"
#include "poplarport/observability/metrics.hpp"

#include <CppUTest/TestHarness.h>

using namespace poplarport;
using namespace std::chrono_literals;

TEST_GROUP(observability){};

// Guards against a value that breaks the one-record-a-line form of the log.
TEST(observability, log_record_stays_on_one_line)
{
    observability::log_record record{"sample"};
    record.with("text", "line one\nline \"two\" \xff").with("number", 7);
    const auto text = record.text();
    CHECK(text.find('\n') == std::string::npos);
    CHECK(text.starts_with(R"({"event":"sample","text":"line one\nline \"two\")"));
    CHECK(text.find("\"number\":7") != std::string::npos);
}

// Guards against memory that grows with every name a caller makes up.
TEST(observability, labels_are_bounded)
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
