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

// Rate of the budget as a fraction of the bytes of the calls at the initial load of the scenario. With a burst of 0.1
// s, no second exceeds 0.99 of 2 %.
constexpr double budget_fraction = 0.018;
constexpr double max_measuring_fraction = 0.02;

struct spending_record
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
    std::deque<spending_record> last_second;
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
    poplarport_run(const scenario& tested_scenario, const std::vector<arrival>& arrivals, std::uint64_t seed)
        : tested(tested_scenario), calls(arrivals), random_engine(seed), call_states(arrivals.size())
    {
        const double calls_per_node = tested_scenario.rate({}) / static_cast<double>(tested_scenario.endpoints);
        this->bytes_per_second = calls_per_node * static_cast<double>(size::call);
        for (std::size_t index = 0; index < tested_scenario.endpoints; ++index)
        {
            this->node_names.push_back("node-" + std::to_string(index));
            this->nodes.push_back(this->make_node(index));
        }
        this->update_lists();
    }

    policy_result run()
    {
        this->result.policy = "poplarport";
        this->result.measured_time = this->tested.end - this->tested.fault_at;
        for (std::size_t call = 0; call < this->calls.size(); ++call)
        {
            this->loop.at(this->calls[call].at, [this, call] { this->route(call, std::nullopt); });
        }
        this->loop.at(this->tested.fault_at, [this] { this->apply_fault(); });
        this->repeat(expire_interval, [this] { this->expire(); });
        this->repeat(probe_interval, [this] { this->probe(); });
        this->repeat(list_interval, [this] { this->update_lists(); });
        this->loop.run_until(this->tested.end + drain_time);
        return std::move(this->result);
    }

  private:
    node_fake make_node(std::size_t index) const
    {
        const core::time_point start;
        const auto round_trip = 2 * this->tested.cross_zone_latency;
        routing::router router =
            routing::router::builder{}
                .availability_zone(this->zone(index))
                .zone_cost(round_trip)
                .weights(this->tested.tail_latency_weight, this->tested.measuring_cost_weight)
                .assumed(static_cast<std::uint32_t>(this->tested.slots), this->tested.mean_service_time)
                .build();
        return {std::move(router),
                this->make_gate(0s, start),
                measuring::budget::builder{}
                    .bytes(static_cast<std::uint64_t>(budget_fraction * this->bytes_per_second))
                    .processor_time(1s)
                    .window(1s)
                    .burst(100ms)
                    .build(start),
                {}};
    }

    admission::gate make_gate(core::duration ramp, core::time_point now) const
    {
        return admission::gate::builder{}
            .slots(static_cast<std::uint32_t>(this->tested.slots))
            .queue_capacity(queue_slots_ratio * this->tested.slots)
            .initial_service_time(this->tested.mean_service_time)
            .cold_start_ramp(ramp)
            .build(now);
    }

    std::string zone(std::size_t index) const
    {
        return "zone-" + std::to_string(index % this->tested.zones);
    }

    void repeat(core::duration interval, const std::function<void()>& action)
    {
        if (this->loop.now() < this->tested.end + 1s)
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
        for (std::size_t index = 0; index < this->tested.endpoints; ++index)
        {
            const bool is_listed = this->tested.is_listed(index, this->loop.now());
            listed.push_back(is_listed);
            if (is_listed)
            {
                endpoints.push_back({this->node_names[index], this->zone(index), {}, 1, false});
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
        if (this->tested.injected_fault == fault::drain)
        {
            this->nodes.front().gate.drain();
        }
        if (this->tested.injected_fault == fault::cold_start)
        {
            this->nodes.back().gate = this->make_gate(1s, this->loop.now());
            this->update_lists();
        }
    }

    // Spends from the budget of a node and records the maximum use in any second.
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
        const double budget_use =
            static_cast<double>(node.last_second_bytes) / (max_measuring_fraction * this->bytes_per_second);
        this->result.max_budget_use = std::max(this->result.max_budget_use, budget_use);
        this->result.measuring_bytes += now >= this->tested.fault_at ? bytes : 0;
        return true;
    }

    std::optional<core::load_report> report_of(std::size_t endpoint)
    {
        if (!this->spend(endpoint, size::report))
        {
            return std::nullopt;
        }
        return this->tested.apply_report_fault(endpoint, this->nodes[endpoint].gate.load(this->loop.now()));
    }

    // Returns the report to pass with a response; a late report is passed separately after its delay instead.
    std::optional<core::load_report> deliver_report(std::size_t sender, std::size_t endpoint,
                                                    const std::optional<core::load_report>& report)
    {
        if (!report || this->tested.report_delay() == 0s)
        {
            return report;
        }
        this->loop.after(
            this->tested.report_delay(), [this, sender, endpoint, report]
            { this->nodes[sender].router.on_report(this->node_names[endpoint], *report, this->loop.now()); });
        return std::nullopt;
    }

    void route(std::size_t call, std::optional<std::size_t> better_peer)
    {
        const std::size_t sender = this->calls[call].sender;
        call_state& state = this->call_states[call];
        if (!better_peer)
        {
            const std::span<const core::node_id> tried{state.tried.data(), state.attempts};
            const auto picked = this->nodes[sender].router.pick({tried}, this->loop.now(), this->random_engine);
            if (!picked)
            {
                this->result.add_failure(this->tested, this->calls[call], this->loop.now());
                return;
            }
            better_peer = this->index_of(picked->target->id);
        }
        const std::size_t endpoint = *better_peer;
        state.tried.at(state.attempts++) = this->node_names[endpoint];
        state.sent_at = this->loop.now();
        this->nodes[sender].router.on_sent(this->node_names[endpoint], this->loop.now());
        this->loop.after(this->tested.network_latency(sender, endpoint),
                         [this, call, endpoint] { this->receive(call, endpoint); });
    }

    void receive(std::size_t call, std::size_t endpoint)
    {
        node_fake& node = this->nodes[endpoint];
        const core::time_point now = this->loop.now();
        admission::ticket offered{std::to_string(call), "tenant", "normal",
                                  this->calls[call].at + this->tested.deadline, std::nullopt};
        std::optional<std::size_t> better_peer;
        if (this->call_states[call].attempts == 1)
        {
            const std::array<core::node_id, 1> self{this->node_names[endpoint]};
            if (const auto peer = node.router.best_peer({self}, now); peer)
            {
                better_peer = this->index_of(peer->target->id);
                offered.best_peer_wait =
                    peer->expected_wait + this->tested.network_latency(endpoint, this->calls[call].sender);
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
            if (better_peer)
            {
                node.router.on_redirected(this->node_names[*better_peer], now);
            }
            this->refuse(call, endpoint, better_peer);
        }
    }

    void run_call(std::size_t call, std::size_t endpoint)
    {
        const double slowdown_factor = this->tested.slowdown_factor(endpoint, this->loop.now());
        const auto service_time =
            std::chrono::duration_cast<core::duration>(this->calls[call].service_time * slowdown_factor);
        this->loop.after(service_time,
                         [this, call, endpoint, service_time] { this->finish(call, endpoint, service_time); });
    }

    void finish(std::size_t call, std::size_t endpoint, core::duration service_time)
    {
        node_fake& node = this->nodes[endpoint];
        this->apply(node.gate.release(std::to_string(call), service_time, this->loop.now()), endpoint);
        const std::optional<core::load_report> report = this->report_of(endpoint);
        const std::size_t sender = this->calls[call].sender;
        this->loop.after(this->tested.network_latency(sender, endpoint),
                         [this, call, endpoint, report] { this->respond(call, endpoint, report); });
        this->send_idle_hint(endpoint);
    }

    void respond(std::size_t call, std::size_t endpoint, const std::optional<core::load_report>& report)
    {
        const std::size_t sender = this->calls[call].sender;
        const core::time_point now = this->loop.now();
        this->nodes[sender].router.on_response(this->node_names[endpoint],
                                               this->deliver_report(sender, endpoint, report),
                                               now - this->call_states[call].sent_at, now);
        this->result.add_response(this->tested, this->calls[call], now);
    }

    void refuse(std::size_t call, std::size_t endpoint, std::optional<std::size_t> better_peer)
    {
        const std::optional<core::load_report> report = this->report_of(endpoint);
        const std::size_t sender = this->calls[call].sender;
        this->loop.after(this->tested.network_latency(sender, endpoint), [this, call, endpoint, better_peer, report]
                         { this->redirect(call, endpoint, better_peer, report); });
    }

    void redirect(std::size_t call, std::size_t endpoint, std::optional<std::size_t> better_peer,
                  const std::optional<core::load_report>& report)
    {
        const std::size_t sender = this->calls[call].sender;
        const core::time_point now = this->loop.now();
        this->nodes[sender].router.on_refused(this->node_names[endpoint],
                                              this->deliver_report(sender, endpoint, report), now);
        if (this->call_states[call].attempts == 1)
        {
            this->route(call, better_peer);
            return;
        }
        this->result.add_failure(this->tested, this->calls[call], now);
    }

    // Sends an idle hint from a receiver with a free slot to a random sender.
    void send_idle_hint(std::size_t endpoint)
    {
        const core::load_report load =
            this->tested.apply_report_fault(endpoint, this->nodes[endpoint].gate.load(this->loop.now()));
        const bool is_useful = this->nodes[endpoint].router.is_hint_useful(load, this->loop.now());
        if (!is_useful || !this->spend(endpoint, size::hint))
        {
            return;
        }
        ++this->result.measuring_messages;
        const std::size_t sender =
            std::uniform_int_distribution<std::size_t>{0, this->tested.endpoints - 1}(this->random_engine);
        const std::uint32_t free_slots = load.slots - load.in_flight;
        this->loop.after(
            this->tested.network_latency(sender, endpoint) + this->tested.report_delay(),
            [this, sender, endpoint, free_slots]
            { this->nodes[sender].router.on_idle_hint(this->node_names[endpoint], free_slots, this->loop.now()); });
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
            const core::duration network_latency = this->tested.network_latency(sender, endpoint);
            this->loop.after(network_latency, [this, sender, endpoint, network_latency]
                             { this->respond_to_probe(sender, endpoint, network_latency); });
        }
    }

    void respond_to_probe(std::size_t sender, std::size_t endpoint, core::duration network_latency)
    {
        const core::load_report report =
            this->tested.apply_report_fault(endpoint, this->nodes[endpoint].gate.load(this->loop.now()));
        this->loop.after(network_latency + this->tested.report_delay(),
                         [this, sender, endpoint, report] {
                             this->nodes[sender].router.on_report(this->node_names[endpoint], report, this->loop.now());
                         });
    }

    void expire()
    {
        for (std::size_t endpoint = 0; endpoint < this->nodes.size(); ++endpoint)
        {
            this->apply(this->nodes[endpoint].gate.expire(this->loop.now()), endpoint);
        }
    }

    void apply(const admission::changes& gate_changes, std::size_t endpoint)
    {
        for (const core::request_id& id : gate_changes.started)
        {
            this->run_call(std::stoul(id), endpoint);
        }
        for (const admission::refusal& refusal : gate_changes.refused)
        {
            this->refuse(std::stoul(refusal.id), endpoint, std::nullopt);
        }
    }

    std::size_t index_of(const core::node_id& id) const
    {
        constexpr std::size_t prefix_length = 5;
        return std::stoul(id.substr(prefix_length));
    }

    const scenario& tested;
    const std::vector<arrival>& calls;
    std::mt19937_64 random_engine;
    std::vector<call_state> call_states;
    std::vector<std::string> node_names;
    std::vector<node_fake> nodes;
    std::vector<bool> last_listed;
    double bytes_per_second{0.0};
    event_loop loop;
    policy_result result;
};

} // namespace

policy_result run_poplarport(const scenario& tested, const std::vector<arrival>& arrivals, std::uint64_t seed)
{
    return poplarport_run{tested, arrivals, seed}.run();
}

} // namespace poplarport::bench
