#include "poplarport/admission/detail/fair_queue.hpp"

#include <algorithm> // max, min
#include <iterator>  // distance, prev
#include <utility>   // move

namespace poplarport::admission::detail
{

namespace
{

constexpr double default_weight = 1.0;

double weight_of(const weights& weights_by_name, std::string_view name)
{
    const auto found = weights_by_name.find(name);
    return found == weights_by_name.end() ? default_weight : found->second;
}

} // namespace

void fair_queue::set_weights(weights by_tenant, weights by_class)
{
    this->tenant_weights = std::move(by_tenant);
    this->class_weights = std::move(by_class);
    for (auto& [tenant_name, tenant] : this->tenants)
    {
        tenant.weight = weight_of(this->tenant_weights, tenant_name);
        for (auto& [class_name, traffic_class] : tenant.classes)
        {
            traffic_class.weight = weight_of(this->class_weights, class_name);
        }
    }
}

void fair_queue::push(ticket queued)
{
    tenant_queue& tenant = this->find_or_add_tenant(queued.tenant);
    class_queue& traffic_class = this->find_or_add_class(tenant, queued.traffic_class);
    if (tenant.waiting == 0)
    {
        tenant.virtual_time = std::max(tenant.virtual_time, this->virtual_clock);
    }
    if (traffic_class.waiting.empty())
    {
        traffic_class.virtual_time = std::max(traffic_class.virtual_time, tenant.class_virtual_clock);
    }
    ++tenant.waiting;
    const core::request_id id = queued.id;
    const core::time_point deadline = queued.deadline;
    const auto iterator = traffic_class.waiting.emplace(deadline, std::move(queued));
    this->positions.emplace(id, position{&tenant, &traffic_class, iterator});
}

std::optional<ticket> fair_queue::pop()
{
    tenant_queue* next_tenant = nullptr;
    for (auto& [name, tenant] : this->tenants)
    {
        if (tenant.waiting > 0 && (next_tenant == nullptr || tenant.virtual_time < next_tenant->virtual_time))
        {
            next_tenant = &tenant;
        }
    }
    if (next_tenant == nullptr)
    {
        return std::nullopt;
    }
    class_queue* next_class = nullptr;
    for (auto& [name, traffic_class] : next_tenant->classes)
    {
        const bool is_earlier = next_class == nullptr || traffic_class.virtual_time < next_class->virtual_time;
        if (!traffic_class.waiting.empty() && is_earlier)
        {
            next_class = &traffic_class;
        }
    }
    ticket next = this->remove({next_tenant, next_class, next_class->waiting.begin()});
    return next;
}

bool fair_queue::erase(const core::request_id& id)
{
    const auto found = this->positions.find(id);
    if (found == this->positions.end())
    {
        return false;
    }
    const position queued = found->second;
    static_cast<void>(this->remove(queued));
    return true;
}

std::vector<ticket> fair_queue::remove_due_before(core::time_point cutoff)
{
    std::vector<ticket> due;
    for (auto& [tenant_name, tenant] : this->tenants)
    {
        for (auto& [class_name, traffic_class] : tenant.classes)
        {
            while (!traffic_class.waiting.empty() && traffic_class.waiting.begin()->first < cutoff)
            {
                due.push_back(this->remove({&tenant, &traffic_class, traffic_class.waiting.begin()}));
            }
        }
    }
    return due;
}

std::optional<ticket> fair_queue::displace_for(std::string_view favored_tenant)
{
    const auto tenant_load = [](const tenant_queue& tenant)
    {
        return static_cast<double>(tenant.waiting) / tenant.weight;
    };
    tenant_queue& favored = this->find_or_add_tenant(favored_tenant);
    tenant_queue* largest = &favored;
    for (auto& [name, tenant] : this->tenants)
    {
        if (tenant_load(tenant) > tenant_load(*largest))
        {
            largest = &tenant;
        }
    }
    if (largest == &favored)
    {
        return std::nullopt;
    }
    class_queue* largest_class = nullptr;
    const auto class_load = [](const class_queue& traffic_class)
    {
        return static_cast<double>(traffic_class.waiting.size()) / traffic_class.weight;
    };
    for (auto& [name, traffic_class] : largest->classes)
    {
        if (largest_class == nullptr || class_load(traffic_class) > class_load(*largest_class))
        {
            largest_class = &traffic_class;
        }
    }
    return this->remove({largest, largest_class, std::prev(largest_class->waiting.end())});
}

void fair_queue::charge(std::string_view tenant_name, std::string_view class_name)
{
    tenant_queue& tenant = this->find_or_add_tenant(tenant_name);
    class_queue& traffic_class = this->find_or_add_class(tenant, class_name);
    tenant.virtual_time = std::max(tenant.virtual_time, this->virtual_clock);
    this->virtual_clock = tenant.virtual_time;
    tenant.virtual_time += 1.0 / tenant.weight;
    traffic_class.virtual_time = std::max(traffic_class.virtual_time, tenant.class_virtual_clock);
    tenant.class_virtual_clock = traffic_class.virtual_time;
    traffic_class.virtual_time += 1.0 / traffic_class.weight;
    ++tenant.running;
}

void fair_queue::on_ended(std::string_view tenant_name)
{
    tenant_queue& tenant = this->find_or_add_tenant(tenant_name);
    tenant.running = tenant.running > 0 ? tenant.running - 1 : 0;
}

double fair_queue::count_ahead_of(const ticket& offered) const
{
    const auto found_tenant = this->tenants.find(offered.tenant);
    const double tenant_weight = weight_of(this->tenant_weights, offered.tenant);
    double tenant_ahead = 0.0;
    if (found_tenant != this->tenants.end())
    {
        const auto found_class = found_tenant->second.classes.find(offered.traffic_class);
        const double class_weight = weight_of(this->class_weights, offered.traffic_class);
        double class_ahead = 0.0;
        if (found_class != found_tenant->second.classes.end())
        {
            const auto& waiting = found_class->second.waiting;
            class_ahead = static_cast<double>(std::distance(waiting.begin(), waiting.upper_bound(offered.deadline)));
        }
        tenant_ahead = class_ahead;
        for (const auto& [name, other] : found_tenant->second.classes)
        {
            const double started_before = (class_ahead + 1.0) * other.weight / class_weight;
            const bool is_other = name != offered.traffic_class;
            tenant_ahead += is_other ? std::min(static_cast<double>(other.waiting.size()), started_before) : 0.0;
        }
    }
    double total_ahead = tenant_ahead;
    for (const auto& [name, other] : this->tenants)
    {
        const double started_before = (tenant_ahead + 1.0) * other.weight / tenant_weight;
        const bool is_other = name != offered.tenant;
        total_ahead += is_other ? std::min(static_cast<double>(other.waiting), started_before) : 0.0;
    }
    return total_ahead;
}

double fair_queue::share(std::string_view tenant_name) const
{
    const double tenant_weight = weight_of(this->tenant_weights, tenant_name);
    double total = tenant_weight;
    for (const auto& [name, tenant] : this->tenants)
    {
        const bool is_active = tenant.waiting > 0 || tenant.running > 0;
        total += is_active && name != tenant_name ? tenant.weight : 0.0;
    }
    return tenant_weight / total;
}

std::size_t fair_queue::size(std::string_view tenant_name) const
{
    const auto found = this->tenants.find(tenant_name);
    return found == this->tenants.end() ? 0 : found->second.waiting;
}

std::optional<core::time_point> fair_queue::earliest_deadline() const
{
    std::optional<core::time_point> earliest;
    for (const auto& [tenant_name, tenant] : this->tenants)
    {
        for (const auto& [class_name, traffic_class] : tenant.classes)
        {
            if (!traffic_class.waiting.empty())
            {
                const core::time_point first = traffic_class.waiting.begin()->first;
                earliest = earliest ? std::min(*earliest, first) : first;
            }
        }
    }
    return earliest;
}

fair_queue::tenant_queue& fair_queue::find_or_add_tenant(std::string_view name)
{
    const auto found = this->tenants.find(name);
    if (found != this->tenants.end())
    {
        return found->second;
    }
    tenant_queue& added = this->tenants[std::string{name}];
    added.weight = weight_of(this->tenant_weights, name);
    return added;
}

fair_queue::class_queue& fair_queue::find_or_add_class(tenant_queue& tenant, std::string_view name) const
{
    const auto found = tenant.classes.find(name);
    if (found != tenant.classes.end())
    {
        return found->second;
    }
    class_queue& added = tenant.classes[std::string{name}];
    added.weight = weight_of(this->class_weights, name);
    return added;
}

ticket fair_queue::remove(const position& queued)
{
    ticket removed = std::move(queued.ticket->second);
    queued.traffic_class->waiting.erase(queued.ticket);
    --queued.tenant->waiting;
    this->positions.erase(removed.id);
    return removed;
}

} // namespace poplarport::admission::detail
