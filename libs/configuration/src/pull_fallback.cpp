#include "poplarport/configuration/pull_fallback.hpp"

#include <algorithm> // min

#include "poplarport/core/jitter.hpp"

namespace poplarport::configuration
{

pull_fallback::pull_fallback(const pull_fallback_settings& fallback_settings) noexcept
    : settings(fallback_settings), read_delay(fallback_settings.read_delay)
{
}

void pull_fallback::on_pull_ended(bool has_newer_version, core::time_point now, std::mt19937_64& random)
{
    if (has_newer_version)
    {
        this->failed_pulls = 0;
        this->read_delay = this->settings.read_delay;
        return;
    }
    if (++this->failed_pulls == this->settings.max_failed_pulls)
    {
        this->next_read = now + core::random_duration(this->settings.first_read_spread, random);
    }
}

bool pull_fallback::take_read(core::time_point now, std::mt19937_64& random)
{
    if (this->failed_pulls < this->settings.max_failed_pulls || now < this->next_read)
    {
        return false;
    }
    this->next_read = now + core::jittered_interval(this->read_delay, random);
    this->read_delay = std::min(this->read_delay * 2, this->settings.max_read_delay);
    return true;
}

} // namespace poplarport::configuration
