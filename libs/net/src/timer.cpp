#include "poplarport/net/timer.hpp"

#include <algorithm>    // max
#include <system_error> // system_error, generic_category
#include <utility>      // move

#include <sys/timerfd.h>
#include <unistd.h>

#include "poplarport/net/detail/timer_queue.hpp"

namespace poplarport::net
{

namespace detail
{

timer_queue::timer_queue() : timer_descriptor(::timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC))
{
    if (this->timer_descriptor < 0)
    {
        throw std::system_error(errno, std::generic_category(), "timerfd_create");
    }
}

timer_queue::~timer_queue()
{
    // The libwebsockets connection that watches the descriptor owns it and closes it.
}

int timer_queue::descriptor() const noexcept
{
    return this->timer_descriptor;
}

timer_queue::entries::iterator timer_queue::add(core::time_point expiry, std::shared_ptr<timer::state> timer_state)
{
    const auto position = this->pending.emplace(expiry, std::move(timer_state));
    this->arm();
    return position;
}

void timer_queue::remove(entries::iterator position) noexcept
{
    this->pending.erase(position);
}

core::duration timer_queue::run_due(core::time_point now)
{
    std::uint64_t expirations = 0;
    [[maybe_unused]] const auto received = ::read(this->timer_descriptor, &expirations, sizeof expirations);
    this->armed_expiry = core::time_point::max();
    core::duration max_delay{0};
    while (!this->pending.empty() && this->pending.begin()->first <= now)
    {
        const auto earliest_entry = this->pending.begin();
        max_delay = std::max(max_delay, now - earliest_entry->first);
        const auto due_timer = earliest_entry->second;
        due_timer->scheduled = false;
        this->pending.erase(earliest_entry);
        due_timer->on_expiry();
    }
    this->arm();
    return max_delay;
}

void timer_queue::arm()
{
    if (this->pending.empty())
    {
        return;
    }
    const auto earliest = this->pending.begin()->first;
    if (earliest >= this->armed_expiry)
    {
        return;
    }
    this->armed_expiry = earliest;
    const auto since_epoch = std::max(earliest.time_since_epoch(), core::duration{1});
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(since_epoch);
    itimerspec specification{};
    specification.it_value.tv_sec = seconds.count();
    specification.it_value.tv_nsec = (since_epoch - seconds).count();
    ::timerfd_settime(this->timer_descriptor, TFD_TIMER_ABSTIME, &specification, nullptr);
}

} // namespace detail

timer::timer(event_loop& loop, std::function<void()> on_expiry)
    : data(std::make_shared<state>(state{&loop, std::move(on_expiry)}))
{
}

timer::~timer()
{
    this->cancel();
}

void timer::schedule(core::duration delay)
{
    this->cancel();
    const auto expiry = this->data->loop->now() + std::max(delay, core::duration{0});
    this->data->scheduled = true;
    this->data->position = this->data->loop->timers().add(expiry, this->data);
}

void timer::cancel() noexcept
{
    if (this->data->scheduled)
    {
        this->data->scheduled = false;
        this->data->loop->timers().remove(this->data->position);
    }
}

bool timer::is_scheduled() const noexcept
{
    return this->data->scheduled;
}

} // namespace poplarport::net
