#pragma once

#include <cstddef>       // size_t
#include <map>           // map, multimap
#include <optional>      // optional
#include <string>        // string
#include <string_view>   // string_view
#include <unordered_map> // unordered_map
#include <vector>        // vector

#include "poplarport/admission/ticket.hpp"
#include "poplarport/core/ids.hpp"
#include "poplarport/core/time.hpp"

namespace poplarport::admission::detail
{

/// @brief Weights by name; a name that is not listed has weight 1.
using weights = std::map<std::string, double, std::less<>>;

/// @brief Weighted fair queue over tenants and, within a tenant, over classes; ordered by deadline within a class.
///
/// Start-time fair queueing: each start advances the virtual time of its tenant by 1 / weight, and the waiting tenant
/// with the lowest virtual time is served next. Tenant names are authenticated and class names come from the manifest,
/// so their number is bounded.
class fair_queue
{
  public:
    fair_queue(weights by_tenant, weights by_class)
        : tenant_weights(std::move(by_tenant)), class_weights(std::move(by_class))
    {
    }

    /// @brief Replaces the weights, also for tickets that are already queued.
    void set_weights(weights by_tenant, weights by_class);

    /// @brief Adds a ticket; its id must not be in the queue.
    void push(ticket queued);

    /// @brief Removes the ticket that is served next.
    /// @return the ticket, or nothing if the queue is empty
    [[nodiscard]] std::optional<ticket> pop();

    /// @return whether the ticket was in the queue
    bool erase(const core::request_id& id);

    [[nodiscard]] bool contains(const core::request_id& id) const
    {
        return this->positions.contains(id);
    }

    /// @brief Removes all tickets whose deadline is before a cutoff.
    [[nodiscard]] std::vector<ticket> remove_due_before(core::time_point cutoff);

    /// @brief Removes the least urgent ticket of the tenant with the most queued tickets relative to its weight.
    /// @param[in] favored_tenant the tenant that needs a place in the queue; nothing is removed if that tenant itself
    /// has the most
    [[nodiscard]] std::optional<ticket> displace_for(std::string_view favored_tenant);

    /// @brief Charges the start of a ticket to its tenant and class, whether or not the ticket was queued.
    void charge(std::string_view tenant, std::string_view traffic_class);

    /// @brief Counts a running ticket of a tenant as finished.
    void on_ended(std::string_view tenant);

    /// @return an estimate of the number of queued tickets that start before the given one
    [[nodiscard]] double count_ahead_of(const ticket& offered) const;

    /// @return the fraction of the queue to which a tenant is entitled among the active tenants, from 0 to 1
    [[nodiscard]] double share(std::string_view tenant) const;

    /// @return the number of queued tickets of a tenant
    [[nodiscard]] std::size_t size(std::string_view tenant) const;

    /// @return the number of queued tickets
    [[nodiscard]] std::size_t size() const noexcept
    {
        return this->positions.size();
    }

    /// @return the earliest deadline in the queue
    [[nodiscard]] std::optional<core::time_point> earliest_deadline() const;

  private:
    using tickets_by_deadline = std::multimap<core::time_point, ticket>;

    struct class_queue
    {
        double weight{1.0};
        double virtual_time{0.0};
        tickets_by_deadline waiting;
    };

    struct tenant_queue
    {
        double weight{1.0};
        double virtual_time{0.0};
        double class_virtual_clock{0.0}; // virtual start time of the tenant's last started ticket
        std::size_t waiting{0};
        std::size_t running{0};
        std::map<std::string, class_queue, std::less<>> classes;
    };

    struct position
    {
        tenant_queue* tenant;
        class_queue* traffic_class;
        tickets_by_deadline::iterator ticket;
    };

    [[nodiscard]] tenant_queue& find_or_add_tenant(std::string_view name);
    [[nodiscard]] class_queue& find_or_add_class(tenant_queue& tenant, std::string_view name) const;
    [[nodiscard]] ticket remove(const position& queued);

    weights tenant_weights;
    weights class_weights;
    std::map<std::string, tenant_queue, std::less<>> tenants;
    std::unordered_map<core::request_id, position> positions;
    double virtual_clock{0.0}; // virtual start time of the last started ticket
};

} // namespace poplarport::admission::detail
