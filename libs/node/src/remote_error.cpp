#include "poplarport/node/detail/remote_error.hpp"

#include <algorithm> // ranges::any_of
#include <array>     // array

#include "poplarport/admission/errors.hpp"
#include "poplarport/attempts/errors.hpp"
#include "poplarport/http/errors.hpp"
#include "poplarport/limits/errors.hpp"
#include "poplarport/manifest/errors.hpp"
#include "poplarport/net/errors.hpp"
#include "poplarport/node/errors.hpp"
#include "poplarport/peer/errors.hpp"
#include "poplarport/routing/errors.hpp"

namespace poplarport::node::detail
{

std::span<const result::table_category* const> known_categories() noexcept
{
    static const std::array<const result::table_category*, 9> categories{
        &manifest::category(), &routing::category(), &admission::category(), &attempts::category(), &net::category(),
        &http::category(),     &peer::category(),    &node::category(),      &limits::category()};
    return categories;
}

std::error_code error_from_code(int number) noexcept
{
    for (const auto* const category : known_categories())
    {
        if (std::ranges::any_of(category->entries(), [number](const auto& row) { return row.number == number; }))
        {
            return {number, *category};
        }
    }
    return {};
}

} // namespace poplarport::node::detail
