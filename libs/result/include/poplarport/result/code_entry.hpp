#pragma once

#include <string_view> // string_view

namespace poplarport::result
{

/// @brief One row of the table of result codes.
///
/// It provides the text of `std::error_code::message`, of `poplarctl explain` and of docs/result-codes.md.
struct code_entry
{
    int number;               ///< stable number; not reused for another meaning once released
    std::string_view name;    ///< name of the enumerator
    std::string_view meaning; ///< what happened, one sentence
    std::string_view cause;   ///< typical cause and remedy, one sentence
};

} // namespace poplarport::result
