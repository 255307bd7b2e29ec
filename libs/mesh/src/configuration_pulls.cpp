#include "poplarport/mesh/configuration_task.hpp"

#include <chrono>  // milliseconds
#include <utility> // exchange
#include <vector>  // erase_if, vector

#include "poplarport/observability/log_record.hpp"

// How a node gets a version of the configuration that a member has announced.

namespace poplarport::mesh
{

namespace
{

// Time for which a watcher waits for the store's response before it pulls the version from a member that has it.
constexpr std::chrono::milliseconds pull_delay{150};
constexpr std::chrono::milliseconds pull_retry_delay{200};

// A pull over a silent connection ends only after seconds; a call to the store, or a pull from another member, starts
// after this time.
constexpr std::chrono::milliseconds next_pull_delay{300};

} // namespace

void configuration_task::expect_version(const core::node_id& announced_by, core::version version)
{
    if (version <= this->document.version)
    {
        return;
    }
    if (version > this->newest_known)
    {
        this->newest_known = version;
        observability::log_record{"configuration_announced"}
            .with("version", static_cast<std::int64_t>(version))
            .with("held_version", static_cast<std::int64_t>(this->document.version))
            .with("member", announced_by)
            .write(observability::log_level::info);
        this->pulls.on_announced(this->loop->now());
    }
    if (!this->pull_wakeup.is_scheduled() && this->pulls.empty())
    {
        const bool expects_store_response =
            this->watching.step_in_progress() == configuration::watch_step::watch && this->document.version != 0;
        this->pull_wakeup.schedule(expects_store_response ? pull_delay : std::chrono::milliseconds{0});
    }
}

void configuration_task::pull()
{
    auto newer = this->newer_members();
    if (newer.empty())
    {
        return;
    }
    std::erase_if(newer, [this](const core::node_id& id) { return this->pulls.contains(id); });
    const bool expects_store_response = this->watching.step_in_progress() != configuration::watch_step::none;
    if ((this->pulls.is_nearly_full() || newer.empty()) && !expects_store_response)
    {
        // The members respond too late.
        this->read_instead_of_pull();
    }
    if (this->pulls.has_room() && !newer.empty())
    {
        this->pull_from(newer[(*this->random)() % newer.size()]);
    }
}

void configuration_task::read_instead_of_pull()
{
    if (std::exchange(this->is_reading_instead_of_pull, true))
    {
        return;
    }
    observability::log_record{"configuration_read_instead_of_pull"}
        .with("held_version", static_cast<std::int64_t>(this->document.version))
        .with("newest_known", static_cast<std::int64_t>(this->newest_known))
        .write(observability::log_level::warning);
    this->platform_adapter->objects->list(
        this->platform_adapter->configuration_kind, store::consistency::latest,
        [this, still_alive = this->alive](const store::outcome<store::listing>& result)
        {
            if (!*still_alive)
            {
                return;
            }
            this->is_reading_instead_of_pull = false;
            if (result.value)
            {
                this->accept_objects(*result.value);
            }
            else if (!this->pull_wakeup.is_scheduled())
            {
                this->pull_wakeup.schedule(pull_retry_delay);
            }
        });
}

std::vector<core::node_id> configuration_task::newer_members() const
{
    std::vector<core::node_id> same_zone;
    std::vector<core::node_id> other_zones;
    for (const auto& [id, peer] : this->peers)
    {
        if (peer.version > this->document.version)
        {
            auto& list = peer.availability_zone == this->availability_zone ? same_zone : other_zones;
            list.push_back(id);
        }
    }
    // A pull within the zone is free of charge. A second concurrent pull may use any zone, in case the local one is
    // partitioned.
    const bool prefers_same_zone = !same_zone.empty() && this->pulls.empty();
    if (!prefers_same_zone)
    {
        same_zone.insert(same_zone.end(), other_zones.begin(), other_zones.end());
    }
    return same_zone;
}

void configuration_task::pull_from(const core::node_id& id)
{
    auto* const link = this->events.link_of(id);
    if (link == nullptr)
    {
        this->end_pull(false);
        return;
    }
    this->pulls.on_begun(id, this->loop->now());
    this->pull_wakeup.schedule(next_pull_delay);
    node::detail::pull_document(
        *link, this->cluster_key, "/.poplar/config/mesh?above=" + std::to_string(this->document.version),
        [this, id, started_at = this->loop->now(), still_alive = this->alive](const node::detail::pull_result& result)
        {
            if (*still_alive)
            {
                this->handle_pulled(id, started_at, result);
            }
        });
}

void configuration_task::handle_pulled(const core::node_id& id, core::time_point started_at,
                                       const node::detail::pull_result& result)
{
    this->pulls.on_ended(id);
    observability::log_record{"configuration_pull_ended"}
        .with("member", id)
        .with("responded", result.responded ? "true" : "false")
        .with("too_large", result.is_too_large ? "true" : "false")
        .with("version", static_cast<std::int64_t>(result.document ? result.document->version : 0))
        .with("held_version", static_cast<std::int64_t>(this->document.version))
        .with("took_us", this->loop->now() - started_at)
        .write(observability::log_level::info);
    const auto held_before = this->document.version;
    const bool is_accepted = result.document && this->accept_document(result.document->content, id);
    // Another pull, or the store, may have brought the version meanwhile.
    this->end_pull(is_accepted || held_before >= this->newest_known);
}

void configuration_task::end_pull(bool has_newer_version)
{
    this->fallback.on_pull_ended(has_newer_version, this->loop->now(), *this->random);
    if (!has_newer_version && this->fallback.take_read(this->loop->now(), *this->random))
    {
        this->read_instead_of_pull();
    }
    this->pull_wakeup.schedule(pull_retry_delay);
}

node::peer_document configuration_task::respond_to_pull(std::string_view target)
{
    if (this->document.version <= node::detail::query_number(target, "above"))
    {
        return node::detail::make_document_response(nullptr, target);
    }
    const bool compressed = node::detail::accepts_compression(target);
    auto& response = this->encoded_documents[compressed];
    if (response.status == 0)
    {
        response = node::detail::encode_document(this->document, compressed);
    }
    return response;
}

} // namespace poplarport::mesh
