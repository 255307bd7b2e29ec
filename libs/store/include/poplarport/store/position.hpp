#pragma once

#include <compare> // partial_ordering
#include <cstdint> // uint64_t

namespace poplarport::store
{

/// @brief Number of a change within an era of the store; greater for later changes.
using revision = std::uint64_t;

/// @brief Number of times that the store has come back from an older copy; zero if it does not state one.
using era = std::uint64_t;

/// @brief A point in the history of the store.
///
/// When the store comes back from a copy, its revisions go back and are given out again for other changes. Revisions of
/// different eras therefore do not compare.
struct position
{
    store::era in_era{0};
    store::revision number{0};

    bool operator==(const position&) const = default;

    /// @return the order within an era; `unordered` for different eras
    [[nodiscard]] friend std::partial_ordering operator<=>(const position& left, const position& right) noexcept
    {
        return left.in_era == right.in_era ? std::partial_ordering{left.number <=> right.number}
                                           : std::partial_ordering::unordered;
    }
};

/// @return the position from which to continue: that of the later era, and within an era that with the greater revision
[[nodiscard]] inline position later(const position& left, const position& right) noexcept
{
    const bool is_right_later = left.in_era == right.in_era ? left.number < right.number : left.in_era < right.in_era;
    return is_right_later ? right : left;
}

} // namespace poplarport::store
