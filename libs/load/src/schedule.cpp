#include "poplarport/load/schedule.hpp"

#include <utility> // move

namespace poplarport::load
{

namespace
{

using fractional_seconds = std::chrono::duration<double>;

} // namespace

schedule::schedule(std::vector<phase> run_phases, std::uint64_t seed)
    : phases(std::move(run_phases)), random_engine(seed)
{
}

std::optional<arrival> schedule::next()
{
    while (this->current_phase < this->phases.size())
    {
        const auto& active_phase = this->phases[this->current_phase];
        const double rate = active_phase.calls_per_second;
        const double length_s = fractional_seconds{active_phase.length}.count();
        if (rate <= 0.0)
        {
            this->phase_offset_s = length_s;
        }
        else if (active_phase.arrivals == arrival_process::constant)
        {
            // Multiples avoid the rounding errors that a sum of inter-arrival times would accumulate.
            this->phase_offset_s = static_cast<double>(this->arrivals_in_phase) / rate;
        }
        else
        {
            this->phase_offset_s += std::exponential_distribution<double>{rate}(this->random_engine);
        }
        if (this->phase_offset_s < length_s)
        {
            ++this->arrivals_in_phase;
            const fractional_seconds offset{this->phase_start_s + this->phase_offset_s};
            return arrival{std::chrono::duration_cast<core::duration>(offset), this->current_phase};
        }
        this->phase_start_s += length_s;
        this->phase_offset_s = 0.0;
        this->arrivals_in_phase = 0;
        ++this->current_phase;
    }
    return std::nullopt;
}

} // namespace poplarport::load
