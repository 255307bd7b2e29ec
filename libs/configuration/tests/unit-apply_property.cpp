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

/// Platform object with a full log of the changes that took effect, and writes that arrive late.
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
        this->log.push_back(write.document.recent_changes.back().id);
        // Versions of the platform need not be consecutive.
        this->current = {this->current.version + 3, write.document};
        return true;
    }

    void delay(const write_object& write)
    {
        this->late.push_back(write);
    }

    void apply_late(std::size_t number)
    {
        if (!this->late.empty())
        {
            this->apply(this->late[number % this->late.size()]);
        }
    }

    std::vector<change_id> log;

  private:
    read_result current;
    std::vector<write_object> late;
};

/// An operator with one change, started again with the same id after an undetermined result.
struct operator_run
{
    change_id id;
    std::vector<apply_operation> runs;
    apply_action next;
};

void start_run(operator_run& subject, std::size_t history)
{
    const auto id = subject.id;
    const auto edit = [id](const read_result& read) -> std::variant<std::string, std::error_code>
    {
        return (read.document ? read.document->content : "") + id + ";";
    };
    apply_operation::builder builder;
    builder.change(id).edit(edit).deadline(deadline).settings({history, 1ms, 1ms});
    subject.runs.push_back(builder.build());
    subject.next = subject.runs.back().start(start);
}

/// Carries out the next action of an operator; `fate` decides what happens to it.
void carry_out(operator_run& subject, object_store& store, std::uint8_t fate, core::time_point now,
               std::mt19937_64& random)
{
    auto& run = subject.runs.back();
    if (const auto* write = std::get_if<write_object>(&subject.next))
    {
        const auto sent = *write;
        switch (fate % 5)
        {
        case 0:
            store.apply(sent);
            subject.next = run.on_write_lost(now, random);
            return;
        case 1:
            store.delay(sent);
            subject.next = run.on_write_lost(now, random);
            return;
        case 2:
            subject.next = run.on_write_lost(now, random);
            return;
        default:
            subject.next = store.apply(sent) ? run.on_written(store.read().version) : run.on_precondition_failed();
            return;
        }
    }
    if (std::holds_alternative<read_object>(subject.next))
    {
        subject.next = fate % 5 == 0 ? run.on_read_failed(now, random) : run.on_read(store.read());
        return;
    }
    if (std::holds_alternative<wait_until>(subject.next))
    {
        subject.next = run.tick(now);
    }
}

std::string joined(const std::vector<change_id>& ids)
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
        const auto count = std::ranges::count(store.log, each.id);
        RC_ASSERT(count <= 1);
        for (const apply_operation& run : each.runs)
        {
            RC_ASSERT(run.result().has_value());
            const auto code = run.result()->code;
            RC_ASSERT(code || count == 1);
            RC_ASSERT(code != error::conflict || run.result()->conflicting_change.has_value());
        }
        const auto last = each.runs.back().result()->code;
        RC_ASSERT(last != error::conflict || count == 0);
        RC_ASSERT(last != error::platform_unavailable || count == 0);
    }
    const auto read = store.read();
    RC_ASSERT(!read.document || read.document->content == joined(store.log));
}

void run_history(const std::vector<std::array<std::uint8_t, 3>>& script, std::size_t history, bool run_again)
{
    std::mt19937_64 random{script.size()};
    object_store store;
    std::vector<operator_run> operators(5);
    for (std::size_t number = 0; number < operators.size(); ++number)
    {
        operators[number].id = "change-" + std::to_string(number);
        start_run(operators[number], history);
    }
    for (const auto& [number, fate, late] : script)
    {
        operator_run& subject = operators[number % operators.size()];
        carry_out(subject, store, fate, number > 250 ? deadline : start, random);
        const auto& ended = subject.runs.back().result();
        if (run_again && ended && ended->code == error::undetermined)
        {
            start_run(subject, history);
        }
        if (late > 150)
        {
            store.apply_late(late);
        }
    }
    for (std::uint8_t late = 0; late < 8; ++late)
    {
        store.apply_late(late);
    }
    for (operator_run& each : operators)
    {
        while (!each.runs.back().result())
        {
            carry_out(each, store, 3, start, random);
        }
    }
    for (std::uint8_t late = 0; late < 8; ++late)
    {
        store.apply_late(late);
    }
    check_results(operators, store);
}

} // namespace

TEST_GROUP(apply_property){};

// Invariant: with racing operators, lost answers, late writes and repeated runs, each accepted change is in force
// exactly once and in order, and a conflict is only reported for a change that never takes effect.
TEST(apply_property, accepted_changes_are_in_force_exactly_once)
{
    check_property(21, 10000,
                   [](const std::vector<std::array<std::uint8_t, 3>>& script) { run_history(script, 64, true); });
}

// Invariant: the same with a list of changes that is too short for the race; what it cannot show is reported as
// undetermined and never as accepted or refused.
TEST(apply_property, a_short_history_leads_to_no_wrong_result)
{
    check_property(22, 10000,
                   [](const std::vector<std::array<std::uint8_t, 3>>& script) { run_history(script, 2, false); });
}
