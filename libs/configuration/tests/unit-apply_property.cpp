#include <algorithm> // ranges::count
#include <array>     // array
#include <vector>    // vector

#include "poplarport/configuration/apply_operation.hpp"
#include "property.hpp"

using namespace poplarport;
using namespace poplarport::configuration;
using namespace std::chrono_literals;

namespace
{

constexpr core::time_point start{1h};
constexpr core::time_point deadline{2h};

/// Platform object with a log of all changes that took effect, and with writes that arrive late.
class object_store
{
  public:
    [[nodiscard]] read_result read() const
    {
        return this->current;
    }

    bool apply(const write_object& write)
    {
        if (write.expected_version != this->current.version)
        {
            return false;
        }
        this->applied_changes.push_back(write.document.recent_changes.back().id);
        // The versions of the platform are not necessarily consecutive.
        this->current = {this->current.version + 3, write.document};
        return true;
    }

    void delay(const write_object& write)
    {
        this->delayed_writes.push_back(write);
    }

    void apply_delayed(std::size_t number)
    {
        if (!this->delayed_writes.empty())
        {
            this->apply(this->delayed_writes[number % this->delayed_writes.size()]);
        }
    }

    std::vector<change_id> applied_changes;

  private:
    read_result current;
    std::vector<write_object> delayed_writes;
};

/// An operator with one change, which is applied again with the same id after an undetermined result.
struct operator_run
{
    change_id id;
    std::vector<apply_operation> runs;
    apply_action next_action;
};

void start_run(operator_run& operator_state, std::size_t history)
{
    const auto id = operator_state.id;
    const auto edit = [id](const read_result& read) -> std::variant<std::string, std::error_code>
    {
        return (read.document ? read.document->content : "") + id + ";";
    };
    apply_operation::builder builder;
    builder.change(id).edit(edit).deadline(deadline).settings({history, 1ms, 1ms});
    operator_state.runs.push_back(builder.build());
    operator_state.next_action = operator_state.runs.back().start(start);
}

/// Performs the next action of an operator; `fault_selector` selects the fault.
void perform_next_action(operator_run& operator_state, object_store& store, std::uint8_t fault_selector,
                         core::time_point now, std::mt19937_64& random_engine)
{
    auto& run = operator_state.runs.back();
    if (const auto* write = std::get_if<write_object>(&operator_state.next_action))
    {
        const auto sent = *write;
        switch (fault_selector % 5)
        {
        case 0:
            store.apply(sent);
            operator_state.next_action = run.on_write_lost(now, random_engine);
            return;
        case 1:
            store.delay(sent);
            operator_state.next_action = run.on_write_lost(now, random_engine);
            return;
        case 2:
            operator_state.next_action = run.on_write_lost(now, random_engine);
            return;
        default:
            operator_state.next_action =
                store.apply(sent) ? run.on_written(store.read().version) : run.on_precondition_failed();
            return;
        }
    }
    if (std::holds_alternative<read_object>(operator_state.next_action))
    {
        operator_state.next_action =
            fault_selector % 5 == 0 ? run.on_read_failed(now, random_engine) : run.on_read(store.read());
        return;
    }
    if (std::holds_alternative<wait_until>(operator_state.next_action))
    {
        operator_state.next_action = run.tick(now);
    }
}

std::string join(const std::vector<change_id>& ids)
{
    std::string text;
    for (const change_id& each : ids)
    {
        text += each + ";";
    }
    return text;
}

void check_results(const std::vector<operator_run>& operators, const object_store& store)
{
    for (const operator_run& each : operators)
    {
        const auto count = std::ranges::count(store.applied_changes, each.id);
        RC_ASSERT(count <= 1);
        for (const apply_operation& run : each.runs)
        {
            RC_ASSERT(run.result().has_value());
            const auto code = run.result()->code;
            RC_ASSERT(code || count == 1);
            RC_ASSERT(code != error::conflict || run.result()->conflicting_change.has_value());
        }
        const auto last_code = each.runs.back().result()->code;
        RC_ASSERT(last_code != error::conflict || count == 0);
        RC_ASSERT(last_code != error::platform_unavailable || count == 0);
    }
    const auto read = store.read();
    RC_ASSERT(!read.document || read.document->content == join(store.applied_changes));
}

void run_script(const std::vector<std::array<std::uint8_t, 3>>& script, std::size_t history, bool retries_undetermined)
{
    std::mt19937_64 random_engine{script.size()};
    object_store store;
    std::vector<operator_run> operators(5);
    for (std::size_t number = 0; number < operators.size(); ++number)
    {
        operators[number].id = "change-" + std::to_string(number);
        start_run(operators[number], history);
    }
    for (const auto& [number, fault_selector, delivery_selector] : script)
    {
        operator_run& operator_state = operators[number % operators.size()];
        perform_next_action(operator_state, store, fault_selector, number > 250 ? deadline : start, random_engine);
        const auto& last_result = operator_state.runs.back().result();
        if (retries_undetermined && last_result && last_result->code == error::undetermined)
        {
            start_run(operator_state, history);
        }
        if (delivery_selector > 150)
        {
            store.apply_delayed(delivery_selector);
        }
    }
    for (std::uint8_t delivery_selector = 0; delivery_selector < 8; ++delivery_selector)
    {
        store.apply_delayed(delivery_selector);
    }
    for (operator_run& each : operators)
    {
        while (!each.runs.back().result())
        {
            perform_next_action(each, store, 3, start, random_engine);
        }
    }
    for (std::uint8_t delivery_selector = 0; delivery_selector < 8; ++delivery_selector)
    {
        store.apply_delayed(delivery_selector);
    }
    check_results(operators, store);
}

} // namespace

TEST_GROUP(apply_property){};

// Invariant: with concurrent operators, lost responses, late writes and repeated runs, each accepted change takes
// effect exactly once and in order, and a conflict is only reported for a change that never takes effect.
TEST(apply_property, accepted_changes_take_effect_exactly_once)
{
    check_property(21, 10000,
                   [](const std::vector<std::array<std::uint8_t, 3>>& script) { run_script(script, 64, true); });
}

// Invariant: with a list of changes that is too short for the number of concurrent operators, a result that the list
// does not show is reported as undetermined and never as accepted or rejected.
TEST(apply_property, short_history_causes_no_wrong_result)
{
    check_property(22, 10000,
                   [](const std::vector<std::array<std::uint8_t, 3>>& script) { run_script(script, 2, false); });
}
