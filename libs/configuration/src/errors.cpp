#include "poplarport/configuration/errors.hpp"

#include <array> // array

namespace poplarport::configuration
{

namespace
{

constexpr std::array<result::code_entry, 10> rows{{
    {700, "older_version", "A document with a lower version than the held one was offered.",
     "The source is outdated; the held document remains active."},
    {701, "same_version", "The document that is already held was offered again.", "Expected with several sources."},
    {702, "same_version_differs", "A document with the held version and different content was offered.",
     "A source is faulty or another system writes the objects; the held document remains active."},
    {703, "check_failed", "A document failed its check.",
     "It was written without `poplarctl apply` or by a later release; the held document remains active."},
    {704, "not_followed", "A document of a service that this node does not follow was offered.",
     "A response arrived after the service was dropped; it is ignored."},
    {705, "older_copy", "The platform offered a document of which a later change is held.",
     "The platform came back from an older copy; the held document remains active until the next change."},
    {710, "conflict", "Another change was made after the version on which this change is based.",
     "Nothing was changed; read the newest version, compare and apply again."},
    {711, "undetermined", "It could not be determined whether the change took effect.",
     "The platform did not respond in time after the write; apply again with the same change id."},
    {712, "platform_unavailable", "The platform did not respond before the change was written.",
     "Nothing was changed; apply again later."},
    {713, "restored", "The platform came back from an older copy than the version on which this change is based.",
     "This change, and those since the copy, are not stored; compare with the version in the copy and apply again."},
}};

} // namespace

const result::table_category& category() noexcept
{
    static const result::table_category instance{"configuration", rows};
    return instance;
}

std::error_code make_error_code(error code) noexcept
{
    return {static_cast<int>(code), category()};
}

} // namespace poplarport::configuration
