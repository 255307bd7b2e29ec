#include "poplarport/observability/request_log_limit.hpp"

#include <xxhash.h>

namespace poplarport::observability
{

namespace
{

// Without a limit, a busy node would spend more processor time on its log than on its calls.
constexpr std::uint32_t records_per_second = 400;

// Limit for requests outside the sample; the remaining records are reserved for the sample.
constexpr std::uint32_t unsampled_records_per_second = records_per_second / 2;

// One request in this many is in the sample.
constexpr std::uint64_t sample_divisor = 8;

} // namespace

bool request_log_limit::is_sampled(std::string_view id) noexcept
{
    const auto request_id = id.substr(0, id.find('.'));
    return XXH64(request_id.data(), request_id.size(), 0) % sample_divisor == 0;
}

bool request_log_limit::admits(std::string_view id, std::chrono::steady_clock::time_point now) noexcept
{
    if (now - this->window_start >= std::chrono::seconds{1})
    {
        this->window_start = now;
        this->written = 0;
    }
    const auto limit = is_sampled(id) ? records_per_second : unsampled_records_per_second;
    if (this->written >= limit)
    {
        return false;
    }
    ++this->written;
    return true;
}

} // namespace poplarport::observability
