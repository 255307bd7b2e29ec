#include "poplarport/http/client_pool.hpp"

#include <algorithm> // max
#include <chrono>    // milliseconds, seconds
#include <utility>   // move

namespace poplarport::http
{

namespace
{

// Keep-Alive states whole seconds, and a request must arrive before the server closes the connection.
constexpr std::chrono::seconds keep_alive_margin{1};

// A connection that the server has already closed is reset within about a round trip after the next request. A later
// reset comes from a failure while the request was running.
constexpr std::chrono::milliseconds max_drop_delay{100};

// The estimated idle limit is the idle time of the dropped connection divided by this, but not below the minimum, so
// that connections in frequent use are kept.
constexpr int idle_limit_divisor = 4;
constexpr std::chrono::milliseconds min_estimated_idle_limit{50};

// An estimate expires after this time without another drop.
constexpr std::chrono::seconds estimate_lifetime{10};

} // namespace

client_pool::client_pool(net::event_loop& owning_loop, core::socket_address address, const limits& pool_limits)
    : loop(&owning_loop), target(std::move(address)), active_limits(pool_limits)
{
}

std::shared_ptr<client_connection> client_pool::acquire()
{
    const auto now = this->loop->now();
    std::erase_if(this->idle, [&](const idle_connection& candidate) { return this->is_stale(candidate, now); });
    if (!this->idle.empty())
    {
        // The most recently used connection is the least likely to have been closed by the server.
        auto connection = std::move(this->idle.back().connection);
        this->reused[connection.get()] = {now, now - this->idle.back().idle_since};
        this->idle.pop_back();
        ++this->in_use;
        return connection;
    }
    if (this->in_use >= this->active_limits.connections)
    {
        return nullptr;
    }
    ++this->in_use;
    return client_connection::connect(*this->loop, this->target, this->active_limits.connect_timeout);
}

void client_pool::release(const std::shared_ptr<client_connection>& connection)
{
    --this->in_use;
    this->estimate_idle_limit(*connection, this->loop->now());
    if (connection->is_reusable())
    {
        this->idle.push_back({connection, this->loop->now()});
        return;
    }
    connection->abort();
}

bool client_pool::is_stale(const idle_connection& candidate, core::time_point now) const
{
    const auto idle_time = now - candidate.idle_since;
    const auto stated = candidate.connection->idle_limit();
    const bool exceeds_stated_limit =
        stated && idle_time > std::max<core::duration>(*stated - keep_alive_margin, *stated / 2);
    const bool exceeds_estimate =
        this->estimated_idle_limit && now < this->estimate_valid_until && idle_time > *this->estimated_idle_limit;
    return idle_time > this->active_limits.idle_timeout || exceeds_stated_limit || exceeds_estimate ||
           !candidate.connection->is_reusable();
}

void client_pool::estimate_idle_limit(const client_connection& connection, core::time_point now)
{
    const auto found = this->reused.find(&connection);
    if (found == this->reused.end())
    {
        return;
    }
    const auto last_reuse = found->second;
    this->reused.erase(found);
    const bool was_closed_while_idle = connection.was_dropped() && now - last_reuse.started_at < max_drop_delay &&
                                       last_reuse.idle_time > max_drop_delay;
    if (was_closed_while_idle)
    {
        this->estimated_idle_limit =
            std::max<core::duration>(last_reuse.idle_time / idle_limit_divisor, min_estimated_idle_limit);
        this->estimate_valid_until = now + estimate_lifetime;
    }
}

void client_pool::set_connection_limit(std::size_t connections) noexcept
{
    this->active_limits.connections = connections;
}

std::size_t client_pool::size() const noexcept
{
    return this->in_use + this->idle.size();
}

} // namespace poplarport::http
