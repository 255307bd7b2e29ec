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

service_times::service_times(const options& generator_options)
    : parameters(generator_options), random_engine(generator_options.seed)
{
}

core::duration service_times::next()
{
    const double mean = this->parameters.mean.count();
    double duration_ms = mean;
    if (mean > 0.0 && this->parameters.shape == service_time_shape::exponential)
    {
        duration_ms = std::exponential_distribution<double>{1.0 / mean}(this->random_engine);
    }
    else if (mean > 0.0 && this->parameters.shape == service_time_shape::lognormal)
    {
        // The mean of a lognormal distribution is exp(mu + sigma^2 / 2).
        const double sigma = this->parameters.sigma;
        duration_ms =
            std::lognormal_distribution<double>{std::log(mean) - sigma * sigma / 2.0, sigma}(this->random_engine);
    }
    return std::chrono::duration_cast<core::duration>(fractional_milliseconds{duration_ms});
}

} // namespace poplarport::standins
