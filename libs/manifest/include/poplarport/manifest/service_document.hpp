#pragma once

#include <cstddef>      // size_t
#include <optional>     // optional
#include <string>       // string
#include <string_view>  // string_view
#include <system_error> // error_code
#include <vector>       // vector

#include <nlohmann/json_fwd.hpp>

#include "poplarport/core/ids.hpp"
#include "poplarport/manifest/manifest_content.hpp"

namespace poplarport::manifest
{

/// @brief Maximum size of a document: the maximum size of a value in the platform's object API.
inline constexpr std::size_t max_document_bytes = 1U << 20U;

/// @brief A recent change of a document.
struct recent_change
{
    std::string id;        ///< change id
    core::version base{0}; ///< version that the change is based on; zero if it created the object

    bool operator==(const recent_change&) const = default;
};

/// @brief The self-contained configuration of one service, stored in the platform object `services/NAME`.
///
/// Its version is the version of the platform object and is not part of the document.
struct service_document
{
    std::string change_id;                     ///< id of the change that produced this document
    std::vector<recent_change> recent_changes; ///< oldest first; the writer limits their number
    service rules;
    std::vector<tenant> tenants;       ///< all tenants of the operator, whether admitted or not
    std::vector<zone_cost> zone_costs; ///< costs between availability zones

    bool operator==(const service_document&) const = default;
};

/// @brief Creates the document of one service, without change ids.
[[nodiscard]] service_document make_document(const manifest_content& content, const service& rules);

/// @return the document as JSON; equal documents give equal text
[[nodiscard]] nlohmann::json to_json(const service_document& document);

/// @brief Parses and validates a document. Unknown keys are ignored, so that older nodes can read newer documents.
/// @param[in]  text  JSON
/// @param[out] error `malformed_document` or `unsupported_format`; cleared on success
/// @return the document, or nothing on error
[[nodiscard]] std::optional<service_document> parse_document(std::string_view text, std::error_code& error);

} // namespace poplarport::manifest
