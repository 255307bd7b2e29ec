#include "poplarport/configuration/claim.hpp"

#include <utility> // move

namespace poplarport::configuration
{

claim::claim(core::node_id self, std::chrono::milliseconds duration) : own_id(std::move(self)), length(duration)
{
}

void claim::on_read(const std::optional<claim_record>& record, core::version version)
{
    this->current = record.value_or(claim_record{});
    this->seen = version;
    this->proposed.reset();
}

std::optional<claim_write> claim::acquire(wall_time now)
{
    const bool free = this->current.holder.empty() || this->current.holder == this->own_id;
    if (!this->seen || (!free && now < this->current.expiry))
    {
        return std::nullopt;
    }
    this->proposed = claim_record{this->own_id, now + this->length};
    return claim_write{*this->proposed, *this->seen};
}

void claim::on_written(core::version version)
{
    if (!this->proposed)
    {
        return;
    }
    this->current = *this->proposed;
    this->proposed.reset();
    this->seen = version;
}

void claim::on_lost() noexcept
{
    this->seen.reset();
    this->proposed.reset();
}

bool claim::held(wall_time now) const noexcept
{
    return this->seen && this->current.holder == this->own_id && now < this->current.expiry;
}

} // namespace poplarport::configuration
