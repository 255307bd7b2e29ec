#include "poplarport/mesh/evacuation_task.hpp"

#include <algorithm> // max, min, ranges::find
#include <chrono>    // seconds
#include <utility>   // exchange, move

#include "poplarport/mesh/errors.hpp"
#include "poplarport/observability/log_record.hpp"

namespace poplarport::mesh
{

namespace
{

// Evacuations are rarer than configurations and have a longer bound, so watches are renewed half as often.
constexpr std::chrono::seconds renewal_interval{3};

// Number of nodes that watch the evacuations.
constexpr std::size_t max_watchers = 3;

configuration::watch_settings make_watch_settings(bool is_first_start)
{
    configuration::watch_settings settings;
    settings.is_first_start = is_first_start;
    settings.renewal_interval = renewal_interval;
    return settings;
}

std::string join(const evacuation::zone_state& state)
{
    std::string result;
    for (const auto& zone : state.zones)
    {
        result += (result.empty() ? "" : ",") + zone;
    }
    return result;
}

} // namespace

evacuation_task::evacuation_task(net::event_loop& owner, std::vector<std::string> zones, bool is_first_start,
                                 std::string kind, store::object_store& object_store, std::mt19937_64& random_engine,
                                 hooks node_hooks)
    : loop(&owner), known_zones(std::move(zones)), object_kind(std::move(kind)), objects(&object_store),
      random(&random_engine), events(std::move(node_hooks)),
      watching(make_watch_settings(is_first_start), owner.now(), random_engine), copy({}, is_first_start),
      has_read(is_first_start), store_wakeup(owner, [this] { this->run_step(); }),
      send_wakeup(owner, [this] { this->send_due(); })
{
    this->objects->on_restored(
        [this, still_alive = this->alive]
        {
            if (*still_alive)
            {
                this->stored = {};
                ++this->last_watch;
                this->watching.on_restored(this->loop->now(), *this->random);
                this->schedule();
            }
        });
    this->schedule();
}

evacuation_task::~evacuation_task()
{
    *this->alive = false;
}

void evacuation_task::on_members_changed(bool has_peers)
{
    this->watching.on_members_changed(has_peers, this->loop->now());
    if (has_peers && !std::exchange(this->had_peers, true))
    {
        this->copy.on_peers_found(this->loop->now());
    }
    this->schedule();
}

bool evacuation_task::on_received(const evacuation::zone_state& received, const std::string& sender)
{
    const auto result = this->copy.on_received(received, this->loop->now());
    if (result.has_changed)
    {
        this->report_change(sender);
    }
    this->schedule();
    return result.needs_response;
}

watch_rank evacuation_task::rank() const
{
    auto result = this->events.rank();
    result.has_rank = result.has_rank && result.position < max_watchers;
    result.position = std::min(result.position, max_watchers - 1);
    return result;
}

void evacuation_task::run_step()
{
    const auto own_rank = this->rank();
    if (this->watching.take_lead(own_rank.position, this->loop->now()))
    {
        ++this->last_watch;
    }
    switch (this->watching.tick(own_rank.has_rank, this->has_read, this->loop->now()))
    {
    case configuration::watch_step::read_lagging:
        this->list(store::consistency::may_lag);
        break;
    case configuration::watch_step::read_latest:
        this->list(store::consistency::latest);
        break;
    case configuration::watch_step::watch:
        this->watch();
        break;
    case configuration::watch_step::none:
        break;
    }
    this->schedule();
}

void evacuation_task::list(store::consistency wanted)
{
    this->objects->list(this->object_kind, wanted,
                        [this, still_alive = this->alive](const store::outcome<store::listing>& result)
                        {
                            if (*still_alive)
                            {
                                this->handle_listed(result);
                                this->schedule();
                            }
                        });
}

void evacuation_task::handle_listed(const store::outcome<store::listing>& result)
{
    if (!result.value)
    {
        this->handle_failure(result.error);
        return;
    }
    this->has_read = true;
    this->watching.on_read(this->loop->now(), *this->random);
    evacuation::zone_state read{result.value->at.number, {}, result.value->at.in_era};
    if (read.is_older_than(this->stored))
    {
        return;
    }
    this->stored = std::move(read);
    for (const auto& each : result.value->objects)
    {
        if (this->is_zone(each))
        {
            this->stored.zones.insert(each.name);
        }
    }
    this->apply_stored();
}

void evacuation_task::watch()
{
    this->objects->watch(
        this->object_kind, {this->stored.era, this->stored.revision}, this->watching.watch_wait(this->rank().position),
        [this, number = ++this->last_watch, still_alive = this->alive](const store::outcome<store::change_list>& result)
        {
            if (*still_alive && number == this->last_watch)
            {
                this->handle_changes(result);
                this->schedule();
            }
        });
}

void evacuation_task::handle_changes(const store::outcome<store::change_list>& result)
{
    if (!result.value)
    {
        this->handle_failure(result.error);
        return;
    }
    if (result.value->may_be_partial)
    {
        this->watching.on_partly_watched(this->loop->now());
    }
    else
    {
        this->watching.on_watched(!result.value->changes.empty(), this->loop->now());
    }
    this->stored.revision = std::max(this->stored.revision, result.value->at.number);
    for (const auto& each : result.value->changes)
    {
        if (each.removed)
        {
            this->stored.zones.erase(each.after.name);
        }
        else if (this->is_zone(each.after))
        {
            this->stored.zones.insert(each.after.name);
        }
    }
    this->apply_stored();
}

void evacuation_task::handle_failure(std::error_code error)
{
    const auto step = this->watching.step_in_progress();
    if (error == store::errc::history_lost)
    {
        this->watching.on_history_lost(this->loop->now());
    }
    else if (step == configuration::watch_step::watch && error == store::errc::timed_out)
    {
        this->watching.on_no_response(this->loop->now());
    }
    else if (step == configuration::watch_step::watch && error != store::errc::refused)
    {
        this->watching.on_unusable_response(this->loop->now(), *this->random);
    }
    else
    {
        this->watching.on_failed(this->loop->now(), *this->random);
    }
    observability::log_record{"evacuations_store_failed"}
        .with("step", to_string(step))
        .with("code", error.value())
        .with("reason", error.message())
        .with("held_revision", static_cast<std::int64_t>(this->state().revision))
        .write(observability::log_level::warning);
}

void evacuation_task::apply_stored()
{
    if (this->copy.on_stored(this->stored, this->loop->now()))
    {
        this->report_change("store");
    }
}

bool evacuation_task::is_zone(const store::object& entry) const
{
    if (std::ranges::find(this->known_zones, entry.name) != this->known_zones.end())
    {
        return true;
    }
    const auto error = make_error_code(errc::malformed_evacuation);
    observability::log_record{"evacuation_rejected"}
        .with("name", entry.name)
        .with("revision", static_cast<std::int64_t>(entry.changed_at.number))
        .with("code", error.value())
        .with("reason", error.message())
        .write(observability::log_level::error);
    return false;
}

void evacuation_task::report_change(std::string_view source) const
{
    observability::log_record{"evacuations_applied"}
        .with("zones", join(this->state()))
        .with("revision", static_cast<std::int64_t>(this->state().revision))
        .with("source", source)
        .write(observability::log_level::info);
    this->events.on_change(this->state());
}

void evacuation_task::send_due()
{
    if (this->copy.end_retention(this->loop->now()))
    {
        this->report_change("retention_ended");
    }
    if (const auto copies = this->copy.due_copies(this->loop->now()); copies > 0)
    {
        this->events.send(this->stored_state(), copies);
    }
    this->schedule();
}

void evacuation_task::schedule()
{
    const auto schedule_at = [this](net::timer& timer, core::time_point time)
    {
        if (time == core::time_point::max())
        {
            timer.cancel();
            return;
        }
        timer.schedule(std::max(time - this->loop->now(), core::duration::zero()));
    };
    schedule_at(this->store_wakeup, this->watching.next_wakeup());
    schedule_at(this->send_wakeup, this->copy.next_wakeup());
}

} // namespace poplarport::mesh
