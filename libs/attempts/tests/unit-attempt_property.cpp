#include <vector> // vector

#include "generated_event.hpp"
#include "poplarport/attempts/attempt.hpp"
#include "property.hpp"

using namespace poplarport::attempts;
using poplarport::core::outcome;

TEST_GROUP(attempt_property){};

// Invariant: an attempt has exactly one outcome; later events are counted and do not change it.
TEST(attempt_property, an_attempt_has_exactly_one_outcome)
{
    check_property(1, 5000,
                   [](const std::vector<std::uint8_t>& script)
                   {
                       attempt tested_attempt;
                       std::size_t result_count = 0;
                       std::size_t late_count = 0;
                       for (const std::uint8_t event_number : script)
                       {
                           const auto previous_result = tested_attempt.result();
                           late_count += previous_result ? 1 : 0;
                           result_count += tested_attempt.handle(event_from(event_number)) ? 1 : 0;
                           RC_ASSERT(!previous_result || tested_attempt.result() == previous_result);
                       }
                       RC_ASSERT(result_count == (tested_attempt.result() ? 1U : 0U));
                       RC_ASSERT(tested_attempt.late_events() == late_count);
                   });
}

// Invariant: an attempt ends as "not run" only with proof. A timeout, a lost connection or a cancellation proves
// nothing once bytes were sent.
TEST(attempt_property, not_run_is_proved)
{
    check_property(2, 5000,
                   [](const std::vector<std::uint8_t>& script)
                   {
                       attempt tested_attempt;
                       execution_model model;
                       for (const std::uint8_t event_number : script)
                       {
                           const auto event = event_from(event_number);
                           model.record_event(event);
                           const auto result = tested_attempt.handle(event);
                           if (result)
                           {
                               RC_ASSERT(result->outcome != outcome::not_run || !model.may_have_run());
                               RC_ASSERT((result->outcome == outcome::answered) == !result->code);
                               return;
                           }
                       }
                   });
}
