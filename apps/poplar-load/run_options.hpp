#pragma once

#include <filesystem> // path
#include <stdexcept>  // runtime_error
#include <string>     // string

#include <cxxopts.hpp>

#include "poplarport/load/plan.hpp"

namespace poplarport::load
{

/// @brief Faults of a settings file, one per line.
class settings_fault : public std::runtime_error
{
  public:
    using std::runtime_error::runtime_error;
};

/// @brief Options of a run, merged with the settings file.
struct run_request
{
    plan run_plan{};
    std::filesystem::path ledger{};
    std::filesystem::path json_report{};
    std::filesystem::path svg_report{};
    bool check_settings{false};
};

/// @return the definitions of the options of a run
[[nodiscard]] cxxopts::Options make_run_options();

/// @brief Reads the options of a run; they override the settings file.
/// @throw std::invalid_argument with the fault of an option
/// @throw settings_fault with the faults of the settings file
[[nodiscard]] run_request read_run_request(const cxxopts::ParseResult& parsed);

} // namespace poplarport::load
