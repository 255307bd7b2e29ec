#pragma once

#include <system_error> // error_code, is_error_code_enum
#include <type_traits>  // true_type

#include "poplarport/result/table_category.hpp"

namespace poplarport::manifest
{

/// @brief Faults of a manifest or a stored document, and refusals of a caller.
enum class errc
{
    duplicate_name = 200,      ///< two entries of a list have the same name
    unknown_service = 201,     ///< a named service is not in the manifest
    unknown_tenant = 202,      ///< a named tenant is not in the manifest
    contradiction = 203,       ///< two values contradict each other
    document_too_large = 204,  ///< the JSON form exceeds the size of a platform object
    malformed_document = 205,  ///< a stored document is not valid JSON or breaks a rule
    unsupported_format = 206,  ///< a stored document has another format number
    weak_secret = 207,         ///< a secret is too short
    random_unavailable = 208,  ///< the system gave no random bytes
    credential_missing = 220,  ///< the request carries no bearer credential
    credential_invalid = 221,  ///< the bearer credential is wrong
    tenant_not_admitted = 222, ///< the service does not admit the tenant
    service_not_found = 223    ///< no service has the requested name or host
};

/// @brief Returns the category of this library with its table of result codes.
[[nodiscard]] const result::table_category& category() noexcept;

/// @brief Makes the error code of a fault.
[[nodiscard]] std::error_code make_error_code(errc value) noexcept;

} // namespace poplarport::manifest

template <>
struct std::is_error_code_enum<poplarport::manifest::errc> : std::true_type
{
};
