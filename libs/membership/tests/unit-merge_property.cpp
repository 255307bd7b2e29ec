#include <vector> // vector

#include "poplarport/membership/member.hpp"
#include "property.hpp"

using namespace poplarport::membership;

namespace
{

/// Creates an entry that a member and its peers can produce: a higher revision never resets draining.
member entry_from(std::uint16_t number)
{
    member result;
    result.id = "a";
    result.incarnation = 1 + number % 3;
    result.revision = number / 3 % 4;
    result.state = static_cast<member_state>(number / 12 % 4);
    result.draining = result.revision > number / 48 % 4;
    result.configuration_version = number / 192 % 4;
    return result;
}

} // namespace

TEST_GROUP(merge_property){};

// Invariant: the merged entry does not depend on the order or the repetition of entries, so members that received the
// same entries agree.
TEST(merge_property, order_and_repetition_do_not_matter)
{
    check_property(12, 20000,
                   [](const std::vector<std::uint16_t>& numbers, std::uint16_t first)
                   {
                       member forward = entry_from(first);
                       member backward = entry_from(numbers.empty() ? first : numbers.back());
                       for (const std::uint16_t number : numbers)
                       {
                           merge(forward, entry_from(number));
                       }
                       for (auto position = numbers.rbegin(); position != numbers.rend(); ++position)
                       {
                           merge(backward, entry_from(*position));
                           merge(backward, entry_from(*position));
                       }
                       merge(backward, entry_from(first));
                       RC_ASSERT(forward == backward);
                   });
}

// Invariant: within an incarnation draining is never undone and the configuration version never decreases; the
// incarnation and, within it, the revision never decrease.
TEST(merge_property, entries_never_revert_within_an_incarnation)
{
    check_property(13, 20000,
                   [](const std::vector<std::uint16_t>& numbers, std::uint16_t first)
                   {
                       member current = entry_from(first);
                       for (const std::uint16_t number : numbers)
                       {
                           const member before = current;
                           const bool changed = merge(current, entry_from(number));
                           RC_ASSERT(changed == (current != before));
                           RC_ASSERT(current.incarnation >= before.incarnation);
                           if (current.incarnation == before.incarnation)
                           {
                               RC_ASSERT(current.draining || !before.draining);
                               RC_ASSERT(current.configuration_version >= before.configuration_version);
                               RC_ASSERT(current.revision >= before.revision);
                               RC_ASSERT(is_live(before) || !is_live(current) || current.revision > before.revision);
                           }
                       }
                   });
}
