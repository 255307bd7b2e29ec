#include "poplarport/admission/detail/fair_queue.hpp"

#include <algorithm> // max, min
#include <iterator>  // distance, prev
#include <utility>   // move

namespace poplarport::admission::detail
{

namespace
{

constexpr double default_weight = 1.0;

double weight_of(const weights& table, std::string_view name)
{
    const auto found = table.find(name);
    return found == table.end() ? default_weight : found->second;
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

void fair_queue::push(ticket value)
{
    tenant_queue& tenant = this->tenant_of(value.tenant);
    class_queue& traffic_class = this->class_of(tenant, value.traffic_class);
    if (tenant.waiting == 0)
    {
        tenant.virtual_time = std::max(tenant.virtual_time, this->clock);
    }
    if (traffic_class.waiting.empty())
    {
        traffic_class.virtual_time = std::max(traffic_class.virtual_time, tenant.class_clock);
    }
    ++tenant.waiting;
    const core::request_id id = value.id;
    const core::time_point deadline = value.deadline;
    const auto place = traffic_class.waiting.emplace(deadline, std::move(value));
    this->positions.emplace(id, position{&tenant, &traffic_class, place});
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
    ticket value = this->take({next_tenant, next_class, next_class->waiting.begin()});
    return value;
}

bool fair_queue::erase(const core::request_id& id)
{
    const auto found = this->positions.find(id);
    if (found == this->positions.end())
    {
        return false;
    }
    const position place = found->second;
    static_cast<void>(this->take(place));
    return true;
}

std::vector<ticket> fair_queue::take_due_before(core::time_point instant)
{
    std::vector<ticket> due;
    for (auto& [tenant_name, tenant] : this->tenants)
    {
        for (auto& [class_name, traffic_class] : tenant.classes)
        {
            while (!traffic_class.waiting.empty() && traffic_class.waiting.begin()->first < instant)
            {
                due.push_back(this->take({&tenant, &traffic_class, traffic_class.waiting.begin()}));
            }
        }
    }
    return due;
}

std::optional<ticket> fair_queue::displace_for(std::string_view except)
{
    const auto load = [](const tenant_queue& tenant)
    {
        return static_cast<double>(tenant.waiting) / tenant.weight;
    };
    tenant_queue& own = this->tenant_of(except);
    tenant_queue* largest = &own;
    for (auto& [name, tenant] : this->tenants)
    {
        if (load(tenant) > load(*largest))
        {
            largest = &tenant;
        }
    }
    if (largest == &own)
    {
        return std::nullopt;
    }
    class_queue* largest_class = nullptr;
    const auto class_load = [](const class_queue& value)
    {
        return static_cast<double>(value.waiting.size()) / value.weight;
    };
    for (auto& [name, traffic_class] : largest->classes)
    {
        if (largest_class == nullptr || class_load(traffic_class) > class_load(*largest_class))
        {
            largest_class = &traffic_class;
        }
    }
    return this->take({largest, largest_class, std::prev(largest_class->waiting.end())});
}

void fair_queue::charge(std::string_view tenant_name, std::string_view class_name)
{
    tenant_queue& tenant = this->tenant_of(tenant_name);
    class_queue& traffic_class = this->class_of(tenant, class_name);
    tenant.virtual_time = std::max(tenant.virtual_time, this->clock);
    this->clock = tenant.virtual_time;
    tenant.virtual_time += 1.0 / tenant.weight;
    traffic_class.virtual_time = std::max(traffic_class.virtual_time, tenant.class_clock);
    tenant.class_clock = traffic_class.virtual_time;
    traffic_class.virtual_time += 1.0 / traffic_class.weight;
    ++tenant.running;
}

void fair_queue::on_ended(std::string_view tenant_name)
{
    tenant_queue& tenant = this->tenant_of(tenant_name);
    tenant.running = tenant.running > 0 ? tenant.running - 1 : 0;
}

double fair_queue::ahead_of(const ticket& value) const
{
    const auto own = this->tenants.find(value.tenant);
    const double weight = weight_of(this->tenant_weights, value.tenant);
    double own_ahead = 0.0;
    if (own != this->tenants.end())
    {
        const auto own_class = own->second.classes.find(value.traffic_class);
        const double class_weight = weight_of(this->class_weights, value.traffic_class);
        double class_ahead = 0.0;
        if (own_class != own->second.classes.end())
        {
            const auto& waiting = own_class->second.waiting;
            class_ahead = static_cast<double>(std::distance(waiting.begin(), waiting.upper_bound(value.deadline)));
        }
        own_ahead = class_ahead;
        for (const auto& [name, other] : own->second.classes)
        {
            const double served_meanwhile = (class_ahead + 1.0) * other.weight / class_weight;
            const bool is_other = name != value.traffic_class;
            own_ahead += is_other ? std::min(static_cast<double>(other.waiting.size()), served_meanwhile) : 0.0;
        }
    }
    double ahead = own_ahead;
    for (const auto& [name, other] : this->tenants)
    {
        const double served_meanwhile = (own_ahead + 1.0) * other.weight / weight;
        const bool is_other = name != value.tenant;
        ahead += is_other ? std::min(static_cast<double>(other.waiting), served_meanwhile) : 0.0;
    }
    return ahead;
}

double fair_queue::share(std::string_view tenant_name) const
{
    const double own_weight = weight_of(this->tenant_weights, tenant_name);
    double total = own_weight;
    for (const auto& [name, tenant] : this->tenants)
    {
        const bool is_active = tenant.waiting > 0 || tenant.running > 0;
        total += is_active && name != tenant_name ? tenant.weight : 0.0;
    }
    return own_weight / total;
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

fair_queue::tenant_queue& fair_queue::tenant_of(std::string_view name)
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

fair_queue::class_queue& fair_queue::class_of(tenant_queue& tenant, std::string_view name) const
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

ticket fair_queue::take(const position& place)
{
    ticket value = std::move(place.ticket->second);
    place.traffic_class->waiting.erase(place.ticket);
    --place.tenant->waiting;
    this->positions.erase(value.id);
    return value;
}

} // namespace poplarport::admission::detail
