#include "poplarport/http/client_pool.hpp"

#include <algorithm> // max
#include <chrono>    // milliseconds, seconds
#include <utility>   // move

namespace poplarport::http
{

namespace
{

// Keep-Alive has whole seconds, and a request needs time to arrive before the other side closes.
constexpr std::chrono::seconds keep_alive_margin{1};

// A connection that the other side has forgotten is reset by the next request within about a round trip. A later end
// comes from a fault while the request was running.
constexpr std::chrono::milliseconds longest_drop{100};

// The learned limit is this part of the rest after which a connection was dropped, and at least the second value, so
// that busy connections are kept.
constexpr int learned_divisor = 4;
constexpr std::chrono::milliseconds least_learned_limit{50};

// A learned limit is forgotten after this time without another drop.
constexpr std::chrono::seconds learned_lifetime{10};

} // namespace

client_pool::client_pool(net::event_loop& owner, core::socket_address address, const limits& values)
    : loop(&owner), target(std::move(address)), chosen(values)
{
}

std::shared_ptr<client_connection> client_pool::acquire()
{
    const auto now = this->loop->now();
    std::erase_if(this->idle, [&](const idle_connection& entry) { return this->is_stale(entry, now); });
    if (!this->idle.empty())
    {
        // The most recently used connection is the least likely to be closed by the other side.
        auto connection = std::move(this->idle.back().connection);
        this->reused[connection.get()] = {now, now - this->idle.back().since};
        this->idle.pop_back();
        ++this->in_use;
        return connection;
    }
    if (this->in_use >= this->chosen.connections)
    {
        return nullptr;
    }
    ++this->in_use;
    return client_connection::connect(*this->loop, this->target, this->chosen.connect_timeout);
}

void client_pool::release(const std::shared_ptr<client_connection>& connection)
{
    --this->in_use;
    this->learn(*connection, this->loop->now());
    if (connection->is_reusable())
    {
        this->idle.push_back({connection, this->loop->now()});
        return;
    }
    connection->abort();
}

bool client_pool::is_stale(const idle_connection& entry, core::time_point now) const
{
    const auto idle_time = now - entry.since;
    const auto stated = entry.connection->idle_limit();
    const bool is_stated = stated && idle_time > std::max<core::duration>(*stated - keep_alive_margin, *stated / 2);
    const bool is_learned =
        this->estimated_idle_limit && now < this->estimate_valid_until && idle_time > *this->estimated_idle_limit;
    return idle_time > this->chosen.idle_timeout || is_stated || is_learned || !entry.connection->is_reusable();
}

void client_pool::learn(const client_connection& connection, core::time_point now)
{
    const auto found = this->reused.find(&connection);
    if (found == this->reused.end())
    {
        return;
    }
    const auto use = found->second;
    this->reused.erase(found);
    const bool was_forgotten = connection.was_dropped() && now - use.at < longest_drop && use.idle_time > longest_drop;
    if (was_forgotten)
    {
        this->estimated_idle_limit = std::max<core::duration>(use.idle_time / learned_divisor, least_learned_limit);
        this->estimate_valid_until = now + learned_lifetime;
    }
}

void client_pool::set_connection_limit(std::size_t connections) noexcept
{
    this->chosen.connections = connections;
}

std::size_t client_pool::size() const noexcept
{
    return this->in_use + this->idle.size();
}

} // namespace poplarport::http
