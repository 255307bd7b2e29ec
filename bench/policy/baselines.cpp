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

// An endpoint with slots and an unbounded queue in the order of arrival.
struct endpoint_fake
{
    std::size_t in_flight{0};
    std::deque<std::size_t> waiting;
};

struct sender_fake
{
    std::size_t next{0};
    std::vector<std::size_t> reported; // load of each endpoint by its newest report
};

class baseline_run
{
  public:
    baseline_run(baseline policy, const scenario& item, const std::vector<arrival>& arrivals, std::uint64_t seed)
        : kind(policy), value(item), calls(arrivals), random(seed), endpoints(item.endpoints), senders(item.endpoints)
    {
        for (std::size_t index = 0; index < this->senders.size(); ++index)
        {
            this->senders[index] = {index, std::vector<std::size_t>(item.endpoints, 0)};
        }
    }

    policy_result run()
    {
        constexpr std::array names{"random", "round robin", "least of two"};
        this->result.policy = names.at(static_cast<std::size_t>(this->kind));
        this->result.measured = this->value.end - this->value.fault_at;
        for (std::size_t call = 0; call < this->calls.size(); ++call)
        {
            this->loop.at(this->calls[call].at, [this, call] { this->send(call); });
        }
        this->loop.run_until(this->value.end + drain_time);
        return std::move(this->result);
    }

  private:
    void send(std::size_t call)
    {
        const std::size_t sender = this->calls[call].sender;
        const std::size_t endpoint = this->pick(this->senders[sender]);
        const core::duration network_latency = this->value.network_latency(sender, endpoint);
        this->loop.after(network_latency, [this, call, endpoint] { this->receive(call, endpoint); });
    }

    std::size_t pick(sender_fake& sender)
    {
        std::vector<std::size_t> listed;
        for (std::size_t endpoint = 0; endpoint < this->value.endpoints; ++endpoint)
        {
            if (this->value.is_listed(endpoint, this->loop.now()))
            {
                listed.push_back(endpoint);
            }
        }
        if (this->kind == baseline::round_robin)
        {
            return listed[sender.next++ % listed.size()];
        }
        std::uniform_int_distribution<std::size_t> any{0, listed.size() - 1};
        const std::size_t first = listed[any(this->random)];
        const std::size_t second = listed[any(this->random)];
        const bool is_second_better = sender.reported[second] < sender.reported[first];
        return this->kind == baseline::least_of_two && is_second_better ? second : first;
    }

    void receive(std::size_t call, std::size_t endpoint)
    {
        if (!this->value.is_open(endpoint, this->loop.now()))
        {
            const core::duration network_latency = this->value.network_latency(this->calls[call].sender, endpoint);
            this->loop.after(network_latency, [this, call] { this->send(call); });
            return;
        }
        endpoint_fake& fake = this->endpoints[endpoint];
        if (fake.in_flight == this->value.slots)
        {
            fake.waiting.push_back(call);
            return;
        }
        this->start(call, endpoint);
    }

    void start(std::size_t call, std::size_t endpoint)
    {
        ++this->endpoints[endpoint].in_flight;
        const double slowness = this->value.slowness(endpoint, this->loop.now());
        const auto service = std::chrono::duration_cast<core::duration>(this->calls[call].service * slowness);
        this->loop.after(service, [this, call, endpoint] { this->finish(call, endpoint); });
    }

    void finish(std::size_t call, std::size_t endpoint)
    {
        endpoint_fake& fake = this->endpoints[endpoint];
        --fake.in_flight;
        if (!fake.waiting.empty())
        {
            const std::size_t next = fake.waiting.front();
            fake.waiting.pop_front();
            this->start(next, endpoint);
        }
        core::load_report report;
        report.in_flight = static_cast<std::uint32_t>(fake.in_flight);
        report.queued = static_cast<std::uint32_t>(fake.waiting.size());
        report = this->value.falsified(endpoint, report);
        const std::size_t load = report.in_flight + report.queued;
        const std::size_t sender = this->calls[call].sender;
        const core::duration network_latency = this->value.network_latency(sender, endpoint);
        this->loop.after(network_latency,
                         [this, call] { this->result.add_answer(this->value, this->calls[call], this->loop.now()); });
        if (this->kind == baseline::least_of_two)
        {
            this->result.measuring_bytes += this->calls[call].at >= this->value.fault_at ? size::report : 0;
            this->loop.after(network_latency + this->value.report_delay(),
                             [this, sender, endpoint, load] { this->senders[sender].reported[endpoint] = load; });
        }
    }

    baseline kind;
    const scenario& value;
    const std::vector<arrival>& calls;
    std::mt19937_64 random;
    std::vector<endpoint_fake> endpoints;
    std::vector<sender_fake> senders;
    event_loop loop;
    policy_result result;
};

} // namespace

policy_result run_baseline(baseline kind, const scenario& value, const std::vector<arrival>& arrivals,
                           std::uint64_t seed)
{
    return baseline_run{kind, value, arrivals, seed}.run();
}

} // namespace poplarport::bench
