#pragma once

namespace poplarport::load
{

/// @brief Generates load; the default command.
/// @return the exit code
int run_command(int argc, char** argv);

/// @brief Joins ledgers and prints the summary.
/// @return 0 if no call was lost, doubled, crossed or falsely reported as not run; 1 if there was such a call; an exit
/// code of sysexits.h for an invalid option or ledger
int join_command(int argc, char** argv);

} // namespace poplarport::load
