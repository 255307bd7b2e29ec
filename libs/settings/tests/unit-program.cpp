#include "poplarport/settings/program.hpp"

#include <cstdio>  // remove
#include <fstream> // ofstream
#include <sstream> // ostringstream
#include <string>  // string
#include <vector>  // vector

#include <CppUTest/TestHarness.h>

using poplarport::settings::document;
using poplarport::settings::exit_status;
using poplarport::settings::program;

namespace
{

constexpr const char* valid_file = "unit-program-valid.toml";
constexpr const char* faulty_file = "unit-program-faulty.toml";

struct command_case
{
    std::vector<const char*> arguments;
    int status;
    const char* in_output;
};

} // namespace

TEST_GROUP(settings_program){void setup() override{std::ofstream{valid_file} << "slots = 3\n";
std::ofstream{faulty_file} << "slots = 300\n";
}

void teardown() override
{
    std::remove(valid_file);
    std::remove(faulty_file);
}
}
;

// Guards against a program that runs with a wrong command line or faulty settings, or exits with the wrong code.
TEST(settings_program, exit_code_follows_command_line_and_settings)
{
    const command_case cases[] = {
        {{"--help"}, 0, "--check-settings"},
        {{"--version"}, 0, "sample 0."},
        {{}, 64, "--settings FILE is required"},
        {{"--no-such-option"}, 64, "--help"},
        {{"--settings", "absent.toml"}, 78, "settings 100"},
        {{"--settings", faulty_file}, 78, ":1: slots: found 300"},
        {{"--settings", valid_file, "--check-settings"}, 0, "valid"},
        {{"--settings", valid_file}, 75, ""},
    };
    for (const command_case& sample : cases)
    {
        std::int64_t slots = 0;
        const program subject = program::builder{"sample", "A sample."}
                                    .settings(
                                        [&slots](document& file) {
                                            slots = file.root().integer("slots", {1, 10});
                                        })
                                    .run([](const cxxopts::ParseResult&) { return exit_status::temporary_failure; })
                                    .build();
        std::vector<const char*> arguments{"sample"};
        arguments.insert(arguments.end(), sample.arguments.begin(), sample.arguments.end());
        std::ostringstream output;
        const int status = subject.run(static_cast<int>(arguments.size()), arguments.data(), output, output);
        LONGS_EQUAL_TEXT(sample.status, status, output.str().c_str());
        STRCMP_CONTAINS(sample.in_output, output.str().c_str());
    }
}
