#include "poplarport/mesh/discovery_task.hpp"

#include <algorithm> // min, ranges::find
#include <chrono>    // milliseconds, seconds
#include <utility>   // move

#include <nlohmann/json.hpp>

#include "poplarport/membership/jitter.hpp"
#include "poplarport/membership/rendezvous.hpp"
#include "poplarport/observability/log_record.hpp"

namespace poplarport::mesh
{

namespace
{

constexpr const char* node_kind = "poplar-nodes";
constexpr const char* peer_key = "peer";
constexpr const char* deregistered_key = "departed";

constexpr std::chrono::milliseconds initial_backoff{100};

// Nodes must rejoin within two seconds after the store is reachable again.
constexpr std::chrono::milliseconds max_backoff{1000};

// A restart of a node takes much less time.
constexpr std::chrono::seconds removal_delay{30};

std::string string_member(const nlohmann::json& value, const char* key)
{
    const bool is_text = value.is_object() && value.contains(key) && value[key].is_string();
    return is_text ? value[key].get<std::string>() : std::string{};
}

} // namespace

discovery_task::discovery_task(net::event_loop& owner, core::node_id id, core::socket_address address,
                               store::object_store& object_store, std::mt19937_64& random_engine, hooks node_hooks)
    : loop(&owner), self(std::move(id)), peer_address(std::move(address)), objects(&object_store),
      random(&random_engine), events(std::move(node_hooks)), backoff(initial_backoff),
      wakeup(owner, [this] { this->run_step(); }), removal(owner, [this] { this->remove_dead_nodes(); })
{
    this->run_step();
}

discovery_task::~discovery_task()
{
    *this->alive = false;
}

void discovery_task::run_step()
{
    if (!this->registered)
    {
        this->register_node();
        return;
    }
    if (!this->listed)
    {
        this->list();
    }
}

std::string discovery_task::spec() const
{
    return nlohmann::json{{peer_key, core::to_string(this->peer_address)}}.dump();
}

void discovery_task::register_node()
{
    this->objects->create(node_kind, this->self, this->spec(),
                          [this, still_alive = this->alive](const store::outcome<store::object>& result)
                          {
                              if (*still_alive)
                              {
                                  this->handle_registered(result);
                              }
                          });
}

void discovery_task::handle_registered(const store::outcome<store::object>& result)
{
    if (result.value)
    {
        this->registered = true;
        this->run_step();
        return;
    }
    if (result.error != store::errc::conflict || !result.current)
    {
        this->retry(result.error, "enter");
        return;
    }
    const auto status = nlohmann::json::parse(result.current->status, nullptr, false);
    const auto deregistered_instance = string_member(status, deregistered_key);
    if (!deregistered_instance.empty())
    {
        this->events.on_deregistered(deregistered_instance);
    }
    const auto stored_spec = nlohmann::json::parse(result.current->spec, nullptr, false);
    if (string_member(stored_spec, peer_key) != core::to_string(this->peer_address))
    {
        this->replace(*result.current);
        return;
    }
    this->registered = true;
    this->run_step();
}

void discovery_task::replace(store::object current)
{
    current.spec = this->spec();
    this->objects->replace(node_kind, current,
                           [this, still_alive = this->alive](const store::outcome<store::object>& result)
                           {
                               if (!*still_alive)
                               {
                                   return;
                               }
                               if (!result.value)
                               {
                                   this->retry(result.error, "replace");
                                   return;
                               }
                               this->registered = true;
                               this->run_step();
                           });
}

void discovery_task::list()
{
    this->objects->list(node_kind,
                        [this, still_alive = this->alive](const store::outcome<store::listing>& result)
                        {
                            if (*still_alive)
                            {
                                this->handle_listed(result);
                            }
                        });
}

void discovery_task::handle_listed(const store::outcome<store::listing>& result)
{
    if (!result.value)
    {
        this->retry(result.error, "list");
        return;
    }
    this->listed = true;
    std::vector<core::socket_address> addresses;
    for (const auto& each : result.value->objects)
    {
        const auto spec = nlohmann::json::parse(each.spec, nullptr, false);
        const auto address = core::parse_socket_address(string_member(spec, peer_key));
        if (!address)
        {
            observability::log_record{"node_object_rejected"}
                .with("node", each.name)
                .with("revision", static_cast<std::int64_t>(each.changed_at))
                .write(observability::log_level::warning);
            continue;
        }
        if (each.name != this->self)
        {
            addresses.push_back(*address);
            this->dead_nodes.try_emplace(each.name, this->loop->now() + removal_delay);
        }
    }
    observability::log_record{"nodes_listed"}
        .with("nodes", static_cast<std::int64_t>(addresses.size()))
        .with("revision", static_cast<std::int64_t>(result.value->at))
        .write(observability::log_level::info);
    this->events.on_addresses(addresses);
    this->removal.schedule(removal_delay);
}

void discovery_task::retry(std::error_code error, std::string_view step)
{
    observability::log_record{"discovery_failed"}
        .with("step", step)
        .with("code", error.value())
        .with("reason", error.message())
        .write(observability::log_level::warning);
    this->wakeup.schedule(membership::jittered_interval(this->backoff, *this->random));
    this->backoff = std::min<core::duration>(this->backoff * 2, max_backoff);
}

void discovery_task::set_members(const std::vector<membership::member>& live_members)
{
    const auto now = this->loop->now();
    for (const auto& each : this->members)
    {
        this->dead_nodes.try_emplace(each.id, now + removal_delay);
    }
    this->members = live_members;
    for (const auto& each : this->members)
    {
        this->dead_nodes.erase(each.id);
    }
    if (!this->dead_nodes.empty() && !this->removal.is_scheduled())
    {
        this->removal.schedule(removal_delay);
    }
}

bool discovery_task::removes_dead_nodes() const
{
    const auto order = membership::rendezvous_order(node_kind, this->members);
    return !order.empty() && order.front().id == this->self;
}

void discovery_task::remove_dead_nodes()
{
    const auto now = this->loop->now();
    const bool is_remover = this->removes_dead_nodes();
    for (auto each = this->dead_nodes.begin(); each != this->dead_nodes.end();)
    {
        if (each->second > now)
        {
            ++each;
            continue;
        }
        if (is_remover)
        {
            this->remove(each->first);
        }
        each = this->dead_nodes.erase(each);
    }
    if (!this->dead_nodes.empty())
    {
        this->removal.schedule(removal_delay);
    }
}

void discovery_task::remove(const core::node_id& id)
{
    this->objects->get(node_kind, id,
                       [this, id, still_alive = this->alive](const store::outcome<store::object>& result)
                       {
                           const bool is_back =
                               *still_alive &&
                               std::ranges::find(this->members, id, &membership::member::id) != this->members.end();
                           if (!*still_alive || !result.value || is_back)
                           {
                               return;
                           }
                           this->objects->remove(node_kind, id, result.value->changed_at,
                                                 [id](const store::outcome<store::object>& removed)
                                                 {
                                                     observability::log_record{"node_object_removed"}
                                                         .with("node", id)
                                                         .with("code", removed.error.value())
                                                         .write(observability::log_level::info);
                                                 });
                       });
}

void discovery_task::store_deregistration(const std::string& instance, std::function<void(bool)> on_end)
{
    this->objects->replace_status(node_kind, this->self, nlohmann::json{{deregistered_key, instance}}.dump(),
                                  [on_end = std::move(on_end)](const store::outcome<store::object>& result)
                                  { on_end(result.value.has_value()); });
}

} // namespace poplarport::mesh
