#include "poplarport/node/observer_task.hpp"

#include <algorithm> // min
#include <chrono>    // milliseconds, seconds
#include <utility>   // move

#include "poplarport/core/jitter.hpp"
#include "poplarport/node/detail/document_pull.hpp"
#include "poplarport/node/detail/seeds_codec.hpp"
#include "poplarport/wire/member_list.hpp"

namespace poplarport::node
{

namespace
{

constexpr std::chrono::milliseconds initial_backoff{200};
constexpr std::chrono::seconds max_backoff{30};

// Interval between reads of the seeds object while the member list is not empty. The seeds are still read because all
// listed members may have been replaced.
constexpr std::chrono::minutes seeds_interval{5};

membership::observer_settings observer_settings()
{
    membership::observer_settings settings;
    // A node is ready only when it has the members of the services that it calls, so the first pull must not be
    // delayed for long.
    settings.start_jitter = std::chrono::milliseconds{200};
    return settings;
}

} // namespace

observer_task::observer_task(net::event_loop& event_loop, const node_identity& self, std::string service_name,
                             service_router& target, platform_client& client, std::mt19937_64& random_engine,
                             members_hook hook)
    : loop(&event_loop), identity(&self), service(std::move(service_name)), router(&target), platform(&client),
      random(&random_engine), on_members(std::move(hook)),
      observer(self.id, observer_settings(), event_loop.now(), random_engine),
      wakeup(event_loop, [this] { this->tick(); }), seeds_wakeup(event_loop, [this] { this->read_seeds(); }),
      seeds_backoff(initial_backoff)
{
    this->read_seeds();
}

observer_task::~observer_task()
{
    *this->alive = false;
}

std::vector<membership::member> observer_task::members() const
{
    return this->observer.members();
}

void observer_task::read_seeds()
{
    this->platform->read("seeds/" + this->service,
                         [this, still_alive = this->alive](const platform_read& result)
                         {
                             if (!*still_alive)
                             {
                                 return;
                             }
                             const auto document = result.value ? detail::decode_seeds(*result.value) : std::nullopt;
                             if (document)
                             {
                                 this->observer.set_seeds(membership::addresses_of(*document));
                                 this->schedule();
                             }
                         });
    this->seeds_backoff = std::min<core::duration>(this->seeds_backoff * 2, max_backoff);
    const auto wait = this->members().empty() ? this->seeds_backoff : core::duration{seeds_interval};
    this->seeds_wakeup.schedule(core::jittered_interval(wait, *this->random));
}

void observer_task::tick()
{
    for (const auto& request : this->observer.tick(this->loop->now(), *this->random))
    {
        this->pull(request);
    }
    this->schedule();
}

void observer_task::pull(const membership::list_pull& request)
{
    const auto target = "/.poplar/members/" + this->service + "?hash=" + std::to_string(request.known_hash);
    const auto handle = [this, from = request.from](const detail::document_reply& reply)
    {
        const auto now = this->loop->now();
        std::error_code error;
        const auto list = reply.status == 0 ? std::nullopt : wire::decode_list(reply.body, error);
        if (!list)
        {
            this->observer.on_failed(from, now, *this->random);
        }
        else if (!this->observer.on_list(from, *list, now, *this->random).empty())
        {
            this->on_members(this->members());
        }
        this->schedule();
    };
    // Handled in a later iteration of the event loop, because a changed list may destroy the link that received it.
    detail::request_document(this->router->link_to(request.from), this->identity->cluster_key, target,
                             [this, handle, still_alive = this->alive](const detail::document_reply& reply)
                             {
                                 if (!*still_alive)
                                 {
                                     return;
                                 }
                                 this->loop->post(
                                     [handle, reply, still_alive]
                                     {
                                         if (*still_alive)
                                         {
                                             handle(reply);
                                         }
                                     });
                             });
}

void observer_task::schedule()
{
    this->wakeup.schedule(this->observer.next_wakeup() - this->loop->now());
}

} // namespace poplarport::node
