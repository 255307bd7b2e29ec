#pragma once

#include <iosfwd> // istream, ostream

namespace poplarport::poplarctl
{

/// @brief The streams of the command.
struct streams
{
    std::istream& in;  ///< standard input
    std::ostream& out; ///< results
    std::ostream& err; ///< faults
};

/// @brief Runs the command.
/// @return the exit code of the process
[[nodiscard]] int run(int argc, const char* const* argv, const streams& io);

} // namespace poplarport::poplarctl
