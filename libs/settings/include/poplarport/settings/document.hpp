#pragma once

#include <memory>      // shared_ptr
#include <string>      // string
#include <string_view> // string_view
#include <vector>      // vector

#include "poplarport/settings/fault.hpp"
#include "poplarport/settings/table.hpp"

namespace poplarport::settings
{

/// @brief A TOML document that is read key by key and collects all of its faults.
///
/// Read every key through `root()`, then call `finish()`. The values are valid only if it returns no faults.
class document
{
  public:
    /// @brief Reads a file. An unreadable or malformed file is recorded as a fault, not thrown.
    /// @param[in] path path of the file, also its name in faults
    [[nodiscard]] static document from_file(const std::string& path);

    /// @brief Parses a TOML document. Malformed text is recorded as a fault, not thrown.
    /// @param[in] text TOML
    /// @param[in] name name of the document in faults
    [[nodiscard]] static document from_text(std::string_view text, const std::string& name);

    /// @return the root table; empty if the document could not be parsed
    [[nodiscard]] table root() const;

    /// @return whether the document was read and is valid TOML
    [[nodiscard]] bool is_parsed() const noexcept;

    /// @brief Records a fault for every key of the document that was not read.
    /// @return all faults, by line; for a document that cannot be parsed, only that fault
    [[nodiscard]] std::vector<fault> finish();

  private:
    explicit document(std::shared_ptr<detail::document_state> shared_state) noexcept;

    std::shared_ptr<detail::document_state> state;
};

} // namespace poplarport::settings
