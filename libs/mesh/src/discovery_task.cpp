#include "poplarport/mesh/discovery_task.hpp"

#include <algorithm> // max, min, ranges::count_if
#include <chrono>    // milliseconds, seconds
#include <utility>   // move

#include <nlohmann/json.hpp>

#include "poplarport/core/jitter.hpp"
#include "poplarport/json_text/json_text.hpp"
#include "poplarport/membership/rendezvous.hpp"
#include "poplarport/observability/log_record.hpp"

namespace poplarport::mesh
{

namespace
{

constexpr const char* node_kind = "poplar-nodes";
constexpr const char* peer_key = "peer";
constexpr const char* deregistered_key = "departed";

constexpr std::chrono::milliseconds initial_read_backoff{250};
constexpr std::chrono::milliseconds max_read_backoff{2000};

// A write conflicts with those of an earlier process of the node or with a call whose response was lost.
constexpr int max_write_tries = 3;

// Nodes write their objects again at random times within this span after the store has come back from an older copy.
constexpr std::chrono::milliseconds restore_spread{1000};

// A restart of a node takes much less time. An object is removed if its node is missing at two checks in a row.
constexpr std::chrono::seconds removal_interval{30};

std::string string_member(const nlohmann::json& value, const char* key)
{
    const bool is_text = value.is_object() && value.contains(key) && value[key].is_string();
    return is_text ? value[key].get<std::string>() : std::string{};
}

// Earlier versions of the program stored the deregistration in the status.
std::string stored_deregistration(const store::object& object)
{
    auto result = string_member(json_text::parse(object.spec), deregistered_key);
    return result.empty() ? string_member(json_text::parse(object.status), deregistered_key) : result;
}

} // namespace

discovery_task::discovery_task(net::event_loop& owner, core::node_id id, core::socket_address address,
                               bool is_first_start, store::object_store& object_store, std::mt19937_64& random_engine,
                               hooks node_hooks)
    : loop(&owner), self(std::move(id)), peer_address(std::move(address)), objects(&object_store),
      random(&random_engine), events(std::move(node_hooks)),
      joining(membership::join_settings{.is_first_start = is_first_start}, owner.now(), random_engine),
      own_object_read(is_first_start), read_backoff(initial_read_backoff),
      read_wakeup(owner, [this] { this->read_own_object(); }), wakeup(owner, [this] { this->run_step(); }),
      removal(owner, [this] { this->list_dead_nodes(); }), restore_wakeup(owner, [this] { this->restore_own_object(); })
{
    this->objects->on_restored(
        [this, still_alive = this->alive]
        {
            if (*still_alive && (this->registers || !this->deregistered_instance.empty()))
            {
                this->missing_nodes.clear();
                this->restore_wakeup.schedule(core::random_duration(restore_spread, *this->random));
            }
        });
    if (!this->own_object_read)
    {
        this->read_own_object();
    }
    this->schedule();
}

discovery_task::~discovery_task()
{
    *this->alive = false;
}

void discovery_task::schedule()
{
    const auto next = this->joining.next_wakeup();
    if (next == core::time_point::max())
    {
        this->wakeup.cancel();
        return;
    }
    this->wakeup.schedule(std::max(next - this->loop->now(), core::duration::zero()));
}

void discovery_task::run_step()
{
    switch (this->joining.tick(this->rank(), this->loop->now(), *this->random))
    {
    case membership::join_step::list:
        this->list();
        break;
    case membership::join_step::register_self:
        this->register_node();
        break;
    case membership::join_step::none:
        break;
    }
    this->schedule();
}

std::string discovery_task::spec() const
{
    auto content = nlohmann::json::object();
    if (this->registers)
    {
        content[peer_key] = core::to_string(this->peer_address);
    }
    if (!this->deregistered_instance.empty())
    {
        content[deregistered_key] = this->deregistered_instance;
    }
    return json_text::dump(content);
}

void discovery_task::read_own_object()
{
    this->objects->get(node_kind, this->self,
                       [this, still_alive = this->alive](const store::outcome<store::object>& result)
                       {
                           if (*still_alive)
                           {
                               this->handle_own_object(result);
                           }
                       });
}

void discovery_task::handle_own_object(const store::outcome<store::object>& result)
{
    if (!result.value && result.error != store::errc::not_found)
    {
        this->log_failure(result.error, "read own object");
        this->read_wakeup.schedule(core::jittered_interval(this->read_backoff, *this->random));
        this->read_backoff = std::min<core::duration>(this->read_backoff * 2, max_read_backoff);
        return;
    }
    this->own_object_read = true;
    if (!result.value)
    {
        return;
    }
    this->own_object = result.value;
    const auto instance = stored_deregistration(*result.value);
    if (!instance.empty() && this->deregistered_instance.empty())
    {
        this->deregistered_instance = instance;
        this->events.on_deregistered(instance);
    }
    const auto stored_address = string_member(json_text::parse(result.value->spec), peer_key);
    if (stored_address == core::to_string(this->peer_address))
    {
        this->registers = true;
        this->joining.on_registered(this->loop->now(), *this->random);
    }
    else if (!stored_address.empty())
    {
        this->register_node();
    }
    this->schedule();
}

void discovery_task::list()
{
    this->objects->list(node_kind, store::consistency::may_lag,
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
        this->log_failure(result.error, "list");
        this->joining.on_failed(this->loop->now(), *this->random);
        this->schedule();
        return;
    }
    std::vector<core::socket_address> addresses;
    for (const auto& each : result.value->objects)
    {
        const auto text = string_member(json_text::parse(each.spec), peer_key);
        const auto address = core::parse_socket_address(text);
        if (!address && (!text.empty() || stored_deregistration(each).empty()))
        {
            observability::log_record{"node_object_rejected"}
                .with("node", each.name)
                .with("revision", static_cast<std::int64_t>(each.changed_at.number))
                .write(observability::log_level::warning);
        }
        if (address && each.name != this->self)
        {
            addresses.push_back(*address);
        }
    }
    observability::log_record{"nodes_listed"}
        .with("nodes", static_cast<std::int64_t>(addresses.size()))
        .with("revision", static_cast<std::int64_t>(result.value->at.number))
        .write(observability::log_level::info);
    this->joining.on_listed(addresses.size(), this->loop->now(), *this->random);
    this->events.on_addresses(addresses);
    this->schedule();
}

void discovery_task::register_node()
{
    this->registers = true;
    this->write_own_object(max_write_tries,
                           [this](std::error_code error)
                           {
                               if (error)
                               {
                                   this->log_failure(error, "register");
                                   this->joining.on_failed(this->loop->now(), *this->random);
                               }
                               else
                               {
                                   observability::log_record{"node_registered"}
                                       .with("members", static_cast<std::int64_t>(this->members.size() + 1))
                                       .write(observability::log_level::info);
                                   this->joining.on_registered(this->loop->now(), *this->random);
                               }
                               this->schedule();
                           });
}

void discovery_task::write_own_object(int tries, std::function<void(std::error_code)> on_end)
{
    auto handle = [this, tries, on_end = std::move(on_end),
                   still_alive = this->alive](const store::outcome<store::object>& result)
    {
        if (*still_alive)
        {
            this->handle_written(result, tries - 1, on_end);
        }
    };
    if (!this->own_object)
    {
        this->objects->create(node_kind, this->self, this->spec(), std::move(handle));
        return;
    }
    auto changed = *this->own_object;
    changed.spec = this->spec();
    this->objects->replace(node_kind, changed, std::move(handle));
}

void discovery_task::handle_written(const store::outcome<store::object>& result, int tries,
                                    const std::function<void(std::error_code)>& on_end)
{
    const bool is_changed = result.error == store::errc::conflict && result.current;
    const bool is_removed = result.error == store::errc::not_found || result.error == store::errc::restored;
    if (result.value)
    {
        this->own_object = result.value;
        on_end({});
        return;
    }
    if (!is_changed && !is_removed)
    {
        on_end(result.error);
        return;
    }
    this->own_object = result.current;
    if (is_changed && this->deregistered_instance.empty())
    {
        this->deregistered_instance = stored_deregistration(*result.current);
    }
    if (tries == 0)
    {
        on_end(result.error);
        return;
    }
    this->write_own_object(tries, on_end);
}

void discovery_task::restore_own_object()
{
    this->objects->get(node_kind, this->self,
                       [this, still_alive = this->alive](const store::outcome<store::object>& result)
                       {
                           if (*still_alive)
                           {
                               this->handle_restored_object(result);
                           }
                       });
}

void discovery_task::handle_restored_object(const store::outcome<store::object>& result)
{
    if (!result.value && result.error != store::errc::not_found)
    {
        this->log_failure(result.error, "read own object after restore");
        this->restore_wakeup.schedule(core::jittered_interval(max_read_backoff, *this->random));
        return;
    }
    this->own_object = result.value;
    const bool is_current = result.value && json_text::parse(result.value->spec) == json_text::parse(this->spec());
    if (is_current)
    {
        return;
    }
    this->write_own_object(max_write_tries,
                           [this](std::error_code error)
                           {
                               observability::log_record{"node_object_written_again"}
                                   .with("era", static_cast<std::int64_t>(this->objects->current_era()))
                                   .with("code", error.value())
                                   .write(observability::log_level::warning);
                               if (error)
                               {
                                   this->restore_wakeup.schedule(
                                       core::jittered_interval(max_read_backoff, *this->random));
                               }
                           });
}

void discovery_task::log_failure(std::error_code error, std::string_view step) const
{
    observability::log_record{"discovery_failed"}
        .with("step", step)
        .with("code", error.value())
        .with("reason", error.message())
        .write(observability::log_level::warning);
}

void discovery_task::add_member(const core::node_id& id)
{
    if (id == this->self || !this->members.emplace(id, membership::rendezvous_weight(node_kind, id)).second)
    {
        return;
    }
    this->missing_nodes.erase(id);
    this->joining.set_peers(this->members.size(), this->loop->now(), *this->random);
    this->schedule();
}

void discovery_task::remove_member(const core::node_id& id)
{
    if (this->members.erase(id) == 0)
    {
        return;
    }
    if (!this->removal.is_scheduled())
    {
        this->removal.schedule(core::jittered_interval(removal_interval, *this->random));
    }
    this->joining.set_peers(this->members.size(), this->loop->now(), *this->random);
    this->schedule();
}

std::size_t discovery_task::rank() const
{
    const auto local_weight = membership::rendezvous_weight(node_kind, this->self);
    const auto higher_ranked =
        std::ranges::count_if(this->members, [&](const auto& each) { return each.second > local_weight; });
    return static_cast<std::size_t>(higher_ranked);
}

void discovery_task::list_dead_nodes()
{
    if (this->rank() != 0)
    {
        this->missing_nodes.clear();
        return;
    }
    this->objects->list(node_kind, store::consistency::may_lag,
                        [this, still_alive = this->alive](const store::outcome<store::listing>& result)
                        {
                            if (!*still_alive)
                            {
                                return;
                            }
                            if (result.value)
                            {
                                this->remove_dead_nodes(*result.value);
                            }
                            if (!result.value || !this->missing_nodes.empty())
                            {
                                this->removal.schedule(core::jittered_interval(removal_interval, *this->random));
                            }
                        });
}

void discovery_task::remove_dead_nodes(const store::listing& listed)
{
    std::set<core::node_id> missing;
    for (const auto& each : listed.objects)
    {
        if (each.name == this->self || this->members.contains(each.name))
        {
            continue;
        }
        if (!this->missing_nodes.contains(each.name))
        {
            missing.insert(each.name);
            continue;
        }
        this->objects->remove(node_kind, each.name, each.changed_at,
                              [id = each.name](const store::outcome<store::object>& removed)
                              {
                                  observability::log_record{"node_object_removed"}
                                      .with("node", id)
                                      .with("code", removed.error.value())
                                      .write(observability::log_level::info);
                              });
    }
    this->missing_nodes = std::move(missing);
}

void discovery_task::store_deregistration(const std::string& instance, std::function<void(bool)> on_end)
{
    this->deregistered_instance = instance;
    this->write_own_object(max_write_tries, [on_end = std::move(on_end)](std::error_code error) { on_end(!error); });
}

} // namespace poplarport::mesh
