#include "poplarport/load/schedule.hpp"

#include <utility> // move

namespace poplarport::load
{

namespace
{

using seconds_f = std::chrono::duration<double>;

} // namespace

schedule::schedule(std::vector<phase> values, std::uint64_t seed) : phases(std::move(values)), random(seed)
{
}

std::optional<arrival> schedule::next()
{
    while (this->current < this->phases.size())
    {
        const auto& running = this->phases[this->current];
        const double rate = running.calls_per_second;
        const double length_s = seconds_f{running.length}.count();
        if (rate <= 0.0)
        {
            this->phase_offset_s = length_s;
        }
        else if (running.arrivals == arrival_process::constant)
        {
            // A sum of gaps would collect rounding errors.
            this->phase_offset_s = static_cast<double>(this->arrivals_in_phase) / rate;
        }
        else
        {
            this->phase_offset_s += std::exponential_distribution<double>{rate}(this->random);
        }
        if (this->phase_offset_s < length_s)
        {
            ++this->arrivals_in_phase;
            const seconds_f offset{this->phase_start_s + this->phase_offset_s};
            return arrival{std::chrono::duration_cast<core::duration>(offset), this->current};
        }
        this->phase_start_s += length_s;
        this->phase_offset_s = 0.0;
        this->arrivals_in_phase = 0;
        ++this->current;
    }
    return std::nullopt;
}

} // namespace poplarport::load
