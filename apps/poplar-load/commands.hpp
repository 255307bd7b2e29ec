#pragma once

namespace poplarport::load
{

/// @brief Makes calls; the default command.
/// @return the exit code
int run_command(int argc, char** argv);

/// @brief Joins ledgers and prints the verdict.
/// @return 0 when no call was lost, doubled, crossed or falsely told "not run", 1 otherwise
int join_command(int argc, char** argv);

} // namespace poplarport::load
