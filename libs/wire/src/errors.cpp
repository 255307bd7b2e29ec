#include "poplarport/wire/errors.hpp"

#include <array> // array

namespace poplarport::wire
{

namespace
{

constexpr std::array<result::code_entry, 4> rows{{
    {800, "not_authentic", "The authentication tag of the message does not match the cluster secret.",
     "The sender has a different cluster secret, or is not a node of this cluster."},
    {801, "malformed", "The message is not CBOR of the expected structure.", "The message was corrupted in transit."},
    {802, "out_of_bounds", "A value in the message is outside its allowed range or length.",
     "The sender runs a different version, or the message is forged."},
    {803, "unknown_kind", "The kind of the message is unknown.", "The sender runs a newer version."},
}};

} // namespace

const result::table_category& category() noexcept
{
    static const result::table_category instance{"wire", rows};
    return instance;
}

std::error_code make_error_code(errc code) noexcept
{
    return {static_cast<int>(code), category()};
}

} // namespace poplarport::wire
