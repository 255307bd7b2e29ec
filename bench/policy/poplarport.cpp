#include "result.hpp"

#include <algorithm> // max
#include <array>     // array
#include <deque>     // deque
#include <optional>  // optional
#include <random>    // mt19937_64, uniform_int_distribution
#include <string>    // stoul, string, to_string

#include "event_loop.hpp"
#include "poplarport/admission/gate.hpp"
#include "poplarport/measuring/budget.hpp"
#include "poplarport/routing/router.hpp"

namespace poplarport::bench
{

namespace
{

using namespace std::chrono_literals;

constexpr core::duration drain_time = 30s;
constexpr core::duration expire_interval = 10ms;
constexpr core::duration probe_interval = 50ms;
constexpr core::duration list_interval = 10ms;
constexpr std::size_t queue_slots_ratio = 4;

// Rate of the budget as a part of the calls' bytes at the scenario's first load. With a burst of 0.1 s no second
// exceeds 0.99 of 2 %.
constexpr double budget_part = 0.018;
constexpr double greatest_part = 0.02;

struct expense_record
{
    core::time_point at;
    std::uint64_t bytes;
};

// A node with its router as a sender and its gate as a receiver.
struct node_fake
{
    routing::router router;
    admission::gate gate;
    measuring::budget budget;
    std::deque<expense_record> last_second;
    std::uint64_t last_second_bytes{0};
};

struct call_state
{
    std::array<core::node_id, 2> tried;
    std::size_t attempts{0};
    core::time_point sent_at;
};

class poplarport_run
{
  public:
    poplarport_run(const scenario& item, const std::vector<arrival>& arrivals, std::uint64_t seed)
        : value(item), calls(arrivals), random(seed), states(arrivals.size())
    {
        const double calls_per_node = item.rate({}) / static_cast<double>(item.endpoints);
        this->bytes_per_second = calls_per_node * static_cast<double>(size::call);
        for (std::size_t index = 0; index < item.endpoints; ++index)
        {
            this->names.push_back("node-" + std::to_string(index));
            this->nodes.push_back(this->make_node(index));
        }
        this->update_lists();
    }

    policy_result run()
    {
        this->result.policy = "poplarport";
        this->result.measured = this->value.end - this->value.fault_at;
        for (std::size_t call = 0; call < this->calls.size(); ++call)
        {
            this->loop.at(this->calls[call].at, [this, call] { this->route(call, std::nullopt); });
        }
        this->loop.at(this->value.fault_at, [this] { this->apply_fault(); });
        this->repeat(expire_interval, [this] { this->expire(); });
        this->repeat(probe_interval, [this] { this->probe(); });
        this->repeat(list_interval, [this] { this->update_lists(); });
        this->loop.run_until(this->value.end + drain_time);
        return std::move(this->result);
    }

  private:
    node_fake make_node(std::size_t index) const
    {
        const core::time_point start;
        const auto round_trip = 2 * this->value.one_way;
        routing::router router = routing::router::builder{}
                                     .availability_zone(this->zone(index))
                                     .zone_cost(round_trip)
                                     .weights(this->value.tail_latency_weight, this->value.measuring_cost_weight)
                                     .assumed(static_cast<std::uint32_t>(this->value.slots), this->value.service)
                                     .build();
        return {std::move(router),
                this->make_gate(0s, start),
                measuring::budget::builder{}
                    .bytes(static_cast<std::uint64_t>(budget_part * this->bytes_per_second))
                    .processor_time(1s)
                    .window(1s)
                    .burst(100ms)
                    .build(start),
                {}};
    }

    admission::gate make_gate(core::duration ramp, core::time_point now) const
    {
        return admission::gate::builder{}
            .slots(static_cast<std::uint32_t>(this->value.slots))
            .queue_capacity(queue_slots_ratio * this->value.slots)
            .initial_service_time(this->value.service)
            .cold_start_ramp(ramp)
            .build(now);
    }

    std::string zone(std::size_t index) const
    {
        return "zone-" + std::to_string(index % this->value.zones);
    }

    void repeat(core::duration interval, const std::function<void()>& action)
    {
        if (this->loop.now() < this->value.end + 1s)
        {
            this->loop.after(interval,
                             [this, interval, action]
                             {
                                 action();
                                 this->repeat(interval, action);
                             });
        }
    }

    void update_lists()
    {
        std::vector<routing::endpoint> endpoints;
        std::vector<bool> listed;
        for (std::size_t index = 0; index < this->value.endpoints; ++index)
        {
            const bool is_listed = this->value.is_listed(index, this->loop.now());
            listed.push_back(is_listed);
            if (is_listed)
            {
                endpoints.push_back({this->names[index], this->zone(index), {}, 1, false});
            }
        }
        if (listed != this->last_listed)
        {
            this->last_listed = listed;
            for (node_fake& node : this->nodes)
            {
                node.router.set_endpoints(endpoints, this->loop.now());
            }
        }
    }

    void apply_fault()
    {
        if (this->value.what == fault::drain)
        {
            this->nodes.front().gate.drain();
        }
        if (this->value.what == fault::cold_start)
        {
            this->nodes.back().gate = this->make_gate(1s, this->loop.now());
            this->update_lists();
        }
    }

    // Spends from the budget of a node and records the greatest use in any second.
    bool spend(std::size_t index, std::uint64_t bytes)
    {
        node_fake& node = this->nodes[index];
        const core::time_point now = this->loop.now();
        if (!node.budget.try_spend(bytes, 0ns, now))
        {
            return false;
        }
        while (!node.last_second.empty() && node.last_second.front().at <= now - 1s)
        {
            node.last_second_bytes -= node.last_second.front().bytes;
            node.last_second.pop_front();
        }
        node.last_second.push_back({now, bytes});
        node.last_second_bytes += bytes;
        const double part = static_cast<double>(node.last_second_bytes) / (greatest_part * this->bytes_per_second);
        this->result.highest_window = std::max(this->result.highest_window, part);
        this->result.measuring_bytes += now >= this->value.fault_at ? bytes : 0;
        return true;
    }

    std::optional<core::load_report> report_of(std::size_t endpoint)
    {
        if (!this->spend(endpoint, size::report))
        {
            return std::nullopt;
        }
        return this->value.falsified(endpoint, this->nodes[endpoint].gate.load(this->loop.now()));
    }

    // Hands over a report with an answer or, when reports are late, by itself afterwards.
    std::optional<core::load_report> delivered(std::size_t sender, std::size_t endpoint,
                                               const std::optional<core::load_report>& report)
    {
        if (!report || this->value.report_delay() == 0s)
        {
            return report;
        }
        this->loop.after(this->value.report_delay(), [this, sender, endpoint, report]
                         { this->nodes[sender].router.on_report(this->names[endpoint], *report, this->loop.now()); });
        return std::nullopt;
    }

    void route(std::size_t call, std::optional<std::size_t> better)
    {
        const std::size_t sender = this->calls[call].sender;
        call_state& state = this->states[call];
        if (!better)
        {
            const std::span<const core::node_id> tried{state.tried.data(), state.attempts};
            const auto chosen = this->nodes[sender].router.pick({tried}, this->loop.now(), this->random);
            if (!chosen)
            {
                this->result.add_failure(this->value, this->calls[call], this->loop.now());
                return;
            }
            better = this->index_of(chosen->target->id);
        }
        const std::size_t endpoint = *better;
        state.tried.at(state.attempts++) = this->names[endpoint];
        state.sent_at = this->loop.now();
        this->nodes[sender].router.on_sent(this->names[endpoint], this->loop.now());
        this->loop.after(this->value.network_latency(sender, endpoint),
                         [this, call, endpoint] { this->receive(call, endpoint); });
    }

    void receive(std::size_t call, std::size_t endpoint)
    {
        node_fake& node = this->nodes[endpoint];
        const core::time_point now = this->loop.now();
        admission::ticket offered{std::to_string(call), "tenant", "normal", this->calls[call].at + this->value.deadline,
                                  std::nullopt};
        std::optional<std::size_t> better;
        if (this->states[call].attempts == 1)
        {
            const std::array<core::node_id, 1> self{this->names[endpoint]};
            if (const auto peer = node.router.best_peer({self}, now); peer)
            {
                better = this->index_of(peer->target->id);
                offered.best_peer_wait =
                    peer->expected_wait + this->value.network_latency(endpoint, this->calls[call].sender);
            }
        }
        const admission::decision decision = node.gate.offer(std::move(offered), now);
        if (decision.displaced)
        {
            this->refuse(std::stoul(decision.displaced->id), endpoint, std::nullopt);
        }
        if (decision.disposition == admission::action::admit)
        {
            this->run_call(call, endpoint);
        }
        if (decision.disposition == admission::action::refuse)
        {
            if (better)
            {
                node.router.on_redirected(this->names[*better], now);
            }
            this->refuse(call, endpoint, better);
        }
    }

    void run_call(std::size_t call, std::size_t endpoint)
    {
        const double slowness = this->value.slowness(endpoint, this->loop.now());
        const auto service = std::chrono::duration_cast<core::duration>(this->calls[call].service * slowness);
        this->loop.after(service, [this, call, endpoint, service] { this->finish(call, endpoint, service); });
    }

    void finish(std::size_t call, std::size_t endpoint, core::duration service)
    {
        node_fake& node = this->nodes[endpoint];
        this->apply(node.gate.release(std::to_string(call), service, this->loop.now()), endpoint);
        const std::optional<core::load_report> report = this->report_of(endpoint);
        const std::size_t sender = this->calls[call].sender;
        this->loop.after(this->value.network_latency(sender, endpoint),
                         [this, call, endpoint, report] { this->answer(call, endpoint, report); });
        this->hint(endpoint);
    }

    void answer(std::size_t call, std::size_t endpoint, const std::optional<core::load_report>& report)
    {
        const std::size_t sender = this->calls[call].sender;
        const core::time_point now = this->loop.now();
        this->nodes[sender].router.on_response(this->names[endpoint], this->delivered(sender, endpoint, report),
                                               now - this->states[call].sent_at, now);
        this->result.add_answer(this->value, this->calls[call], now);
    }

    void refuse(std::size_t call, std::size_t endpoint, std::optional<std::size_t> better)
    {
        const std::optional<core::load_report> report = this->report_of(endpoint);
        const std::size_t sender = this->calls[call].sender;
        this->loop.after(this->value.network_latency(sender, endpoint),
                         [this, call, endpoint, better, report] { this->redirect(call, endpoint, better, report); });
    }

    void redirect(std::size_t call, std::size_t endpoint, std::optional<std::size_t> better,
                  const std::optional<core::load_report>& report)
    {
        const std::size_t sender = this->calls[call].sender;
        const core::time_point now = this->loop.now();
        this->nodes[sender].router.on_refused(this->names[endpoint], this->delivered(sender, endpoint, report), now);
        if (this->states[call].attempts == 1)
        {
            this->route(call, better);
            return;
        }
        this->result.add_failure(this->value, this->calls[call], now);
    }

    // A receiver with a free slot tells one sender at random.
    void hint(std::size_t endpoint)
    {
        const core::load_report load =
            this->value.falsified(endpoint, this->nodes[endpoint].gate.load(this->loop.now()));
        const bool is_useful = this->nodes[endpoint].router.is_hint_useful(load, this->loop.now());
        if (!is_useful || !this->spend(endpoint, size::hint))
        {
            return;
        }
        ++this->result.measuring_messages;
        const std::size_t sender =
            std::uniform_int_distribution<std::size_t>{0, this->value.endpoints - 1}(this->random);
        const std::uint32_t free_slots = load.slots - load.in_flight;
        this->loop.after(
            this->value.network_latency(sender, endpoint) + this->value.report_delay(),
            [this, sender, endpoint, free_slots]
            { this->nodes[sender].router.on_idle_hint(this->names[endpoint], free_slots, this->loop.now()); });
    }

    void probe()
    {
        for (std::size_t sender = 0; sender < this->nodes.size(); ++sender)
        {
            const auto target = this->nodes[sender].router.next_probe(this->loop.now());
            if (target == nullptr || !this->spend(sender, size::probe))
            {
                continue;
            }
            this->result.measuring_messages += 2;
            const std::size_t endpoint = this->index_of(target->id);
            const core::duration network_latency = this->value.network_latency(sender, endpoint);
            this->loop.after(network_latency, [this, sender, endpoint, network_latency]
                             { this->answer_probe(sender, endpoint, network_latency); });
        }
    }

    void answer_probe(std::size_t sender, std::size_t endpoint, core::duration network_latency)
    {
        const core::load_report report =
            this->value.falsified(endpoint, this->nodes[endpoint].gate.load(this->loop.now()));
        this->loop.after(network_latency + this->value.report_delay(), [this, sender, endpoint, report]
                         { this->nodes[sender].router.on_report(this->names[endpoint], report, this->loop.now()); });
    }

    void expire()
    {
        for (std::size_t endpoint = 0; endpoint < this->nodes.size(); ++endpoint)
        {
            this->apply(this->nodes[endpoint].gate.expire(this->loop.now()), endpoint);
        }
    }

    void apply(const admission::changes& result_of_gate, std::size_t endpoint)
    {
        for (const core::request_id& id : result_of_gate.started)
        {
            this->run_call(std::stoul(id), endpoint);
        }
        for (const admission::refusal& item : result_of_gate.refused)
        {
            this->refuse(std::stoul(item.id), endpoint, std::nullopt);
        }
    }

    std::size_t index_of(const core::node_id& id) const
    {
        constexpr std::size_t prefix_length = 5;
        return std::stoul(id.substr(prefix_length));
    }

    const scenario& value;
    const std::vector<arrival>& calls;
    std::mt19937_64 random;
    std::vector<call_state> states;
    std::vector<std::string> names;
    std::vector<node_fake> nodes;
    std::vector<bool> last_listed;
    double bytes_per_second{0.0};
    event_loop loop;
    policy_result result;
};

} // namespace

policy_result run_poplarport(const scenario& value, const std::vector<arrival>& arrivals, std::uint64_t seed)
{
    return poplarport_run{value, arrivals, seed}.run();
}

} // namespace poplarport::bench
