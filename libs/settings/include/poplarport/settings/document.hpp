#pragma once

#include <memory>      // shared_ptr
#include <string>      // string
#include <string_view> // string_view
#include <vector>      // vector

#include "poplarport/settings/fault.hpp"
#include "poplarport/settings/table.hpp"

namespace poplarport::settings
{

/// @brief A TOML file that is read key by key and collects all of its faults.
///
/// Read every key through `root()`, then call `finish()`; the values are valid only when it returns no fault.
class document
{
  public:
    /// @brief Reads a file; an unreadable or malformed file is a fault of the document.
    /// @param[in] path path of the file
    [[nodiscard]] static document from_file(const std::string& path);

    /// @brief Parses text.
    /// @param[in] text TOML
    /// @param[in] name name of the text in faults
    [[nodiscard]] static document from_text(std::string_view text, const std::string& name);

    /// @return the root table; it is empty when the file could not be parsed
    [[nodiscard]] table root() const;

    /// @return whether the file was read and is valid TOML
    [[nodiscard]] bool is_parsed() const noexcept;

    /// @brief Reports every key that no read asked for as a fault.
    /// @return all faults in the order of their lines; of a file that cannot be parsed, only that fault
    [[nodiscard]] std::vector<fault> finish();

  private:
    explicit document(std::shared_ptr<detail::document_state> parsed) noexcept;

    std::shared_ptr<detail::document_state> state;
};

} // namespace poplarport::settings
