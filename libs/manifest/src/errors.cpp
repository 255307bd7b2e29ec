#include "poplarport/manifest/errors.hpp"

#include <array> // array

namespace poplarport::manifest
{
namespace
{

constexpr std::array<result::code_entry, 13> rows{{
    {200, "duplicate_name", "Two entries of a list have the same name.",
     "Rename or remove the entry at the reported line."},
    {201, "unknown_service", "The named service is not in the manifest.",
     "The name is misspelt, or the service was removed while another service still calls it."},
    {202, "unknown_tenant", "The named tenant is not in the manifest.",
     "The name is misspelt, or the tenant was removed while a service still admits it."},
    {203, "contradiction", "Two values contradict each other.", "Change one of the two reported values."},
    {204, "document_too_large", "The document of a service exceeds the maximum size of a platform object.",
     "Split the tenants or services into several manifests."},
    {205, "malformed_document", "The stored document is not valid JSON or violates a rule of the manifest.",
     "A program other than poplarctl wrote the object; apply the manifest again."},
    {206, "unsupported_format", "This version does not support the format of the stored document.",
     "Update the program that reports this error."},
    {207, "weak_secret", "The secret is too short or contains a control character.",
     "Generate a random secret of 16 to 256 printable characters."},
    {208, "random_unavailable", "The system provided no random bytes for a salt.", "Run the command again."},
    {220, "credential_missing", "The request carries no bearer credential.",
     "The caller must send Authorization: Bearer TENANT.SECRET."},
    {221, "credential_invalid", "The bearer credential is not valid.",
     "The tenant is unknown or the secret is wrong or was replaced."},
    {222, "tenant_not_admitted", "The service does not admit the tenant.",
     "Add the tenant to the service's tenants in the manifest, if it should have access."},
    {223, "service_not_found", "No service has the requested name or host.",
     "The Host or Poplar-Service field is wrong or the service is not configured here."},
}};

} // namespace

const result::table_category& category() noexcept
{
    static const result::table_category instance{"manifest", rows};
    return instance;
}

std::error_code make_error_code(errc value) noexcept
{
    return {static_cast<int>(value), category()};
}

} // namespace poplarport::manifest
