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

/// @brief Entry point of a program, with the options that all programs share.
///
/// These are --help, --version and, for programs with a settings hook, --settings and --check-settings.
class program
{
  public:
    class builder;

    /// @brief Parses the command line, reads the settings and runs the body.
    ///
    /// Exceptions do not leave this function. An invalid command line and std::invalid_argument return `usage`, invalid
    /// settings `bad_settings`, std::system_error (an address that cannot be listened on) `unavailable`, any other
    /// exception `internal`.
    /// @param[in]     argc number of arguments, including the name of the program
    /// @param[in]     argv arguments
    /// @param[in,out] out  stream for the help and version texts
    /// @param[in,out] err  stream for faults and error messages
    /// @return the exit code of the process
    [[nodiscard]] int run(int argc, const char* const* argv, std::ostream& out, std::ostream& err) const;

  private:
    [[nodiscard]] cxxopts::Options declare_options() const;
    [[nodiscard]] int run_parsed(const cxxopts::ParseResult& parsed, std::ostream& out, std::ostream& err) const;

    std::string name;
    std::string description;
    std::string positional_help;
    std::function<void(cxxopts::Options&)> add_options;
    std::function<void(document&)> read_settings;
    std::function<exit_status(const cxxopts::ParseResult&)> run_body;
};

class program::builder
{
  public:
    /// @param[in] name        name of the program
    /// @param[in] description description for --help, one sentence
    builder(std::string name, std::string description);

    /// @brief Adds program-specific options to the shared ones.
    builder& options(std::function<void(cxxopts::Options&)> hook);

    /// @brief Accepts positional arguments, which are parsed into the option `arguments` (a list of strings).
    /// @param[in] help text after the options in the usage line, for example "COMMAND [FILE]"
    builder& positional_arguments(std::string help);

    /// @brief Declares that the program has a settings file.
    /// @param[in] hook reads every key of the document; must not act on the values, which may be invalid
    builder& settings(std::function<void(document&)> hook);

    /// @brief Sets the body of the program, which runs if the command line and the settings are valid.
    builder& run(std::function<exit_status(const cxxopts::ParseResult&)> hook);

    [[nodiscard]] program build() const;

  private:
    program new_program;
};

} // namespace poplarport::settings
