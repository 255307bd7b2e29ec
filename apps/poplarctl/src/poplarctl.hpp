#pragma once

#include <iosfwd> // istream, ostream

namespace poplarport::poplarctl
{

/// @brief Standard streams of the command.
struct streams
{
    std::istream& in;  ///< standard input
    std::ostream& out; ///< results
    std::ostream& err; ///< error messages
};

/// @brief Runs the command.
/// @return the exit code of the process
[[nodiscard]] int run(int argc, const char* const* argv, const streams& io);

} // namespace poplarport::poplarctl
