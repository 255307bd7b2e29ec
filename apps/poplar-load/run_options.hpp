#pragma once

#include <filesystem> // path
#include <string>     // string

#include <cxxopts.hpp>

#include "poplarport/load/plan.hpp"

namespace poplarport::load
{

/// @brief What the options of a run ask for.
struct run_request
{
    plan values{};
    std::filesystem::path ledger{};
    std::filesystem::path json_report{};
    std::filesystem::path svg_report{};
    bool check_settings{false};
};

/// @return the options of a run
[[nodiscard]] cxxopts::Options make_run_options();

/// @brief Reads the options of a run, over those of the settings file.
/// @throw std::invalid_argument with the faults of an option
[[nodiscard]] run_request read_run_request(const cxxopts::ParseResult& parsed);

} // namespace poplarport::load
