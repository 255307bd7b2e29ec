#include "poplarport/configuration/watch_schedule.hpp"

#include <algorithm> // min
#include <utility>   // exchange

#include "poplarport/core/jitter.hpp"

namespace poplarport::configuration
{

std::string_view to_string(watch_step step) noexcept
{
    switch (step)
    {
    case watch_step::read_lagging:
        return "read, may lag";
    case watch_step::read_latest:
        return "read";
    case watch_step::watch:
        return "watch";
    case watch_step::none:
        break;
    }
    return "none";
}

watch_schedule::watch_schedule(const watch_settings& watch_settings, core::time_point now, std::mt19937_64& random)
    : settings(watch_settings), settled_at(now + (watch_settings.is_first_start ? watch_settings.max_first_settle_time
                                                                                : watch_settings.max_settle_time)),
      next_step(watch_settings.is_first_start ? now + core::random_duration(watch_settings.first_read_spread, random)
                                              : now),
      poll_interval(watch_settings.poll_interval), failure_delay(watch_settings.failure_delay)
{
}

watch_step watch_schedule::tick(bool has_rank, bool has_configuration, core::time_point now)
{
    if (this->in_progress != watch_step::none || now < this->next_wakeup())
    {
        return watch_step::none;
    }
    if (now >= this->next_rank_check)
    {
        this->next_rank_check = core::time_point::max();
    }
    const bool must_watch = this->is_settled(now) && has_rank;
    if (!must_watch && has_configuration)
    {
        this->is_idle = true;
        this->next_step = core::time_point::max();
        if (!this->is_settled(now))
        {
            this->next_rank_check = std::min(this->next_rank_check, this->settled_at);
        }
        return watch_step::none;
    }
    const bool may_start = this->is_idle || (this->is_polling && must_watch);
    if (now < this->next_step && !may_start)
    {
        return watch_step::none;
    }
    this->is_idle = false;
    this->is_polling = false;
    this->in_progress = !must_watch          ? watch_step::read_lagging
                        : this->has_revision ? watch_step::watch
                                             : watch_step::read_latest;
    return this->in_progress;
}

void watch_schedule::on_read(core::time_point now, std::mt19937_64& random)
{
    if (std::exchange(this->in_progress, watch_step::none) == watch_step::read_latest)
    {
        // The delay after a failure is kept until a watch succeeds: reads succeed also between watches that all fail.
        this->has_revision = true;
        this->next_step = now;
        return;
    }
    this->failure_delay = this->settings.failure_delay;
    this->is_polling = true;
    this->next_step = now + core::jittered_interval(this->poll_interval, random);
    if (!this->is_settled(now))
    {
        this->next_step = std::min(this->next_step, this->settled_at);
    }
    this->poll_interval = std::min(this->poll_interval * 2, this->settings.max_poll_interval);
}

void watch_schedule::on_watched(bool has_changes, core::time_point now)
{
    this->in_progress = watch_step::none;
    this->failure_delay = this->settings.failure_delay;
    this->next_step = has_changes ? now + this->settings.delay_after_change : now;
}

void watch_schedule::on_partly_watched(core::time_point now)
{
    this->on_watched(true, now);
    this->has_revision = false;
}

void watch_schedule::on_unusable_response(core::time_point now, std::mt19937_64& random)
{
    this->on_failed(now, random);
    this->has_revision = false;
}

void watch_schedule::on_restored(core::time_point now, std::mt19937_64& random)
{
    this->has_revision = false;
    if (this->in_progress == watch_step::watch)
    {
        this->in_progress = watch_step::none;
        this->next_step = now + core::random_duration(this->settings.restored_read_spread, random);
    }
}

void watch_schedule::on_history_lost(core::time_point now)
{
    this->in_progress = watch_step::none;
    this->has_revision = false;
    this->next_step = now;
}

void watch_schedule::on_failed(core::time_point now, std::mt19937_64& random)
{
    this->in_progress = watch_step::none;
    this->next_step = now + core::jittered_interval(this->failure_delay, random);
    this->failure_delay = std::min(this->failure_delay * 2, this->settings.max_failure_delay);
}

void watch_schedule::on_no_response(core::time_point now)
{
    this->in_progress = watch_step::none;
    this->has_revision = false;
    this->next_step = now;
}

core::duration watch_schedule::watch_wait(std::size_t position)
{
    this->is_leading_watch = position == 0;
    return this->is_leading_watch ? this->settings.renewal_interval : this->settings.max_watch_wait;
}

bool watch_schedule::take_lead(std::size_t position, core::time_point now)
{
    if (this->in_progress != watch_step::watch || now < this->next_rank_check)
    {
        return false;
    }
    this->next_rank_check = core::time_point::max();
    if (position != 0 || this->is_leading_watch)
    {
        return false;
    }
    this->in_progress = watch_step::none;
    this->next_step = now;
    return true;
}

void watch_schedule::on_members_changed(bool has_peers, core::time_point now)
{
    if (has_peers && !std::exchange(this->had_peers, true))
    {
        this->settled_at = std::min(this->settled_at, now + this->settings.settle_time);
    }
    this->next_rank_check = std::min(this->next_rank_check, now + this->settings.rank_delay);
}

core::time_point watch_schedule::next_wakeup() const noexcept
{
    switch (this->in_progress)
    {
    case watch_step::none:
        return std::min(this->next_step, this->next_rank_check);
    case watch_step::watch:
        return this->is_leading_watch ? core::time_point::max() : this->next_rank_check;
    default:
        return core::time_point::max();
    }
}

} // namespace poplarport::configuration
