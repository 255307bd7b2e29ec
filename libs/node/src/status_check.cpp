#include "poplarport/node/detail/status_check.hpp"

#include <utility> // exchange, move

namespace poplarport::node::detail
{

namespace
{

// The body of a status check is not used. One that does not end would keep the node reading until the time-out.
constexpr std::size_t max_body_bytes = 65536;

} // namespace

status_check::status_check(receiver& parent, std::function<void(const http::response_header*)> done)
    : owner(&parent), hook(std::move(done)), timer(*parent.loop, [this] { this->end(false); })
{
}

void status_check::start(const std::string& path, core::duration timeout)
{
    this->connection = this->owner->pool->acquire();
    if (!this->connection)
    {
        this->end(false);
        return;
    }
    this->timer.schedule(timeout);
    http::request_header header;
    header.method = "GET";
    header.target = path;
    header.fields.add("Host", core::to_string(this->owner->upstream_address));
    this->connection->start(
        header, {.on_interim = {},
                 .on_response_header = [this](http::response_header& received) { this->response = received; },
                 .on_body =
                     [this](std::string_view bytes)
                 {
                     this->body_bytes += bytes.size();
                     if (this->body_bytes > max_body_bytes)
                     {
                         this->end(false);
                     }
                 },
                 .on_end = [this] { this->end(true); },
                 .on_writable = {},
                 .on_failed =
                     [this](const http::client_failure&)
                 {
                     this->end(false);
                 }});
}

void status_check::end(bool responded)
{
    const auto self = this->shared_from_this();
    if (this->owner->checks.erase(self) == 0)
    {
        return;
    }
    this->close_connection(responded);
    const auto done = std::exchange(this->hook, {});
    done(responded ? &this->response : nullptr);
}

void status_check::cancel()
{
    this->hook = {};
    this->close_connection(false);
}

void status_check::close_connection(bool is_reusable)
{
    this->timer.cancel();
    const auto closing = std::exchange(this->connection, nullptr);
    if (!closing)
    {
        return;
    }
    if (!is_reusable)
    {
        closing->abort();
    }
    this->owner->pool->release(closing);
}

} // namespace poplarport::node::detail
