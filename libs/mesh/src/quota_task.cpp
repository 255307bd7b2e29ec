#include "poplarport/mesh/quota_task.hpp"

#include <algorithm> // max
#include <map>       // map
#include <utility>   // move

#include "poplarport/observability/log_record.hpp"

namespace poplarport::mesh
{

quota_task::quota_task(net::event_loop& owner_loop, core::node_id id, std::mt19937_64& random_engine, hooks node_hooks)
    : loop(&owner_loop), self(std::move(id)), random(&random_engine), events(std::move(node_hooks)),
      max_members_at(owner_loop.now()), report_timer(owner_loop, [this] { this->report(); }),
      announcement_timer(owner_loop, [this] { this->announce(); })
{
}

void quota_task::on_members_changed(std::size_t reachable_members)
{
    this->owners.clear();
    this->members = std::max<std::size_t>(reachable_members, 1);
    const auto now = this->loop->now();
    if (this->members >= this->max_members || now - this->max_members_at > limits::quota_memory)
    {
        this->max_members = this->members;
        this->max_members_at = now;
    }
}

limits::verdict quota_task::admit(const std::string& tenant, const limits::quota& limit)
{
    const auto result = this->share.admit(tenant, limit, this->max_members, this->loop->now(), *this->random);
    this->refused += result.refused ? 1 : 0;
    this->schedule();
    return result;
}

void quota_task::give_back(const std::string& tenant)
{
    this->share.give_back(tenant);
}

std::vector<limits::quota_decision> quota_task::on_reports(const core::node_id& node,
                                                           const std::vector<limits::quota_report>& reports)
{
    std::vector<limits::quota_decision> result;
    const auto now = this->loop->now();
    const double reachable = static_cast<double>(this->members) / static_cast<double>(this->max_members);
    for (const auto& each : reports)
    {
        // A node with another version of the configuration may report a tenant that has no quota here.
        if (const auto quota = this->events.quota_of(each.tenant))
        {
            result.push_back(this->owner.on_report(node, each, *quota, reachable, now));
        }
    }
    if (this->owner.size() > 0 && !this->announcement_timer.is_scheduled())
    {
        this->announcement_timer.schedule(limits::quota_announcement_interval);
    }
    return result;
}

void quota_task::on_decisions(const std::vector<limits::quota_decision>& decisions)
{
    for (const auto& each : decisions)
    {
        this->share.on_decision(each, this->loop->now());
    }
}

void quota_task::report()
{
    std::map<core::node_id, std::vector<limits::quota_report>> by_owner;
    for (auto& each : this->share.take_reports(this->loop->now()))
    {
        by_owner[this->owner_of(each.tenant)].push_back(std::move(each));
    }
    for (const auto& [id, reports] : by_owner)
    {
        if (id == this->self)
        {
            this->on_decisions(this->on_reports(id, reports));
            continue;
        }
        this->events.send_reports(id, reports);
    }
    this->schedule();
}

void quota_task::announce()
{
    const auto now = this->loop->now();
    this->owner.drop_idle(now);
    if (const auto decisions = this->owner.restrictions(now); !decisions.empty())
    {
        this->events.announce(decisions);
        for (const auto& each : decisions)
        {
            observability::log_record{"quota_decided"}
                .with("tenant", each.tenant)
                .with("admitted_per_10000", static_cast<std::int64_t>(each.fraction * 10'000.0))
                .with("wait_us", each.wait)
                .write(observability::log_level::info);
        }
    }
    if (this->owner.size() > 0)
    {
        this->announcement_timer.schedule(limits::quota_announcement_interval);
    }
}

void quota_task::schedule()
{
    const auto next = this->share.next_report();
    if (next == core::time_point::max())
    {
        this->report_timer.cancel();
        return;
    }
    this->report_timer.schedule(std::max(next - this->loop->now(), core::duration::zero()));
}

const core::node_id& quota_task::owner_of(const std::string& tenant)
{
    const auto [position, is_new] = this->owners.try_emplace(tenant);
    if (is_new)
    {
        position->second = this->events.owner_of(tenant);
    }
    return position->second;
}

} // namespace poplarport::mesh
