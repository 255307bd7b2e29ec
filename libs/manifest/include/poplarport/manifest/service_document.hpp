#pragma once

#include <cstddef>      // size_t
#include <optional>     // optional
#include <string>       // string
#include <string_view>  // string_view
#include <system_error> // error_code
#include <vector>       // vector

#include <nlohmann/json_fwd.hpp>

#include "poplarport/core/ids.hpp"
#include "poplarport/manifest/model.hpp"

namespace poplarport::manifest
{

/// @brief Greatest size of a value in the platform's object API.
inline constexpr std::size_t greatest_document_bytes = 1U << 20U;

/// @brief One of the latest changes of a document.
struct recent_change
{
    std::string id;        ///< change id
    core::version base{0}; ///< version on which the change was based; zero if it created the object

    bool operator==(const recent_change&) const = default;
};

/// @brief The self-contained configuration of one service, as stored in the platform object `services/NAME`.
///
/// Its version is the platform's version of the object and is not part of the document.
struct service_document
{
    std::string change_id;                     ///< id of the change that wrote the document
    std::vector<recent_change> recent_changes; ///< latest changes, the oldest first; bounded by the writer
    service rules;                             ///< the service
    std::vector<tenant> tenants;               ///< all tenants of the operator, admitted or not
    std::vector<zone_cost> zone_costs;         ///< costs between availability zones

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
