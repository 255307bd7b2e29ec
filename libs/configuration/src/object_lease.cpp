#include "poplarport/configuration/object_lease.hpp"

#include <utility> // move

namespace poplarport::configuration
{

object_lease::object_lease(core::node_id self, std::chrono::milliseconds duration)
    : local_id(std::move(self)), lease_duration(duration)
{
}

void object_lease::on_read(const std::optional<lease_record>& record, core::version version)
{
    this->current_lease = record.value_or(lease_record{});
    this->known_version = version;
    this->pending_lease.reset();
}

std::optional<lease_write> object_lease::acquire(wall_time now)
{
    const bool is_available = this->current_lease.holder.empty() || this->current_lease.holder == this->local_id;
    if (!this->known_version || (!is_available && now < this->current_lease.expiry))
    {
        return std::nullopt;
    }
    this->pending_lease = lease_record{this->local_id, now + this->lease_duration};
    return lease_write{*this->pending_lease, *this->known_version};
}

void object_lease::on_written(core::version version)
{
    if (!this->pending_lease)
    {
        return;
    }
    this->current_lease = *this->pending_lease;
    this->pending_lease.reset();
    this->known_version = version;
}

void object_lease::on_lost() noexcept
{
    this->known_version.reset();
    this->pending_lease.reset();
}

bool object_lease::held(wall_time now) const noexcept
{
    return this->known_version && this->current_lease.holder == this->local_id && now < this->current_lease.expiry;
}

} // namespace poplarport::configuration
