#include "poplarport/node/detail/status_check.hpp"

#include <utility> // exchange, move

namespace poplarport::node::detail
{

status_check::status_check(receiver& receiving, std::function<void(const http::response_header*)> done)
    : owner(&receiving), hook(std::move(done)), timer(*receiving.loop, [this] { this->end(false); })
{
}

void status_check::start(const std::string& path, core::duration timeout)
{
    this->connection = this->owner->pool->acquire();
    if (!this->connection)
    {
        this->hook(nullptr);
        return;
    }
    this->self = this->shared_from_this();
    this->timer.schedule(timeout);
    http::request_header head;
    head.method = "GET";
    head.target = path;
    head.fields.add("Host", core::to_string(this->owner->upstream_address));
    this->connection->start(head,
                            {.on_interim = {},
                             .on_response_header = [this](http::response_header& received) { this->answer = received; },
                             .on_body = {},
                             .on_end = [this] { this->end(true); },
                             .on_writable = {},
                             .on_failed =
                                 [this](const http::client_failure&)
                             {
                                 this->end(false);
                             }});
}

void status_check::end(bool answered)
{
    const auto keep = std::exchange(this->self, nullptr);
    if (!keep)
    {
        return;
    }
    this->timer.cancel();
    if (!answered)
    {
        this->connection->abort();
    }
    this->owner->pool->release(std::exchange(this->connection, nullptr));
    const auto done = std::exchange(this->hook, {});
    done(answered ? &this->answer : nullptr);
}

} // namespace poplarport::node::detail
