#pragma once

#include <cstddef>      // size_t
#include <optional>     // optional
#include <string>       // string
#include <string_view>  // string_view
#include <system_error> // error_code
#include <vector>       // vector

#include <nlohmann/json_fwd.hpp>

#include "poplarport/manifest/model.hpp"

namespace poplarport::manifest
{

/// @brief Greatest size of a value in the platform's object API.
inline constexpr std::size_t greatest_document_bytes = 1U << 20U;

/// @brief Greatest number of change ids that a document keeps.
///
/// A writer whose answer was lost finds its id here unless this many later changes were made before it read back.
inline constexpr std::size_t greatest_recent_change_ids = 16;

/// @brief The self-contained configuration of one service, as stored in the platform object `services/NAME`.
///
/// Its version is the platform's version of the object and is not part of the document.
struct service_document
{
    std::string change_id;                      ///< id of the change that wrote the document
    std::vector<std::string> recent_change_ids; ///< ids of the latest changes, the newest first
    service rules;                              ///< the service
    std::vector<tenant> tenants;                ///< all tenants of the operator, admitted or not
    std::vector<zone_cost> zone_costs;          ///< costs between availability zones

    bool operator==(const service_document&) const = default;
};

/// @brief Makes the document of one service, without change ids.
[[nodiscard]] service_document make_document(const model& content, const service& rules);

/// @brief Returns the JSON form; equal documents give equal text.
[[nodiscard]] nlohmann::json to_json(const service_document& document);

/// @brief Parses and checks the JSON form. Keys that are not known are ignored, so that older nodes read newer
/// documents.
/// @param[in]  text  JSON
/// @param[out] error `malformed_document` or `unsupported_format`, else cleared
/// @return the document, or nothing on error
[[nodiscard]] std::optional<service_document> parse_document(std::string_view text, std::error_code& error);

} // namespace poplarport::manifest
