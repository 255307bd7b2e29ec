#include "poplarport/observability/metrics.hpp"

#include <chrono>  // duration
#include <map>     // map
#include <set>     // set
#include <utility> // move, pair
#include <vector>  // vector

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace poplarport::observability
{

namespace
{

// Upper bounds in seconds; 0.00084 s is the target for the latency that the system adds to a call.
const prometheus::Histogram::BucketBoundaries latency_bounds{0.0002, 0.0005, 0.00084, 0.001, 0.002, 0.005, 0.01, 0.02,
                                                             0.05,   0.1,    0.2,     0.5,   1.0,   2.0,   5.0};

// A histogram takes about 2 KB; the limit keeps all of them below 1 MB.
constexpr std::size_t max_label_pairs = 400;

struct gauge_entry
{
    prometheus::Gauge* gauge;
    std::function<double()> read_value;
};

} // namespace

struct metrics::state
{
    prometheus::Registry registry{};
    prometheus::Family<prometheus::Counter>* calls{nullptr};
    prometheus::Family<prometheus::Histogram>* latency{nullptr};
    prometheus::Family<prometheus::Counter>* refusals{nullptr};
    std::set<std::pair<std::string, std::string>> labels{};
    std::vector<gauge_entry> gauges{};
};

metrics::metrics() : data(std::make_unique<state>())
{
    this->data->calls = &prometheus::BuildCounter()
                             .Name("poplarport_calls_total")
                             .Help("Calls that ended, by tenant, class and outcome.")
                             .Register(this->data->registry);
    this->data->latency = &prometheus::BuildHistogram()
                               .Name("poplarport_call_duration_seconds")
                               .Help("Time from the head of a request to the end of its answer, by tenant and class.")
                               .Register(this->data->registry);
    this->data->refusals = &prometheus::BuildCounter()
                                .Name("poplarport_refused_requests_total")
                                .Help("Requests that were refused before they became calls, by result code.")
                                .Register(this->data->registry);
}

metrics::~metrics() = default;

void metrics::count_call(std::string_view tenant, std::string_view traffic_class, core::outcome outcome,
                         core::duration latency)
{
    std::pair<std::string, std::string> key{tenant, traffic_class};
    if (!this->data->labels.contains(key))
    {
        if (this->data->labels.size() < max_label_pairs)
        {
            this->data->labels.insert(key);
        }
        else
        {
            key = {"other", "other"};
        }
    }
    const std::map<std::string, std::string> labels{{"tenant", key.first}, {"class", key.second}};
    auto with_outcome = labels;
    with_outcome.emplace("outcome", core::to_string(outcome));
    this->data->calls->Add(with_outcome).Increment();
    const auto seconds = std::chrono::duration<double>(latency).count();
    this->data->latency->Add(labels, latency_bounds).Observe(seconds);
}

void metrics::count_refusal(int code)
{
    this->data->refusals->Add({{"code", std::to_string(code)}}).Increment();
}

void metrics::add_gauge(const std::string& name, const std::string& help, std::function<double()> read_value)
{
    auto& gauge = prometheus::BuildGauge().Name(name).Help(help).Register(this->data->registry).Add({});
    this->data->gauges.push_back({&gauge, std::move(read_value)});
}

std::string metrics::text() const
{
    for (const auto& entry : this->data->gauges)
    {
        entry.gauge->Set(entry.read_value());
    }
    return prometheus::TextSerializer{}.Serialize(this->data->registry.Collect());
}

} // namespace poplarport::observability
