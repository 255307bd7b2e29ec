#pragma once

#include <functional> // function
#include <iosfwd>     // ostream
#include <string>     // string
#include <vector>     // vector

#include <cxxopts.hpp>

#include "poplarport/settings/document.hpp"
#include "poplarport/settings/exit_status.hpp"

namespace poplarport::settings
{

/// @brief The options that all programs share: --help, --version and, with a settings hook, --settings and
/// --check-settings.
class program
{
  public:
    class builder;

    /// @brief Parses the command line, reads the settings and runs the body.
    ///
    /// A wrong command line and std::invalid_argument end with `usage`, faulty settings with `bad_settings`,
    /// std::system_error (an address that cannot be listened on) with `unavailable`, another exception with `internal`.
    /// @param[in]     argc number of arguments with the name of the program
    /// @param[in]     argv arguments
    /// @param[in,out] out  receives help and version
    /// @param[in,out] err  receives faults
    /// @return the exit code of the process
    [[nodiscard]] int run(int argc, const char* const* argv, std::ostream& out, std::ostream& err) const;

  private:
    [[nodiscard]] cxxopts::Options declare() const;
    [[nodiscard]] int run_parsed(const cxxopts::ParseResult& parsed, std::ostream& out, std::ostream& err) const;

    std::string name;
    std::string about;
    std::string positional;
    std::function<void(cxxopts::Options&)> add_options;
    std::function<void(document&)> read_settings;
    std::function<exit_status(const cxxopts::ParseResult&)> body;
};

/// @brief Builds a program.
class program::builder
{
  public:
    /// @param[in] name  name of the program
    /// @param[in] about one sentence for --help
    builder(std::string name, std::string about);

    /// @brief Adds options beside the shared ones.
    builder& options(std::function<void(cxxopts::Options&)> hook);

    /// @brief Accepts positional arguments; they are read as the option `arguments` (a list of texts).
    /// @param[in] help text after the options in the usage line, for example "COMMAND [FILE]"
    builder& positional_arguments(std::string help);

    /// @brief Declares that the program has settings.
    /// @param[in] hook reads every key of the document; it must not act on the values, which may be faulty
    builder& settings(std::function<void(document&)> hook);

    /// @brief Sets the body, which runs when the command line and the settings are valid.
    builder& run(std::function<exit_status(const cxxopts::ParseResult&)> hook);

    /// @return the program
    [[nodiscard]] program build() const;

  private:
    program built;
};

} // namespace poplarport::settings
