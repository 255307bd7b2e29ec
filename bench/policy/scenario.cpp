#include "scenario.hpp"

#include <algorithm> // clamp
#include <array>     // array
#include <random>    // exponential_distribution, mt19937_64, uniform_int_distribution, uniform_real_distribution

namespace poplarport::bench
{

namespace
{

using namespace std::chrono_literals;

constexpr core::duration latency_within_zone = 100us;
constexpr core::duration membership_delay = 1s;
constexpr core::duration warm_up_time = 1s;
constexpr core::duration step_length = 5ms;
constexpr core::duration late_report_delay = 200ms;
constexpr double straggler_slowdown_factor = 10.0;
constexpr double cold_slowdown_factor = 5.0;
constexpr double overload_step = 1.2;
constexpr std::size_t misreporting_endpoints = 2;

double in_seconds(core::duration duration)
{
    return std::chrono::duration<double>{duration}.count();
}

std::string with_two_decimals(double number)
{
    constexpr std::size_t length = 4;
    return std::to_string(number).substr(0, length);
}

// The first operator's deployment.
scenario four_zones(std::size_t endpoints, double load)
{
    scenario result;
    result.name = std::to_string(endpoints) + "x9, 4 zones, 0.5 ms";
    result.endpoints = endpoints;
    result.load = load;
    return result;
}

// The second operator's deployment.
scenario three_zones(std::size_t endpoints, double load)
{
    scenario result;
    result.name = std::to_string(endpoints) + "x11, 3 zones, 1.5 ms";
    result.endpoints = endpoints;
    result.slots = 11;
    result.zones = 3;
    result.cross_zone_latency = 1500us;
    result.tail_latency_weight = 1.0; // the second operator prioritises the cost of measuring
    result.measuring_cost_weight = 3.0;
    result.load = load;
    return result;
}

scenario with_fault(scenario result, fault injected_fault)
{
    result.injected_fault = injected_fault;
    return result;
}

// An exponential service time has a p99 of 4.6 times its mean, which hides queueing delays. A uniform one shows them.
scenario with_uniform_service_time(scenario result)
{
    result.has_uniform_service_time = true;
    return result;
}

scenario with_reports(scenario result, report_fault injected_report_fault)
{
    result.injected_report_fault = injected_report_fault;
    return result;
}

// The target's rate per node: 207 calls a second, and a service time that makes this a load of 0.8.
scenario target_rate()
{
    scenario result = four_zones(14, 0.8);
    constexpr double calls_per_second = 207.0;
    const double service_time_s = result.load * static_cast<double>(result.slots) / calls_per_second;
    result.mean_service_time =
        std::chrono::duration_cast<core::duration>(std::chrono::duration<double>{service_time_s});
    result.deadline = 870ms;
    return result;
}

} // namespace

core::duration scenario::network_latency(std::size_t sender, std::size_t endpoint) const noexcept
{
    if (sender == endpoint)
    {
        return core::duration::zero();
    }
    return sender % this->zones == endpoint % this->zones ? latency_within_zone : this->cross_zone_latency;
}

double scenario::slowdown_factor(std::size_t endpoint, core::time_point now) const noexcept
{
    if (this->injected_fault == fault::straggler && endpoint == 0 && now >= this->fault_at)
    {
        return straggler_slowdown_factor;
    }
    if (this->injected_fault == fault::cold_start && endpoint + 1 == this->endpoints)
    {
        const double elapsed_fraction =
            std::clamp(in_seconds(now - this->fault_at) / in_seconds(warm_up_time), 0.0, 1.0);
        return cold_slowdown_factor - (cold_slowdown_factor - 1.0) * elapsed_fraction;
    }
    return 1.0;
}

bool scenario::accepts_calls(std::size_t endpoint, core::time_point now) const noexcept
{
    const bool is_drained = this->injected_fault == fault::drain && endpoint == 0 && now >= this->fault_at;
    const bool is_absent =
        this->injected_fault == fault::cold_start && endpoint + 1 == this->endpoints && now < this->fault_at;
    return !is_drained && !is_absent;
}

bool scenario::is_listed(std::size_t endpoint, core::time_point now) const noexcept
{
    return this->injected_fault == fault::drain ? this->accepts_calls(endpoint, now - membership_delay)
                                                : this->accepts_calls(endpoint, now);
}

double scenario::rate(core::time_point now) const noexcept
{
    double current_load = this->load;
    if (this->injected_fault == fault::load_step)
    {
        const double elapsed_fraction =
            std::clamp(in_seconds(now - this->fault_at) / in_seconds(step_length), 0.0, 1.0);
        current_load += (this->step_load - this->load) * elapsed_fraction;
    }
    return current_load * static_cast<double>(this->endpoints * this->slots) / in_seconds(this->mean_service_time);
}

core::load_report scenario::apply_report_fault(std::size_t endpoint, core::load_report report) const noexcept
{
    if (this->injected_report_fault == report_fault::wrong && endpoint < misreporting_endpoints)
    {
        report.in_flight = 0;
        report.queued = 0;
        report.service_time /= 2;
    }
    return report;
}

core::duration scenario::report_delay() const noexcept
{
    return this->injected_report_fault == report_fault::late ? late_report_delay : core::duration::zero();
}

std::vector<arrival> make_arrivals(const scenario& tested, std::uint64_t seed)
{
    std::mt19937_64 random_engine{seed};
    std::exponential_distribution<double> exponential{1.0};
    std::uniform_real_distribution<double> uniform{0.5, 1.5};
    std::uniform_int_distribution<std::size_t> sender_distribution{0, tested.endpoints - 1};
    std::vector<arrival> arrivals;
    core::time_point now;
    while (now < tested.end)
    {
        now += std::chrono::duration_cast<core::duration>(
            std::chrono::duration<double>{exponential(random_engine) / tested.rate(now)});
        const double service_time_factor =
            tested.has_uniform_service_time ? uniform(random_engine) : exponential(random_engine);
        const auto service_time =
            std::chrono::duration<double>{service_time_factor * in_seconds(tested.mean_service_time)};
        arrivals.push_back(
            {now, sender_distribution(random_engine), std::chrono::duration_cast<core::duration>(service_time)});
    }
    return arrivals;
}

std::vector<scenario> all_scenarios()
{
    std::vector<scenario> cases;
    for (const double load : {0.5, 0.8, 0.95})
    {
        cases.push_back(four_zones(7, load));
        cases.push_back(three_zones(7, load));
        cases.push_back(four_zones(5, load));
        cases.push_back(three_zones(5, load));
    }
    for (const auto& make : {four_zones, three_zones})
    {
        cases.push_back(with_fault(make(7, 0.5), fault::straggler));
        cases.push_back(with_fault(make(7, 0.8), fault::straggler));
        cases.push_back(with_fault(make(7, 0.5), fault::load_step));
        cases.push_back(with_fault(make(7, 0.5), fault::load_step));
        cases.back().step_load = overload_step;
        cases.push_back(with_fault(make(7, 0.7), fault::drain));
        cases.push_back(with_fault(make(7, 0.7), fault::cold_start));
        cases.push_back(with_reports(make(7, 0.8), report_fault::late));
        cases.push_back(with_reports(make(7, 0.8), report_fault::wrong));
        cases.push_back(with_uniform_service_time(make(7, 0.8)));
        cases.push_back(with_uniform_service_time(with_fault(make(7, 0.8), fault::straggler)));
        cases.push_back(with_uniform_service_time(with_fault(make(7, 0.5), fault::load_step)));
    }
    cases.push_back(target_rate());
    constexpr std::array fault_names{"", ", straggler", ", drain", ", cold start", ", step to "};
    constexpr std::array report_names{"", ", late reports", ", wrong reports"};
    for (scenario& named_case : cases)
    {
        const std::string step =
            named_case.injected_fault == fault::load_step ? with_two_decimals(named_case.step_load) : "";
        named_case.name += ", load " + with_two_decimals(named_case.load) +
                           fault_names.at(static_cast<std::size_t>(named_case.injected_fault)) + step +
                           report_names.at(static_cast<std::size_t>(named_case.injected_report_fault)) +
                           (named_case.has_uniform_service_time ? ", even service" : "");
    }
    return cases;
}

} // namespace poplarport::bench
