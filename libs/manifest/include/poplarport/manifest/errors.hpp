#pragma once

#include <system_error> // error_code, is_error_code_enum
#include <type_traits>  // true_type

#include "poplarport/result/table_category.hpp"

namespace poplarport::manifest
{

/// @brief Result codes of faults in a manifest or stored document, and of refused requests.
enum class errc
{
    duplicate_name = 200,      ///< two entries of a list have the same name
    unknown_service = 201,     ///< the manifest does not contain a referenced service
    unknown_tenant = 202,      ///< the manifest does not contain a referenced tenant
    contradiction = 203,       ///< two values contradict each other
    document_too_large = 204,  ///< the JSON form exceeds the maximum size of a platform object
    malformed_document = 205,  ///< a stored document is not valid JSON or violates a rule
    unsupported_format = 206,  ///< a stored document has another format number
    weak_secret = 207,         ///< a secret is too short, too long or not printable
    random_unavailable = 208,  ///< the system provided no random bytes
    credential_missing = 220,  ///< the request carries no bearer credential
    credential_invalid = 221,  ///< the bearer credential is wrong
    tenant_not_admitted = 222, ///< the service does not admit the tenant
    service_not_found = 223    ///< no service has the requested name or host
};

/// @return the error category of this library
[[nodiscard]] const result::table_category& category() noexcept;

/// @return the error code of a result code
[[nodiscard]] std::error_code make_error_code(errc value) noexcept;

} // namespace poplarport::manifest

template <>
struct std::is_error_code_enum<poplarport::manifest::errc> : std::true_type
{
};
