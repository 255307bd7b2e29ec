#include <vector> // vector

#include "poplarport/membership/member.hpp"
#include "property.hpp"

using namespace poplarport::membership;

namespace
{

/// Makes an entry as a member and its observers can produce it: draining grows with the revision.
member entry_from(std::uint16_t number)
{
    member value;
    value.id = "a";
    value.incarnation = 1 + number % 3;
    value.revision = number / 3 % 4;
    value.state = static_cast<member_state>(number / 12 % 4);
    value.draining = value.revision > number / 48 % 4;
    value.configuration_version = number / 192 % 4;
    return value;
}

} // namespace

TEST_GROUP(merge_property){};

// Invariant: the merged entry does not depend on the order or the repetition of entries, so members that saw the same
// entries agree.
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
                       for (auto place = numbers.rbegin(); place != numbers.rend(); ++place)
                       {
                           merge(backward, entry_from(*place));
                           merge(backward, entry_from(*place));
                       }
                       merge(backward, entry_from(first));
                       RC_ASSERT(forward == backward);
                   });
}

// Invariant: within an incarnation draining is never undone and the configuration version never decreases; the
// incarnation and, within it, the revision never decrease.
TEST(merge_property, nothing_goes_back_within_an_incarnation)
{
    check_property(13, 20000,
                   [](const std::vector<std::uint16_t>& numbers, std::uint16_t first)
                   {
                       member known = entry_from(first);
                       for (const std::uint16_t number : numbers)
                       {
                           const member before = known;
                           const bool changed = merge(known, entry_from(number));
                           RC_ASSERT(changed == (known != before));
                           RC_ASSERT(known.incarnation >= before.incarnation);
                           if (known.incarnation == before.incarnation)
                           {
                               RC_ASSERT(known.draining || !before.draining);
                               RC_ASSERT(known.configuration_version >= before.configuration_version);
                               RC_ASSERT(known.revision >= before.revision);
                               RC_ASSERT(is_live(before) || !is_live(known) || known.revision > before.revision);
                           }
                       }
                   });
}
