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
        double gap_s = length_s;
        if (rate > 0.0)
        {
            gap_s = running.arrivals == arrival_process::constant
                        ? 1.0 / rate
                        : std::exponential_distribution<double>{rate}(this->random);
        }
        this->position_s += gap_s;
        if (this->position_s < length_s)
        {
            const seconds_f offset{this->phase_start_s + this->position_s};
            return arrival{std::chrono::duration_cast<core::duration>(offset), this->current};
        }
        this->phase_start_s += length_s;
        this->position_s = 0.0;
        ++this->current;
    }
    return std::nullopt;
}

} // namespace poplarport::load
