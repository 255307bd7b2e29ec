#include "poplarport/http/client_pool.hpp"

#include <utility> // move

namespace poplarport::http
{

client_pool::client_pool(net::event_loop& owner, core::socket_address address, const limits& values)
    : loop(&owner), target(std::move(address)), chosen(values)
{
}

std::shared_ptr<client_connection> client_pool::acquire()
{
    const auto now = this->loop->now();
    std::erase_if(this->idle,
                  [&](const idle_connection& entry)
                  {
                      const bool expired = now - entry.since > this->chosen.idle_timeout;
                      return expired || !entry.connection->is_reusable();
                  });
    if (!this->idle.empty())
    {
        // The most recently used connection is the least likely to be closed by the other side.
        auto connection = std::move(this->idle.back().connection);
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
    if (connection->is_reusable())
    {
        this->idle.push_back({connection, this->loop->now()});
        return;
    }
    connection->abort();
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
