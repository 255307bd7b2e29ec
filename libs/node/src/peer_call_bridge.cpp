#include "poplarport/node/detail/peer_call_bridge.hpp"

#include <utility> // move
#include <variant> // get_if

#include "poplarport/node/detail/forwarding.hpp"
#include "poplarport/peer/response_metadata.hpp"

namespace poplarport::node::detail
{

peer_call_bridge::peer_call_bridge(std::shared_ptr<peer::server_call> received, std::function<core::version()> version)
    : call(std::move(received)), config_version(std::move(version))
{
}

void peer_call_bridge::start(receiver& target, http::request_header header, received_call received)
{
    this->call->set_hooks(this->call_hooks());
    const bool has_body = header.framing != http::body_framing::none;
    this->channel = target.start(std::move(header), std::move(received), this->channel_hooks());
    if (!has_body)
    {
        this->channel->finish_request();
    }
}

http::server_exchange::hooks peer_call_bridge::call_hooks()
{
    // The call's hooks keep the bridge alive; they are destroyed when the call ends.
    const auto self = this->shared_from_this();
    return {.on_body =
                [self](std::string_view bytes)
            {
                self->channel->send_body(bytes);
                self->call->set_reading(self->channel->pending_bytes() <= body_buffer_bytes);
            },
            .on_body_end = [self] { self->channel->finish_request(); },
            .on_writable = [self] { self->channel->set_reading(true); },
            .on_cancelled =
                [self](std::error_code)
            {
                self->channel->cancel();
            }};
}

attempt_channel::hooks peer_call_bridge::channel_hooks()
{
    const auto self = this->shared_from_this();
    return {.on_interim = [self](const http::response_header& interim) { self->call->send_interim(interim); },
            .on_response_header = [self](http::response_header& header, const response_context& context)
            { self->handle_header(header, context); },
            .on_body =
                [self](std::string_view bytes)
            {
                self->call->send_body(bytes);
                if (self->call->pending_bytes() > body_buffer_bytes)
                {
                    self->channel->set_reading(false);
                }
            },
            .on_end = [self](const response_context&) { self->call->finish(); },
            .on_writable = [self] { self->call->set_reading(true); },
            .on_failed =
                [self](const attempt_failure& failure)
            {
                self->handle_failure(failure);
            }};
}

void peer_call_bridge::handle_header(http::response_header& header, const response_context& context)
{
    this->header_sent = true;
    http::remove_hop_by_hop(header.fields);
    remove_internal_fields(header.fields);
    peer::response_metadata metadata;
    metadata.result = core::outcome::answered;
    metadata.load = context.load.value_or(core::load_report{});
    metadata.config_version = this->config_version();
    peer::encode(metadata, header.fields);
    this->call->send_header(std::move(header));
}

void peer_call_bridge::handle_failure(const attempt_failure& failure)
{
    if (this->header_sent)
    {
        this->call->abort();
        return;
    }
    respond_to_failure(*this->call, failure, this->config_version());
}

void respond_to_failure(peer::server_call& call, const attempt_failure& failure, core::version version)
{
    constexpr int bad_gateway = 502;
    constexpr int service_unavailable = 503;
    const auto* const refusal = std::get_if<attempts::refused>(&failure.event);
    peer::response_metadata metadata;
    metadata.result = refusal != nullptr ? core::outcome::not_run : core::outcome::unknown;
    metadata.code = failure.reason.value();
    metadata.load = failure.context.load.value_or(core::load_report{});
    metadata.config_version = version;
    if (refusal != nullptr)
    {
        metadata.better_peers = refusal->better_peers;
    }
    http::response_header header{.status = refusal != nullptr ? service_unavailable : bad_gateway};
    peer::encode(metadata, header.fields);
    http::respond(call, std::move(header), {});
}

} // namespace poplarport::node::detail
