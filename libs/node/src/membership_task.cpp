#include "poplarport/node/membership_task.hpp"

#include <algorithm> // min, ranges::copy
#include <chrono>    // milliseconds, seconds, system_clock
#include <iterator>  // back_inserter
#include <utility>   // move

#include "poplarport/core/jitter.hpp"
#include "poplarport/node/detail/overloaded.hpp"
#include "poplarport/node/detail/seeds_codec.hpp"
#include "poplarport/observability/log_record.hpp"
#include "poplarport/wire/datagram.hpp"
#include "poplarport/wire/member_list.hpp"

namespace poplarport::node
{

namespace
{

constexpr std::chrono::milliseconds initial_seeds_backoff{200};
constexpr std::chrono::seconds max_seeds_backoff{30};

// With the backoff this is about three seconds, in which a live seed responds several times.
constexpr int max_reads_while_alone = 4;

membership::wall_time wall_now()
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

membership::member make_member(const node_identity& identity, const membership_parameters& parameters)
{
    membership::member self;
    self.id = identity.id;
    self.incarnation = make_incarnation();
    self.availability_zone = identity.availability_zone;
    self.peer_address = parameters.peers;
    self.http_address = parameters.callers;
    return self;
}

membership::detector_settings detector_settings()
{
    membership::detector_settings settings;
    // One message per node at start costs the other members little, so a short jitter is sufficient.
    settings.start_jitter = std::chrono::milliseconds{200};
    return settings;
}

std::string seeds_key(const std::string& service)
{
    return "seeds/" + service;
}

} // namespace

membership_task::membership_task(net::event_loop& event_loop, const node_identity& identity,
                                 membership_parameters task_parameters, platform_client& client,
                                 std::mt19937_64& random_engine, hooks callbacks)
    : loop(&event_loop), parameters(std::move(task_parameters)), platform(&client), random(&random_engine),
      events(std::move(callbacks)), duty(parameters.service, identity.id, {}, event_loop.now(), random_engine),
      seeds_wakeup(event_loop, [this] { this->maintain_seeds(); }),
      gossip(event_loop,
             {parameters.service, make_member(identity, parameters), parameters.cluster_secret, detector_settings(),
              parameters.seeds},
             random_engine,
             {.on_members = [this](const auto& members) { this->handle_members(members); },
              .on_idle_hint = this->events.on_idle_hint,
              .on_slowdown_notice = {},
              .on_superseded = this->events.on_superseded}),
      seeds_backoff(initial_seeds_backoff)
{
    this->read_seeds_at_start();
}

membership_task::~membership_task()
{
    *this->alive = false;
}

void membership_task::drain()
{
    this->gossip.update([](membership::detector& detector, core::time_point now) { detector.drain(now); });
    this->events.on_members(this->members());
}

void membership_task::leave()
{
    this->gossip.leave();
}

void membership_task::set_configuration_version(core::version version)
{
    this->gossip.update([version](membership::detector& detector, core::time_point now)
                        { detector.set_configuration_version(version, now); });
}

std::size_t membership_task::idle_hint_bytes(std::uint32_t free_slots) const
{
    constexpr std::size_t ip_and_udp_header_bytes = 28;
    return ip_and_udp_header_bytes +
           wire::encode(wire::idle_hint{this->gossip.detector().self().id, free_slots}, this->parameters.cluster_secret)
               .size();
}

std::size_t membership_task::send_idle_hint(const core::socket_address& to, std::uint32_t free_slots)
{
    const auto bytes =
        wire::encode(wire::idle_hint{this->gossip.detector().self().id, free_slots}, this->parameters.cluster_secret);
    this->gossip.send(to, bytes);
    return bytes.size();
}

std::vector<membership::member> membership_task::members() const
{
    return this->gossip.members();
}

peer_document membership_task::respond_to_pull(std::uint64_t known_hash) const
{
    constexpr int ok = 200;
    return {
        ok, "application/cbor",
        std::make_shared<const std::string>(wire::encode(this->gossip.detector().list(known_hash, this->loop->now())))};
}

void membership_task::handle_members(const std::vector<membership::member>& live)
{
    this->events.on_members(live);
    this->duty.on_members(live, this->loop->now(), *this->random);
    this->schedule_seeds();
}

void membership_task::read_seeds_at_start()
{
    this->platform->read(seeds_key(this->parameters.service),
                         [this, still_alive = this->alive](const platform_read& result)
                         {
                             if (*still_alive)
                             {
                                 this->handle_seeds_at_start(result);
                             }
                         });
}

void membership_task::handle_seeds_at_start(const platform_read& result)
{
    const auto document = result.value ? detail::decode_seeds(*result.value) : std::nullopt;
    if (document)
    {
        auto addresses = membership::addresses_of(*document);
        std::ranges::copy(this->parameters.seeds, std::back_inserter(addresses));
        this->gossip.update([&addresses](membership::detector& detector, core::time_point)
                            { detector.set_seeds(std::move(addresses)); });
    }
    this->has_read_seeds = result.responded;
    const bool is_alone = this->members().size() <= 1;
    // A node without other members first contacts the listed seeds for a while. Many nodes that start at once would
    // otherwise replace each other's entries and could form several groups.
    const bool waits_for_seeds = document && is_alone && this->reads_while_alone++ < max_reads_while_alone;
    if (result.responded && !waits_for_seeds)
    {
        if (const auto action = this->duty.on_read(document, result.version, this->members(), wall_now()))
        {
            this->execute(*action);
        }
    }
    // The jitter prevents nodes of a zone that start together from sending their requests to the platform at the same
    // time.
    this->seeds_wakeup.schedule(core::jittered_interval(this->seeds_backoff, *this->random));
}

void membership_task::maintain_seeds()
{
    if (!this->has_read_seeds || this->members().size() <= 1)
    {
        // A node without other members reads the seeds again, at increasing intervals, because another first node may
        // have written them in the meantime.
        this->seeds_backoff = std::min<core::duration>(this->seeds_backoff * 2, max_seeds_backoff);
        this->read_seeds_at_start();
        return;
    }
    if (const auto action = this->duty.tick(this->members(), this->loop->now(), *this->random))
    {
        this->execute(*action);
    }
    this->schedule_seeds();
}

void membership_task::schedule_seeds()
{
    if (this->has_read_seeds && this->members().size() > 1)
    {
        this->seeds_wakeup.schedule(this->duty.next_wakeup() - this->loop->now());
    }
}

void membership_task::execute(const membership::seed_action& action)
{
    const auto key = seeds_key(this->parameters.service);
    std::visit(detail::overloaded{[&](const membership::read_seeds&)
                                  {
                                      this->platform->read(key,
                                                           [this, still_alive = this->alive](const platform_read& read)
                                                           {
                                                               if (*still_alive)
                                                               {
                                                                   this->handle_seeds(read);
                                                               }
                                                           });
                                  },
                                  [&](const membership::write_seeds& write)
                                  {
                                      this->platform->write(key, detail::encode_seeds(write.document),
                                                            write.expected_version,
                                                            [this, still_alive = this->alive](platform_write result)
                                                            {
                                                                if (*still_alive)
                                                                {
                                                                    this->handle_written(result);
                                                                }
                                                            });
                                  }},
               action);
}

void membership_task::handle_seeds(const platform_read& result)
{
    if (!result.responded)
    {
        this->duty.on_failed(this->loop->now(), *this->random);
        this->schedule_seeds();
        return;
    }
    this->duty.on_done();
    const auto document = result.value ? detail::decode_seeds(*result.value) : std::nullopt;
    if (document)
    {
        this->gossip.contact(membership::addresses_of(*document));
    }
    if (const auto next = this->duty.on_read(document, result.version, this->members(), wall_now()))
    {
        this->execute(*next);
    }
}

void membership_task::handle_written(platform_write result)
{
    if (result == platform_write::lost)
    {
        this->duty.on_failed(this->loop->now(), *this->random);
        this->schedule_seeds();
        return;
    }
    this->duty.on_done();
}

} // namespace poplarport::node
