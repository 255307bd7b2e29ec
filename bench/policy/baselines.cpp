#include "result.hpp"

#include <array>  // array
#include <deque>  // deque
#include <random> // mt19937_64, uniform_int_distribution

#include "event_loop.hpp"

namespace poplarport::bench
{

namespace
{

constexpr core::duration drain_time = std::chrono::seconds{30};

// An endpoint with slots and an unbounded first-in, first-out queue.
struct endpoint_fake
{
    std::size_t in_flight{0};
    std::deque<std::size_t> queue;
};

struct sender_fake
{
    std::size_t next{0};
    std::vector<std::size_t> reported; // load of each endpoint in its latest report
};

class baseline_run
{
  public:
    baseline_run(baseline policy, const scenario& tested_scenario, const std::vector<arrival>& arrivals,
                 std::uint64_t seed)
        : kind(policy), tested(tested_scenario), calls(arrivals), random_engine(seed),
          endpoints(tested_scenario.endpoints), senders(tested_scenario.endpoints)
    {
        for (std::size_t index = 0; index < this->senders.size(); ++index)
        {
            this->senders[index] = {index, std::vector<std::size_t>(tested_scenario.endpoints, 0)};
        }
    }

    policy_result run()
    {
        constexpr std::array names{"random", "round robin", "least of two"};
        this->result.policy = names.at(static_cast<std::size_t>(this->kind));
        this->result.measured_time = this->tested.end - this->tested.fault_at;
        for (std::size_t call = 0; call < this->calls.size(); ++call)
        {
            this->loop.at(this->calls[call].at, [this, call] { this->send(call); });
        }
        this->loop.run_until(this->tested.end + drain_time);
        return std::move(this->result);
    }

  private:
    void send(std::size_t call)
    {
        const std::size_t sender = this->calls[call].sender;
        const std::size_t endpoint = this->pick(this->senders[sender]);
        const core::duration network_latency = this->tested.network_latency(sender, endpoint);
        this->loop.after(network_latency, [this, call, endpoint] { this->receive(call, endpoint); });
    }

    std::size_t pick(sender_fake& sender)
    {
        std::vector<std::size_t> listed;
        for (std::size_t endpoint = 0; endpoint < this->tested.endpoints; ++endpoint)
        {
            if (this->tested.is_listed(endpoint, this->loop.now()))
            {
                listed.push_back(endpoint);
            }
        }
        if (this->kind == baseline::round_robin)
        {
            return listed[sender.next++ % listed.size()];
        }
        std::uniform_int_distribution<std::size_t> index_distribution{0, listed.size() - 1};
        const std::size_t first = listed[index_distribution(this->random_engine)];
        const std::size_t second = listed[index_distribution(this->random_engine)];
        const bool is_second_better = sender.reported[second] < sender.reported[first];
        return this->kind == baseline::least_of_two && is_second_better ? second : first;
    }

    void receive(std::size_t call, std::size_t endpoint)
    {
        if (!this->tested.accepts_calls(endpoint, this->loop.now()))
        {
            const core::duration network_latency = this->tested.network_latency(this->calls[call].sender, endpoint);
            this->loop.after(network_latency, [this, call] { this->send(call); });
            return;
        }
        endpoint_fake& fake = this->endpoints[endpoint];
        if (fake.in_flight == this->tested.slots)
        {
            fake.queue.push_back(call);
            return;
        }
        this->start(call, endpoint);
    }

    void start(std::size_t call, std::size_t endpoint)
    {
        ++this->endpoints[endpoint].in_flight;
        const double slowdown_factor = this->tested.slowdown_factor(endpoint, this->loop.now());
        const auto service_time =
            std::chrono::duration_cast<core::duration>(this->calls[call].service_time * slowdown_factor);
        this->loop.after(service_time, [this, call, endpoint] { this->finish(call, endpoint); });
    }

    void finish(std::size_t call, std::size_t endpoint)
    {
        endpoint_fake& fake = this->endpoints[endpoint];
        --fake.in_flight;
        if (!fake.queue.empty())
        {
            const std::size_t next = fake.queue.front();
            fake.queue.pop_front();
            this->start(next, endpoint);
        }
        core::load_report report;
        report.in_flight = static_cast<std::uint32_t>(fake.in_flight);
        report.queued = static_cast<std::uint32_t>(fake.queue.size());
        report = this->tested.apply_report_fault(endpoint, report);
        const std::size_t load = report.in_flight + report.queued;
        const std::size_t sender = this->calls[call].sender;
        const core::duration network_latency = this->tested.network_latency(sender, endpoint);
        this->loop.after(network_latency, [this, call]
                         { this->result.add_response(this->tested, this->calls[call], this->loop.now()); });
        if (this->kind == baseline::least_of_two)
        {
            this->result.measuring_bytes += this->calls[call].at >= this->tested.fault_at ? size::report : 0;
            this->loop.after(network_latency + this->tested.report_delay(),
                             [this, sender, endpoint, load] { this->senders[sender].reported[endpoint] = load; });
        }
    }

    baseline kind;
    const scenario& tested;
    const std::vector<arrival>& calls;
    std::mt19937_64 random_engine;
    std::vector<endpoint_fake> endpoints;
    std::vector<sender_fake> senders;
    event_loop loop;
    policy_result result;
};

} // namespace

policy_result run_baseline(baseline kind, const scenario& tested, const std::vector<arrival>& arrivals,
                           std::uint64_t seed)
{
    return baseline_run{kind, tested, arrivals, seed}.run();
}

} // namespace poplarport::bench
