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
constexpr const char* invalid_file = "unit-program-faulty.toml";

struct command_case
{
    std::vector<const char*> arguments;
    int status;
    const char* expected_output;
};

} // namespace

TEST_GROUP(settings_program){void setup() override{std::ofstream{valid_file} << "slots = 3\n";
std::ofstream{invalid_file} << "slots = 300\n";
}

void teardown() override
{
    std::remove(valid_file);
    std::remove(invalid_file);
}
}
;

// A program must not run with an invalid command line or invalid settings, and its exit code must tell them apart.
TEST(settings_program, exit_code_follows_command_line_and_settings)
{
    const command_case cases[] = {
        {{"--help"}, 0, "--check-settings"},
        {{"--version"}, 0, "sample 0."},
        {{}, 64, "--settings FILE is required"},
        {{"--no-such-option"}, 64, "--help"},
        {{"--settings", "absent.toml"}, 78, "settings 100"},
        {{"--settings", invalid_file}, 78, ":1: slots: found 300"},
        {{"--settings", valid_file, "--check-settings"}, 0, "valid"},
        {{"--settings", valid_file}, 75, ""},
    };
    for (const command_case& tested_case : cases)
    {
        std::int64_t slots = 0;
        const program sample_program =
            program::builder{"sample", "A sample."}
                .settings(
                    [&slots](document& file) {
                        slots = file.root().integer("slots", {1, 10});
                    })
                .run([](const cxxopts::ParseResult&) { return exit_status::temporary_failure; })
                .build();
        std::vector<const char*> arguments{"sample"};
        arguments.insert(arguments.end(), tested_case.arguments.begin(), tested_case.arguments.end());
        std::ostringstream output;
        const int status = sample_program.run(static_cast<int>(arguments.size()), arguments.data(), output, output);
        LONGS_EQUAL_TEXT(tested_case.status, status, output.str().c_str());
        STRCMP_CONTAINS(tested_case.expected_output, output.str().c_str());
    }
}
