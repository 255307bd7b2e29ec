#include "poplarport/load/report.hpp"

#include <algorithm> // max, ranges::any_of, sort
#include <cmath>     // ceil, exp2, log2
#include <iomanip>   // fixed, setprecision, setw
#include <map>       // map
#include <sstream>   // ostringstream

#include <nlohmann/json.hpp>

#include "poplarport/load/percentiles.hpp"

namespace poplarport::load
{

namespace
{

using std::chrono::microseconds;
using fractional_milliseconds = std::chrono::duration<double, std::milli>;

constexpr double median_fraction = 0.5;
constexpr double tail_fraction = 0.99;

struct named_percentile
{
    const char* name;
    double fraction;
};

constexpr named_percentile reported_percentiles[]{
    {"p50", median_fraction}, {"p90", 0.9}, {"p99", tail_fraction}, {"p99.9", 0.999}, {"max", 1.0}};

void add_sample(group_summary& group, const call_sample& sample)
{
    group.answered += sample.outcome == call_outcome::answered ? 1 : 0;
    group.not_run += sample.outcome == call_outcome::not_run ? 1 : 0;
    group.unknown += sample.outcome == call_outcome::unknown ? 1 : 0;
    group.refused += sample.outcome == call_outcome::refused ? 1 : 0;
    group.body_mismatches += sample.body_mismatch ? 1 : 0;
    if (sample.outcome == call_outcome::answered)
    {
        group.latencies.push_back(sample.latency);
    }
}

std::vector<second_summary> summarise_seconds(const std::vector<call_sample>& samples)
{
    std::map<std::size_t, group_summary> seconds;
    for (const auto& sample : samples)
    {
        const auto second = std::chrono::duration_cast<std::chrono::seconds>(sample.offset).count();
        add_sample(seconds[static_cast<std::size_t>(second)], sample);
    }
    std::vector<second_summary> result;
    for (auto& [second, group] : seconds)
    {
        std::sort(group.latencies.begin(), group.latencies.end());
        result.push_back({second, group.calls(), group.answered, percentile(group.latencies, median_fraction),
                          percentile(group.latencies, tail_fraction)});
    }
    return result;
}

// After a pause, the calls that were due meanwhile start at once; their number disturbs other calls until they end.
std::vector<run_pause> disturbances_of(const std::vector<run_pause>& pauses, const std::vector<call_sample>& samples)
{
    auto result = pauses;
    for (auto& each : result)
    {
        const auto pause = each;
        for (const auto& sample : samples)
        {
            if (sample.offset >= pause.begin && sample.offset <= pause.end)
            {
                each.end = std::max(each.end, sample.offset + sample.latency);
            }
        }
    }
    return result;
}

bool is_disturbed(const call_sample& sample, const std::vector<run_pause>& disturbances)
{
    return std::ranges::any_of(disturbances, [&sample](const run_pause& each)
                               { return sample.offset <= each.end && sample.offset + sample.latency >= each.begin; });
}

double to_ms(microseconds duration)
{
    return fractional_milliseconds{duration}.count();
}

std::string label_of(const group_summary& group)
{
    std::string label = group.tenant.empty() ? group.phase : group.tenant + " " + group.kind;
    return label.empty() ? "total" : label;
}

void write_row(std::ostringstream& text, const group_summary& group)
{
    constexpr int label_width = 32;
    constexpr int count_width = 9;
    text << std::left << std::setw(label_width) << label_of(group) << std::right;
    for (const auto count :
         {group.calls(), group.answered, group.not_run, group.unknown, group.refused, group.body_mismatches})
    {
        text << std::setw(count_width) << count;
    }
    for (const auto& reported : reported_percentiles)
    {
        text << std::setw(count_width) << to_ms(percentile(group.latencies, reported.fraction));
    }
    text << '\n';
}

nlohmann::json to_object(const group_summary& group)
{
    nlohmann::json percentiles = nlohmann::json::object();
    for (const auto& reported : reported_percentiles)
    {
        percentiles[reported.name] = to_ms(percentile(group.latencies, reported.fraction));
    }
    nlohmann::json buckets = nlohmann::json::array();
    for (const auto& bucket : histogram(group.latencies))
    {
        buckets.push_back({{"upper_ms", to_ms(bucket.upper)}, {"count", bucket.count}});
    }
    return {{"tenant", group.tenant},    {"call", group.kind},         {"phase", group.phase},
            {"calls", group.calls()},    {"answered", group.answered}, {"not_run", group.not_run},
            {"unknown", group.unknown},  {"refused", group.refused},   {"body_mismatches", group.body_mismatches},
            {"latency_ms", percentiles}, {"histogram", buckets}};
}

} // namespace

report summarise(const plan& run_plan, const std::vector<call_sample>& samples, const std::vector<run_pause>& pauses)
{
    report result;
    result.pauses = pauses;
    result.name = run_plan.name;
    for (const auto& planned_phase : run_plan.phases)
    {
        result.phases.push_back({.phase = planned_phase.name});
    }
    for (const auto& planned_tenant : run_plan.tenants)
    {
        for (const auto& kind : run_plan.calls)
        {
            result.groups.push_back({.tenant = planned_tenant.name, .kind = kind.name()});
        }
    }
    const auto disturbances = disturbances_of(pauses, samples);
    for (const auto& sample : samples)
    {
        add_sample(result.total, sample);
        if (!is_disturbed(sample, disturbances))
        {
            add_sample(result.undisturbed, sample);
        }
        add_sample(result.phases[sample.phase], sample);
        add_sample(result.groups[sample.tenant * run_plan.calls.size() + sample.kind], sample);
    }
    const auto sort_latencies = [](group_summary& group)
    {
        std::sort(group.latencies.begin(), group.latencies.end());
    };
    sort_latencies(result.total);
    sort_latencies(result.undisturbed);
    std::for_each(result.phases.begin(), result.phases.end(), sort_latencies);
    std::for_each(result.groups.begin(), result.groups.end(), sort_latencies);
    result.seconds = summarise_seconds(samples);
    return result;
}

std::vector<histogram_bucket> histogram(const std::vector<microseconds>& sorted)
{
    constexpr double buckets_per_doubling = 4.0;
    std::vector<histogram_bucket> result;
    for (const auto latency : sorted)
    {
        const auto us = static_cast<double>(std::max<microseconds::rep>(latency.count(), 1));
        if (result.empty() || latency > result.back().upper)
        {
            const auto index = std::ceil(std::log2(us) * buckets_per_doubling);
            const auto upper = std::max(std::floor(std::exp2(index / buckets_per_doubling)), us);
            result.push_back({microseconds{static_cast<microseconds::rep>(upper)}, 0});
        }
        ++result.back().count;
    }
    return result;
}

std::string to_text(const report& run_report)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(2);
    text << "run " << run_report.name << "; latencies of answered calls in ms, from the scheduled time\n";
    text << "group                               calls answered  not_run  unknown  refused mismatch"
            "      p50      p90      p99    p99.9      max\n";
    write_row(text, run_report.total);
    if (!run_report.pauses.empty())
    {
        microseconds paused{0};
        for (const auto& each : run_report.pauses)
        {
            paused += each.end - each.begin;
        }
        text << "the load tool did not run for " << to_ms(paused) << " ms in " << run_report.pauses.size()
             << " pauses; " << run_report.undisturbed.calls() << " calls were not affected\n";
    }
    if (run_report.phases.size() > 1)
    {
        for (const auto& group : run_report.phases)
        {
            write_row(text, group);
        }
    }
    for (const auto& group : run_report.groups)
    {
        write_row(text, group);
    }
    return text.str();
}

std::string to_json(const report& run_report)
{
    nlohmann::json phases = nlohmann::json::array();
    for (const auto& group : run_report.phases)
    {
        phases.push_back(to_object(group));
    }
    nlohmann::json groups = nlohmann::json::array();
    for (const auto& group : run_report.groups)
    {
        groups.push_back(to_object(group));
    }
    nlohmann::json seconds = nlohmann::json::array();
    for (const auto& entry : run_report.seconds)
    {
        seconds.push_back({{"second", entry.second},
                           {"calls", entry.calls},
                           {"answered", entry.answered},
                           {"p50_ms", to_ms(entry.p50)},
                           {"p99_ms", to_ms(entry.p99)}});
    }
    nlohmann::json pauses = nlohmann::json::array();
    for (const auto& each : run_report.pauses)
    {
        pauses.push_back({{"begin_ms", to_ms(each.begin)}, {"end_ms", to_ms(each.end)}});
    }
    const nlohmann::json object{{"name", run_report.name},
                                {"total", to_object(run_report.total)},
                                {"undisturbed", to_object(run_report.undisturbed)},
                                {"pauses", pauses},
                                {"phases", phases},
                                {"groups", groups},
                                {"seconds", seconds}};
    constexpr int indent = 2;
    return object.dump(indent, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

} // namespace poplarport::load
