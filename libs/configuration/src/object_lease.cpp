#include "poplarport/configuration/object_lease.hpp"

#include <utility> // move

namespace poplarport::configuration
{

object_lease::object_lease(core::node_id self, std::chrono::milliseconds duration)
    : local_id(std::move(self)), length(duration)
{
}

void object_lease::on_read(const std::optional<lease_record>& record, core::version version)
{
    this->current = record.value_or(lease_record{});
    this->seen = version;
    this->proposed.reset();
}

std::optional<lease_write> object_lease::acquire(wall_time now)
{
    const bool free = this->current.holder.empty() || this->current.holder == this->local_id;
    if (!this->seen || (!free && now < this->current.expiry))
    {
        return std::nullopt;
    }
    this->proposed = lease_record{this->local_id, now + this->length};
    return lease_write{*this->proposed, *this->seen};
}

void object_lease::on_written(core::version version)
{
    if (!this->proposed)
    {
        return;
    }
    this->current = *this->proposed;
    this->proposed.reset();
    this->seen = version;
}

void object_lease::on_lost() noexcept
{
    this->seen.reset();
    this->proposed.reset();
}

bool object_lease::held(wall_time now) const noexcept
{
    return this->seen && this->current.holder == this->local_id && now < this->current.expiry;
}

} // namespace poplarport::configuration
