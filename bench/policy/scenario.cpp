#include "scenario.hpp"

#include <algorithm> // clamp
#include <array>     // array
#include <random>    // exponential_distribution, mt19937_64, uniform_int_distribution, uniform_real_distribution

namespace poplarport::bench
{

namespace
{

using namespace std::chrono_literals;

constexpr core::duration travel_within_zone = 100us;
constexpr core::duration membership_delay = 1s;
constexpr core::duration warm_up = 1s;
constexpr core::duration step_length = 5ms;
constexpr core::duration late_report = 200ms;
constexpr double straggler_slowness = 10.0;
constexpr double cold_slowness = 5.0;
constexpr double overload = 1.2;
constexpr std::size_t lying_endpoints = 2;

double in_seconds(core::duration value)
{
    return std::chrono::duration<double>{value}.count();
}

std::string two_digits(double value)
{
    constexpr std::size_t length = 4;
    return std::to_string(value).substr(0, length);
}

// The first operator's deployment.
scenario four_zones(std::size_t endpoints, double load)
{
    scenario value;
    value.name = std::to_string(endpoints) + "x9, 4 zones, 0.5 ms";
    value.endpoints = endpoints;
    value.load = load;
    return value;
}

// The second operator's deployment.
scenario three_zones(std::size_t endpoints, double load)
{
    scenario value;
    value.name = std::to_string(endpoints) + "x11, 3 zones, 1.5 ms";
    value.endpoints = endpoints;
    value.slots = 11;
    value.zones = 3;
    value.one_way = 1500us;
    value.tail_latency_weight = 1.0; // the second operator puts the cost of measuring first
    value.measuring_cost_weight = 3.0;
    value.load = load;
    return value;
}

scenario with_fault(scenario value, fault what)
{
    value.what = what;
    return value;
}

// An exponential service time alone has a p99 of 4.6 times its mean, which hides waits. An even one shows them.
scenario with_even_service(scenario value)
{
    value.has_even_service = true;
    return value;
}

scenario with_reports(scenario value, report_fault reports)
{
    value.reports = reports;
    return value;
}

// The target's rate per node: 207 calls a second, and a service time that makes this a load of 0.8.
scenario target_rate()
{
    scenario value = four_zones(14, 0.8);
    constexpr double calls_per_second = 207.0;
    const double service = value.load * static_cast<double>(value.slots) / calls_per_second;
    value.service = std::chrono::duration_cast<core::duration>(std::chrono::duration<double>{service});
    value.deadline = 870ms;
    return value;
}

} // namespace

core::duration scenario::network_latency(std::size_t sender, std::size_t endpoint) const noexcept
{
    if (sender == endpoint)
    {
        return core::duration::zero();
    }
    return sender % this->zones == endpoint % this->zones ? travel_within_zone : this->one_way;
}

double scenario::slowness(std::size_t endpoint, core::time_point now) const noexcept
{
    if (this->what == fault::straggler && endpoint == 0 && now >= this->fault_at)
    {
        return straggler_slowness;
    }
    if (this->what == fault::cold_start && endpoint + 1 == this->endpoints)
    {
        const double passed = std::clamp(in_seconds(now - this->fault_at) / in_seconds(warm_up), 0.0, 1.0);
        return cold_slowness - (cold_slowness - 1.0) * passed;
    }
    return 1.0;
}

bool scenario::is_open(std::size_t endpoint, core::time_point now) const noexcept
{
    const bool is_drained = this->what == fault::drain && endpoint == 0 && now >= this->fault_at;
    const bool is_absent = this->what == fault::cold_start && endpoint + 1 == this->endpoints && now < this->fault_at;
    return !is_drained && !is_absent;
}

bool scenario::is_listed(std::size_t endpoint, core::time_point now) const noexcept
{
    return this->what == fault::drain ? this->is_open(endpoint, now - membership_delay) : this->is_open(endpoint, now);
}

double scenario::rate(core::time_point now) const noexcept
{
    double current = this->load;
    if (this->what == fault::load_step)
    {
        const double passed = std::clamp(in_seconds(now - this->fault_at) / in_seconds(step_length), 0.0, 1.0);
        current += (this->step_load - this->load) * passed;
    }
    return current * static_cast<double>(this->endpoints * this->slots) / in_seconds(this->service);
}

core::load_report scenario::falsified(std::size_t endpoint, core::load_report report) const noexcept
{
    if (this->reports == report_fault::wrong && endpoint < lying_endpoints)
    {
        report.in_flight = 0;
        report.queued = 0;
        report.service_time /= 2;
    }
    return report;
}

core::duration scenario::report_delay() const noexcept
{
    return this->reports == report_fault::late ? late_report : core::duration::zero();
}

std::vector<arrival> make_arrivals(const scenario& value, std::uint64_t seed)
{
    std::mt19937_64 random{seed};
    std::exponential_distribution<double> unit{1.0};
    std::uniform_real_distribution<double> even{0.5, 1.5};
    std::uniform_int_distribution<std::size_t> sender{0, value.endpoints - 1};
    std::vector<arrival> arrivals;
    core::time_point now;
    while (now < value.end)
    {
        now +=
            std::chrono::duration_cast<core::duration>(std::chrono::duration<double>{unit(random) / value.rate(now)});
        const double part = value.has_even_service ? even(random) : unit(random);
        const auto service = std::chrono::duration<double>{part * in_seconds(value.service)};
        arrivals.push_back({now, sender(random), std::chrono::duration_cast<core::duration>(service)});
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
        cases.back().step_load = overload;
        cases.push_back(with_fault(make(7, 0.7), fault::drain));
        cases.push_back(with_fault(make(7, 0.7), fault::cold_start));
        cases.push_back(with_reports(make(7, 0.8), report_fault::late));
        cases.push_back(with_reports(make(7, 0.8), report_fault::wrong));
        cases.push_back(with_even_service(make(7, 0.8)));
        cases.push_back(with_even_service(with_fault(make(7, 0.8), fault::straggler)));
        cases.push_back(with_even_service(with_fault(make(7, 0.5), fault::load_step)));
    }
    cases.push_back(target_rate());
    constexpr std::array fault_names{"", ", straggler", ", drain", ", cold start", ", step to "};
    constexpr std::array report_names{"", ", late reports", ", wrong reports"};
    for (scenario& item : cases)
    {
        const std::string step = item.what == fault::load_step ? two_digits(item.step_load) : "";
        item.name += ", load " + two_digits(item.load) + fault_names.at(static_cast<std::size_t>(item.what)) + step +
                     report_names.at(static_cast<std::size_t>(item.reports)) +
                     (item.has_even_service ? ", even service" : "");
    }
    return cases;
}

} // namespace poplarport::bench
