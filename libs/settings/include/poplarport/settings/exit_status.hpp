#pragma once

namespace poplarport::settings
{

/// @brief Exit codes of the programs, numbered as in sysexits.h.
enum class exit_status
{
    ok = 0,
    usage = 64,             ///< invalid command line
    bad_data = 65,          ///< invalid input file
    unavailable = 69,       ///< a required service or address is not available
    internal = 70,          ///< internal error of the program
    temporary_failure = 75, ///< a later attempt may succeed
    bad_settings = 78       ///< invalid settings file
};

} // namespace poplarport::settings
