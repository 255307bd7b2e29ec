#include <vector> // vector

#include "generated_event.hpp"
#include "poplarport/attempts/attempt.hpp"
#include "property.hpp"

using namespace poplarport::attempts;
using poplarport::core::outcome;

TEST_GROUP(attempt_property){};

// Invariant: exactly one outcome per attempt; later events are counted and change nothing.
TEST(attempt_property, an_attempt_has_exactly_one_outcome)
{
    check_property(1, 5000,
                   [](const std::vector<std::uint8_t>& script)
                   {
                       attempt subject;
                       std::size_t endings = 0;
                       std::size_t late = 0;
                       for (const std::uint8_t number : script)
                       {
                           const auto before = subject.result();
                           late += before ? 1 : 0;
                           endings += subject.handle(event_from(number)) ? 1 : 0;
                           RC_ASSERT(!before || subject.result() == before);
                       }
                       RC_ASSERT(endings == (subject.result() ? 1U : 0U));
                       RC_ASSERT(subject.late_events() == late);
                   });
}

// Invariant: "not run" only with a proof; a timeout, a lost connection and a cancellation are none once bytes left.
TEST(attempt_property, not_run_is_proved)
{
    check_property(2, 5000,
                   [](const std::vector<std::uint8_t>& script)
                   {
                       attempt subject;
                       run_account account;
                       for (const std::uint8_t number : script)
                       {
                           const auto event = event_from(number);
                           account.note(event);
                           const auto result = subject.handle(event);
                           if (result)
                           {
                               RC_ASSERT(result->outcome != outcome::not_run || !account.may_have_run());
                               RC_ASSERT((result->outcome == outcome::answered) == !result->code);
                               return;
                           }
                       }
                   });
}
