#pragma once

namespace poplarport::settings
{

/// @brief Exit codes of the programs; the numbers are those of sysexits.h.
enum class exit_status
{
    ok = 0,
    usage = 64,             ///< wrong command line
    bad_data = 65,          ///< faulty input file
    unavailable = 69,       ///< a needed service cannot be reached
    internal = 70,          ///< fault of the program
    temporary_failure = 75, ///< a later attempt may succeed
    bad_settings = 78       ///< faulty settings file
};

} // namespace poplarport::settings
