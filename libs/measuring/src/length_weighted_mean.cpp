#include "poplarport/measuring/length_weighted_mean.hpp"

namespace poplarport::measuring
{

void length_weighted_mean::add(core::duration sample) noexcept
{
    if (!this->average)
    {
        this->average = sample;
        return;
    }
    if (sample <= core::duration::zero())
    {
        return;
    }
    const auto length = static_cast<double>(sample.count());
    const auto others = (this->covered - 1.0) * static_cast<double>(this->average->count());
    const auto step = static_cast<double>((sample - *this->average).count()) * length / (others + length);
    *this->average += core::duration{static_cast<core::duration::rep>(step)};
}

} // namespace poplarport::measuring
