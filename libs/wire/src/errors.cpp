#include "poplarport/wire/errors.hpp"

#include <array> // array

namespace poplarport::wire
{

namespace
{

constexpr std::array<result::code_entry, 4> rows{{
    {800, "not_authentic", "The message does not carry the checksum of the cluster's secret.",
     "The sender has another cluster secret, or is no node of this cluster."},
    {801, "malformed", "The message is not CBOR of the expected form.", "The message was damaged on its way."},
    {802, "out_of_bounds", "A value of the message is longer or greater than allowed.",
     "The sender runs another version, or the message is forged."},
    {803, "unknown_kind", "The kind of the message is not known.", "The sender runs a newer version."},
}};

} // namespace

const result::table_category& category() noexcept
{
    static const result::table_category instance{"wire", rows};
    return instance;
}

std::error_code make_error_code(errc value) noexcept
{
    return {static_cast<int>(value), category()};
}

} // namespace poplarport::wire
