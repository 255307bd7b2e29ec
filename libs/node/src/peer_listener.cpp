#include "poplarport/node/peer_listener.hpp"

#include <chrono>  // duration_cast, microseconds
#include <utility> // move
#include <variant> // get, get_if

#include <openssl/crypto.h>

#include "poplarport/admission/errors.hpp"
#include "poplarport/node/detail/forwarding.hpp"
#include "poplarport/node/detail/peer_call_bridge.hpp"
#include "poplarport/node/detail/peer_channel.hpp"
#include "poplarport/node/errors.hpp"
#include "poplarport/peer/call_metadata.hpp"

namespace poplarport::node
{

namespace
{

constexpr std::string_view internal_path = "/.poplar/";

std::chrono::microseconds to_microseconds(core::time_point time)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(time.time_since_epoch());
}

std::string_view field_or_empty(const http::request_header& header, std::string_view name)
{
    const auto* const value = header.fields.find(name);
    return value == nullptr ? std::string_view{} : std::string_view{*value};
}

} // namespace

peer_listener::peer_listener(net::event_loop& event_loop, const core::socket_address& address,
                             const node_identity& self, std::string service_name, hooks callbacks)
    : loop(&event_loop), identity(&self), service(std::move(service_name)), events(std::move(callbacks)),
      server(std::make_unique<peer::server>(
          peer::server::builder{}
              .listen_on(address)
              .on_call([this](const std::shared_ptr<peer::server_call>& call) { this->handle_call(call); })
              .on_drained(
                  [this]
                  {
                      if (this->events.on_drained)
                      {
                          this->events.on_drained();
                      }
                  })
              .build(event_loop)))
{
}

peer_listener::~peer_listener() = default;

void peer_listener::set_receiver(receiver* local_receiver) noexcept
{
    this->local = local_receiver;
}

core::socket_address peer_listener::address() const
{
    return this->server->address();
}

void peer_listener::drain()
{
    this->server->drain();
}

const peer::counters& peer_listener::statistics() const noexcept
{
    return this->server->statistics();
}

std::size_t peer_listener::call_count() const noexcept
{
    return this->server->stream_count();
}

void peer_listener::handle_call(const std::shared_ptr<peer::server_call>& call)
{
    const auto& header = call->request();
    if (!this->has_valid_cluster_key(*call))
    {
        this->refuse(*call, errc::unknown_peer);
        return;
    }
    if (std::string_view{header.target}.starts_with(internal_path))
    {
        const auto document = this->events.document(header.target);
        http::response_header response{.status = document.status};
        response.fields.add("content-type", document.content_type);
        http::respond(call, std::move(response), document.body);
        return;
    }
    if (field_or_empty(header, detail::service_field) != this->service)
    {
        this->refuse(*call, errc::service_not_served);
        return;
    }
    const auto decoded = peer::decode_call_metadata(header.fields);
    const auto* const metadata = std::get_if<peer::call_metadata>(&decoded);
    if (metadata == nullptr || this->local == nullptr)
    {
        this->refuse(*call, metadata != nullptr ? std::error_code{errc::no_configuration}
                                                : std::get<peer::metadata_error>(decoded).code);
        return;
    }
    const auto remaining =
        call->clock().remaining(metadata->time_left, metadata->sent_at, to_microseconds(call->received_at()));
    received_call received;
    received.id = metadata->request_id;
    received.tenant = metadata->tenant;
    received.traffic_class = metadata->traffic_class;
    received.deadline = call->received_at() + remaining;
    if (metadata->target_left)
    {
        // The time that the call spent on the network is subtracted from the target as well as from the deadline.
        received.target = received.deadline - metadata->time_left + *metadata->target_left;
    }
    received.depth = metadata->depth;
    received.attempt = metadata->attempt;
    received.awaits_acceptance = header.fields.find(detail::awaits_acceptance_field) != nullptr;
    if (header.fields.find(detail::redirected_field) == nullptr)
    {
        received.best_peer_wait = this->events.best_peer_wait();
    }
    if (this->events.on_caller)
    {
        this->events.on_caller(call->caller());
    }
    if (received.deadline <= this->loop->now())
    {
        this->refuse(*call, admission::errors::deadline_passed);
        return;
    }
    http::request_header request = header;
    detail::remove_internal_fields(request.fields);
    const auto bridge = std::make_shared<detail::peer_call_bridge>(call, this->events.config_version);
    bridge->start(*this->local, std::move(request), std::move(received));
}

void peer_listener::refuse(peer::server_call& call, std::error_code reason)
{
    detail::respond_to_failure(call, {attempts::refused{}, reason, false, {}}, this->events.config_version());
}

bool peer_listener::has_valid_cluster_key(const peer::server_call& call) const
{
    const auto received_key = field_or_empty(call.request(), detail::cluster_key_field);
    const auto& expected_key = this->identity->cluster_key;
    return received_key.size() == expected_key.size() &&
           CRYPTO_memcmp(received_key.data(), expected_key.data(), expected_key.size()) == 0;
}

} // namespace poplarport::node
