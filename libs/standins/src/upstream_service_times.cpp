#include "poplarport/standins/upstream/service_times.hpp"

#include <cmath> // log

namespace poplarport::standins
{

std::optional<service_time_shape> service_time_shape_from_string(std::string_view text)
{
    if (text == "constant")
    {
        return service_time_shape::constant;
    }
    if (text == "exponential")
    {
        return service_time_shape::exponential;
    }
    if (text == "lognormal")
    {
        return service_time_shape::lognormal;
    }
    return std::nullopt;
}

service_times::service_times(const options& values) : chosen(values), random(values.seed)
{
}

core::duration service_times::next()
{
    const double mean = this->chosen.mean.count();
    double value = mean;
    if (mean > 0.0 && this->chosen.shape == service_time_shape::exponential)
    {
        value = std::exponential_distribution<double>{1.0 / mean}(this->random);
    }
    else if (mean > 0.0 && this->chosen.shape == service_time_shape::lognormal)
    {
        // The mean of a lognormal distribution is exp(mu + sigma^2 / 2).
        const double sigma = this->chosen.sigma;
        value = std::lognormal_distribution<double>{std::log(mean) - sigma * sigma / 2.0, sigma}(this->random);
    }
    return std::chrono::duration_cast<core::duration>(fractional_milliseconds{value});
}

} // namespace poplarport::standins
