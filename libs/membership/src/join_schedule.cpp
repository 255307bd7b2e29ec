#include "poplarport/membership/join_schedule.hpp"

#include <algorithm> // max, min
#include <cmath>     // log

#include "poplarport/core/jitter.hpp"

namespace poplarport::membership
{

namespace
{

// A listed node may be restarting, so one list without a response is no reason to register.
constexpr int max_unanswered_lists = 2;

// The fraction of delays below t is e^((t - max) / spread): each spread later, e times as many nodes register.
core::duration draw_delay(core::duration max, core::duration spread, std::mt19937_64& random)
{
    const double uniform = 1.0 - std::uniform_real_distribution<double>{0.0, 1.0}(random);
    const auto reduction = static_cast<core::duration::rep>(static_cast<double>(spread.count()) * -std::log(uniform));
    return std::max(max - core::duration{reduction}, core::duration::zero());
}

} // namespace

join_schedule::join_schedule(const join_settings& join_settings, core::time_point now, std::mt19937_64& random)
    : settings(join_settings),
      registration_due(now + (join_settings.is_first_start
                                  ? draw_delay(join_settings.max_first_delay, join_settings.first_spread, random)
                                  : draw_delay(join_settings.max_delay, join_settings.spread, random))),
      next_step(join_settings.is_first_start ? this->registration_due : now),
      list_interval(join_settings.list_interval), group_list_interval(join_settings.group_list_interval),
      next_group_list(now), failure_delay(join_settings.failure_delay)
{
}

join_step join_schedule::tick(std::size_t rank, core::time_point now, std::mt19937_64& random)
{
    if (this->in_progress != join_step::none || now < this->next_step)
    {
        return join_step::none;
    }
    if (this->peers > 0)
    {
        this->in_progress = this->tick_with_peers(rank, now, random);
        return this->in_progress;
    }
    this->in_progress = this->must_register(now) ? join_step::register_self : join_step::list;
    return this->in_progress;
}

join_step join_schedule::tick_with_peers(std::size_t rank, core::time_point now, std::mt19937_64& random)
{
    this->next_step = now + core::jittered_interval(this->settings.rank_check_interval, random);
    if (rank < this->settings.registered_members && !this->registered)
    {
        return join_step::register_self;
    }
    if (rank == 0 && now >= this->next_group_list)
    {
        this->next_group_list = now + core::jittered_interval(this->group_list_interval, random);
        this->group_list_interval = std::min(this->group_list_interval * 2, this->settings.max_group_list_interval);
        return join_step::list;
    }
    if (rank == 0)
    {
        this->next_step = std::min(this->next_step, this->next_group_list);
    }
    return join_step::none;
}

bool join_schedule::must_register(core::time_point now) const noexcept
{
    // A node that has had peers is known to them, so it needs no object to be found again.
    const bool nobody_responds = !this->has_joined && this->unanswered_lists >= max_unanswered_lists;
    const bool no_peer_found = this->list_was_empty || nobody_responds;
    return !this->registered && no_peer_found && now >= this->registration_due;
}

void join_schedule::on_listed(std::size_t listed_peers, core::time_point now, std::mt19937_64& random)
{
    this->in_progress = join_step::none;
    this->failure_delay = this->settings.failure_delay;
    this->list_was_empty = listed_peers == 0;
    ++this->unanswered_lists;
    if (this->peers > 0)
    {
        return;
    }
    if (this->list_was_empty && !this->registered)
    {
        this->next_step = std::max(now, this->registration_due);
        return;
    }
    this->list_later(now, random);
}

void join_schedule::on_registered(core::time_point now, std::mt19937_64& random)
{
    this->registered = true;
    this->failure_delay = this->settings.failure_delay;
    if (this->in_progress == join_step::list)
    {
        return;
    }
    this->in_progress = join_step::none;
    this->list_interval = std::max(this->list_interval, this->settings.registered_list_interval);
    if (this->peers == 0)
    {
        // Two nodes that registered at the same time find each other by another list.
        this->list_later(now, random);
    }
}

void join_schedule::on_failed(core::time_point now, std::mt19937_64& random)
{
    this->in_progress = join_step::none;
    this->next_step = now + core::jittered_interval(this->failure_delay, random);
    this->failure_delay = std::min(this->failure_delay * 2, this->settings.max_failure_delay);
}

void join_schedule::set_peers(std::size_t count, core::time_point now, std::mt19937_64& random)
{
    const bool had_peers = this->peers > 0;
    this->peers = count;
    if (had_peers == (count > 0))
    {
        return;
    }
    this->has_joined = true;
    this->unanswered_lists = 0;
    this->list_was_empty = false;
    this->list_interval = this->settings.list_interval;
    this->group_list_interval = this->settings.group_list_interval;
    this->next_group_list = now;
    this->next_step = count > 0 ? now + core::jittered_interval(this->settings.settle_time, random) : now;
}

core::time_point join_schedule::next_wakeup() const noexcept
{
    return this->in_progress == join_step::none ? this->next_step : core::time_point::max();
}

void join_schedule::list_later(core::time_point now, std::mt19937_64& random)
{
    this->next_step = now + core::jittered_interval(this->list_interval, random);
    this->list_interval = std::min(this->list_interval * 2, this->settings.max_list_interval);
}

} // namespace poplarport::membership
