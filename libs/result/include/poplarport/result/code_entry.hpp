#pragma once

#include <string_view> // string_view

namespace poplarport::result
{

/// @brief One row of the table of result codes.
///
/// The same row is the text of `std::error_code::message`, of `poplarctl explain` and of docs/result-codes.md.
struct code_entry
{
    int number;               ///< stable number; never used for another meaning once released
    std::string_view name;    ///< name of the enumerator
    std::string_view meaning; ///< what happened, one sentence
    std::string_view cause;   ///< typical cause and what to do, one sentence
};

} // namespace poplarport::result
