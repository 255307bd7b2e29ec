#include "poplarport/http/client_pool.hpp"

#include <algorithm> // find_if, max, ranges::find
#include <chrono>    // milliseconds, seconds
#include <iterator>  // next
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

// A connection is closed after more refusals, so that the list of refused requests stays short.
constexpr std::size_t max_refused_requests = 32;

// An estimate expires after this time without another drop.
constexpr std::chrono::seconds estimate_lifetime{10};

} // namespace

client_pool::client_pool(net::event_loop& owning_loop, core::socket_address address, const limits& pool_limits)
    : loop(&owning_loop), target(std::move(address)), active_limits(pool_limits)
{
}

std::shared_ptr<client_connection> client_pool::acquire(std::string_view request)
{
    const auto now = this->loop->now();
    std::erase_if(this->idle, [&](const idle_connection& candidate) { return this->is_stale(candidate, now); });
    // The most recently used connection is the least likely to have been closed by the server.
    const auto found = std::find_if(
        this->idle.rbegin(), this->idle.rend(),
        [request](const idle_connection& candidate)
        { return std::ranges::find(candidate.refused_requests, request) == candidate.refused_requests.end(); });
    if (found != this->idle.rend())
    {
        auto selected = std::move(*found);
        this->idle.erase(std::next(found).base());
        this->reused[selected.connection.get()] = {now, now - selected.idle_since,
                                                   std::move(selected.refused_requests)};
        ++this->in_use;
        return selected.connection;
    }
    if (this->in_use >= this->active_limits.connections)
    {
        return nullptr;
    }
    if (this->size() >= this->active_limits.connections)
    {
        this->idle.erase(this->idle.begin());
    }
    ++this->in_use;
    return client_connection::connect(*this->loop, this->target, this->active_limits.connect_timeout);
}

void client_pool::release(const std::shared_ptr<client_connection>& connection, std::string_view refused_request)
{
    --this->in_use;
    std::vector<std::string> refused_requests;
    if (const auto found = this->reused.find(connection.get()); found != this->reused.end())
    {
        refused_requests = std::move(found->second.refused_requests);
    }
    if (!refused_request.empty())
    {
        refused_requests.emplace_back(refused_request);
    }
    this->estimate_idle_limit(*connection, this->loop->now());
    if (connection->is_reusable() && refused_requests.size() <= max_refused_requests)
    {
        this->idle.push_back({connection, this->loop->now(), std::move(refused_requests)});
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
