#include "poplarport/load/runner.hpp"

#include <deque>   // deque
#include <random>  // discrete_distribution, mt19937_64, uniform_int_distribution
#include <set>     // set
#include <utility> // exchange, move

#include "poplarport/http/client_pool.hpp"
#include "poplarport/load/schedule.hpp"
#include "poplarport/net/timer.hpp"
#include "poplarport/standins/upstream/response_body.hpp"

namespace poplarport::load
{

namespace
{

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

// Keeps the random request bodies independent of the response bodies.
constexpr std::uint64_t request_body_seed_mask = 0x626f6479;

/// @brief One call from its scheduled time to its end.
struct call
{
    sent_call record{};
    call_sample sample{};
    std::size_t target{0};
    core::time_point scheduled_at{};
    http::request_header request_header{};
    std::string body{};
    std::string expected_body{}; ///< body of the correct response
    std::size_t received_bytes{0};
    bool response_differs{false};
    ended_call end{};
    std::shared_ptr<http::client_connection> connection{};
    std::unique_ptr<net::timer> timeout{};
    bool ended{false};
};

using call_pointer = std::shared_ptr<call>;

void compare_body(call& compared, std::string_view bytes)
{
    const auto remaining = std::string_view{compared.expected_body}.substr(
        std::min(compared.received_bytes, compared.expected_body.size()));
    compared.response_differs = compared.response_differs || remaining.substr(0, bytes.size()) != bytes;
    compared.received_bytes += bytes.size();
}

// Determines the outcome from the header of the response.
void read_response_header(call& completed, const http::response_header& header)
{
    auto& end = completed.end;
    end.status = header.status;
    const auto* const code = header.fields.find("Poplar-Code");
    end.code = code != nullptr ? *code : std::string{};
    const auto* const outcome_field = header.fields.find("Poplar-Outcome");
    const auto* const key = header.fields.find(standins::request_key_field);
    const auto* const not_run_field = header.fields.find("Poplar-Not-Run");
    const auto outcome = outcome_field != nullptr ? call_outcome_from_string(*outcome_field) : std::nullopt;
    if (outcome && *outcome != call_outcome::refused)
    {
        end.based_on = evidence::field;
        end.outcome = *outcome;
    }
    else if (outcome_field == nullptr && not_run_field != nullptr && *not_run_field == "true")
    {
        end.based_on = evidence::upstream;
        end.outcome = call_outcome::not_run;
    }
    else if (outcome_field == nullptr && key != nullptr)
    {
        end.based_on = evidence::upstream;
        end.outcome = call_outcome::answered;
    }
    else
    {
        end.based_on = evidence::http;
        end.outcome = call_outcome::refused;
    }
    completed.response_differs = key != nullptr && *key != completed.record.key;
}

} // namespace

class runner::state
{
  public:
    state(net::event_loop& run_loop, const plan& plan_to_run, call_ledger& run_ledger, std::function<void()> on_done);

    void start();
    void stop();
    [[nodiscard]] run_progress progress() const;

    std::vector<call_sample> samples{};
    std::vector<run_pause> pauses{};

  private:
    void record_start(microseconds due);
    void start_due_calls();
    [[nodiscard]] call_pointer make_call(const arrival& due);
    void fill_request(call& new_call);
    void start_call(const call_pointer& started);
    void send(const call_pointer& sent, const std::shared_ptr<http::client_connection>& connection);
    void time_out(const call_pointer& expired);
    void complete(const call_pointer& completed);
    void fail(const call_pointer& failed, const http::client_failure& failure);
    void finish_call(const call_pointer& ended);
    void send_waiting(std::size_t target);
    void check_done();
    [[nodiscard]] std::size_t random_size(const size_range& range);

    net::event_loop* loop;
    plan run_plan;
    call_ledger* ledger;
    std::function<void()> done_handler;
    schedule arrivals;
    std::optional<arrival> next_arrival{};
    std::mt19937_64 random_engine;
    std::discrete_distribution<std::size_t> tenant_distribution;
    std::discrete_distribution<std::size_t> kind_distribution;
    std::vector<std::unique_ptr<http::client_pool>> pools{};
    std::vector<std::deque<call_pointer>> waiting_calls{};
    std::set<call_pointer> calls_in_progress{};
    net::timer arrival_timer;
    core::time_point start_time{};
    microseconds wall_clock_start{0}; ///< wall-clock time since the epoch
    std::size_t created_calls{0};
};

namespace
{

template <typename Item>
std::discrete_distribution<std::size_t> distribution_of(const std::vector<Item>& items)
{
    std::vector<double> weights;
    weights.reserve(items.size());
    for (const auto& item : items)
    {
        weights.push_back(item.weight);
    }
    return {weights.begin(), weights.end()};
}

} // namespace

runner::state::state(net::event_loop& run_loop, const plan& plan_to_run, call_ledger& run_ledger,
                     std::function<void()> on_done)
    : loop(&run_loop), run_plan(plan_to_run), ledger(&run_ledger), done_handler(std::move(on_done)),
      arrivals(plan_to_run.phases, plan_to_run.seed), random_engine(plan_to_run.seed + 1),
      tenant_distribution(distribution_of(plan_to_run.tenants)), kind_distribution(distribution_of(plan_to_run.calls)),
      waiting_calls(plan_to_run.targets.size()), arrival_timer(run_loop, [this] { this->start_due_calls(); })
{
    http::client_pool::limits limits;
    limits.connections = plan_to_run.connections;
    for (const auto& target : plan_to_run.targets)
    {
        this->pools.push_back(std::make_unique<http::client_pool>(run_loop, target, limits));
    }
}

void runner::state::start()
{
    this->start_time = this->loop->now();
    this->wall_clock_start = duration_cast<microseconds>(std::chrono::system_clock::now().time_since_epoch());
    this->next_arrival = this->arrivals.next();
    this->start_due_calls();
}

void runner::state::stop()
{
    this->next_arrival.reset();
    this->arrival_timer.cancel();
    this->check_done();
}

// A call that starts much too late shows that the process did not run. Calls that were in progress or due meanwhile
// appear late, whoever served them.
void runner::state::record_start(microseconds due)
{
    constexpr milliseconds max_delay{50};
    const auto elapsed = duration_cast<microseconds>(this->loop->now() - this->start_time);
    if (elapsed - due <= max_delay)
    {
        return;
    }
    if (!this->pauses.empty() && due <= this->pauses.back().end)
    {
        this->pauses.back().end = elapsed;
        return;
    }
    this->pauses.push_back({due, elapsed});
}

void runner::state::start_due_calls()
{
    while (this->next_arrival && this->start_time + this->next_arrival->offset <= this->loop->now())
    {
        const auto due = *this->next_arrival;
        this->record_start(duration_cast<microseconds>(due.offset));
        this->next_arrival = this->arrivals.next();
        this->start_call(this->make_call(due));
    }
    if (this->next_arrival)
    {
        this->arrival_timer.schedule(this->start_time + this->next_arrival->offset - this->loop->now());
        return;
    }
    this->check_done();
}

call_pointer runner::state::make_call(const arrival& due)
{
    auto result = std::make_shared<call>();
    const auto number = this->created_calls++;
    const auto offset = duration_cast<microseconds>(due.offset);
    result->scheduled_at = this->start_time + due.offset;
    result->sample.offset = offset;
    result->sample.phase = due.phase;
    result->sample.tenant = this->tenant_distribution(this->random_engine);
    result->sample.kind = this->kind_distribution(this->random_engine);
    auto& record = result->record;
    record.key = this->run_plan.name + "-" + std::to_string(number);
    const auto key_hash = static_cast<std::size_t>(standins::hash_of_body(record.key));
    result->target =
        (this->run_plan.choice == target_choice::by_key ? key_hash : number) % this->run_plan.targets.size();
    record.target = core::to_string(this->run_plan.targets[result->target]);
    record.tenant = this->run_plan.tenants[result->sample.tenant].name;
    const auto& kind = this->run_plan.calls[result->sample.kind];
    record.kind = kind.name();
    record.phase = this->run_plan.phases[due.phase].name;
    record.repeatable = kind.repeatable;
    record.scheduled_at = this->wall_clock_start + offset;
    result->request_header.method = kind.method;
    result->request_header.target = kind.path + "/" + std::to_string(number);
    this->fill_request(*result);
    return result;
}

void runner::state::fill_request(call& new_call)
{
    const auto& kind = this->run_plan.calls[new_call.sample.kind];
    const auto& call_tenant = this->run_plan.tenants[new_call.sample.tenant];
    const auto& key = new_call.record.key;
    new_call.body = standins::response_body(key, this->run_plan.seed ^ request_body_seed_mask,
                                            this->random_size(kind.request_bytes));
    const auto response_bytes = this->random_size(kind.response_bytes);
    const auto hash = standins::hash_of_body(new_call.body);
    new_call.expected_body = standins::response_body(key, hash, response_bytes);
    auto& header = new_call.request_header;
    header.fields.add("Host", this->run_plan.service.empty() ? new_call.record.target : this->run_plan.service);
    if (!this->run_plan.service.empty())
    {
        header.fields.add("Poplar-Service", this->run_plan.service);
    }
    if (!call_tenant.secret.empty())
    {
        header.fields.add("Authorization", "Bearer " + call_tenant.name + "." + call_tenant.secret);
    }
    header.fields.add(standins::request_key_field, key);
    header.fields.add(standins::response_bytes_field, std::to_string(response_bytes));
    if (!new_call.body.empty())
    {
        header.framing = http::body_framing::fixed;
        header.content_length = new_call.body.size();
    }
}

std::size_t runner::state::random_size(const size_range& range)
{
    return std::uniform_int_distribution<std::size_t>{range.min, range.max}(this->random_engine);
}

void runner::state::start_call(const call_pointer& started)
{
    this->ledger->write_sent(started->record);
    this->calls_in_progress.insert(started);
    const std::weak_ptr<call> weak_call = started;
    started->timeout = std::make_unique<net::timer>(*this->loop,
                                                    [this, weak_call]
                                                    {
                                                        if (const auto expired = weak_call.lock())
                                                        {
                                                            this->time_out(expired);
                                                        }
                                                    });
    started->timeout->schedule(started->scheduled_at + this->run_plan.timeout - this->loop->now());
    this->waiting_calls[started->target].push_back(started);
    this->send_waiting(started->target);
}

void runner::state::send_waiting(std::size_t target)
{
    auto& queue = this->waiting_calls[target];
    while (!queue.empty())
    {
        if (queue.front()->ended)
        {
            queue.pop_front();
            continue;
        }
        const auto connection = this->pools[target]->acquire();
        if (!connection)
        {
            return;
        }
        const auto next = queue.front();
        queue.pop_front();
        this->send(next, connection);
    }
}

void runner::state::send(const call_pointer& sent, const std::shared_ptr<http::client_connection>& connection)
{
    sent->connection = connection;
    if (this->run_plan.deadline)
    {
        // A deadline that expired while the call waited for a connection is sent as zero, so that the receiver must
        // refuse the call.
        const auto time_left =
            duration_cast<milliseconds>(sent->scheduled_at + *this->run_plan.deadline - this->loop->now());
        sent->request_header.fields.add("Poplar-Deadline-Ms",
                                        std::to_string(std::max(time_left, milliseconds{0}).count()));
    }
    connection->start(sent->request_header, {.on_interim = {},
                                             .on_response_header = [sent](const http::response_header& header)
                                             { read_response_header(*sent, header); },
                                             .on_body = [sent](std::string_view bytes) { compare_body(*sent, bytes); },
                                             .on_end = [this, sent] { this->complete(sent); },
                                             .on_writable = {},
                                             .on_failed =
                                                 [this, sent](const http::client_failure& failure)
                                             {
                                                 this->fail(sent, failure);
                                             }});
    connection->send_body(sent->body);
    connection->finish_request();
}

void runner::state::time_out(const call_pointer& expired)
{
    const bool sent = expired->connection && expired->connection->has_sent_bytes();
    expired->end.outcome = sent ? call_outcome::unknown : call_outcome::not_run;
    expired->end.based_on = sent ? evidence::timeout : evidence::not_sent;
    expired->end.code = "timed out";
    if (expired->connection)
    {
        expired->connection->abort();
    }
    this->finish_call(expired);
}

void runner::state::complete(const call_pointer& completed)
{
    if (completed->end.outcome == call_outcome::answered)
    {
        const bool is_whole =
            completed->received_bytes == completed->expected_body.size() || completed->request_header.method == "HEAD";
        completed->end.body_matched = is_whole && !completed->response_differs;
    }
    this->finish_call(completed);
}

void runner::state::fail(const call_pointer& failed, const http::client_failure& failure)
{
    failed->end.outcome = failure.bytes_sent ? call_outcome::unknown : call_outcome::not_run;
    failed->end.based_on = failure.bytes_sent ? evidence::connection : evidence::not_sent;
    failed->end.code = failure.error.message();
    this->finish_call(failed);
}

void runner::state::finish_call(const call_pointer& ended)
{
    if (std::exchange(ended->ended, true))
    {
        return;
    }
    ended->timeout->cancel();
    ended->end.latency = duration_cast<microseconds>(this->loop->now() - ended->scheduled_at);
    ended->sample.latency = ended->end.latency;
    ended->sample.outcome = ended->end.outcome;
    ended->sample.body_mismatch = ended->end.body_matched == false;
    this->ledger->write_ended(ended->record, ended->end);
    this->samples.push_back(ended->sample);
    this->calls_in_progress.erase(ended);
    if (const auto connection = std::exchange(ended->connection, nullptr))
    {
        this->pools[ended->target]->release(connection);
    }
    this->send_waiting(ended->target);
    this->check_done();
}

void runner::state::check_done()
{
    if (!this->next_arrival && this->calls_in_progress.empty() && this->done_handler)
    {
        this->loop->post(std::exchange(this->done_handler, {}));
    }
}

run_progress runner::state::progress() const
{
    run_progress result;
    result.elapsed = duration_cast<milliseconds>(this->loop->now() - this->start_time);
    result.sent = this->created_calls;
    result.ended = this->samples.size();
    for (const auto& queue : this->waiting_calls)
    {
        result.waiting_for_connection += queue.size();
    }
    return result;
}

runner::runner(net::event_loop& loop, const plan& run_plan, call_ledger& ledger, std::function<void()> on_done)
    : data(std::make_unique<state>(loop, run_plan, ledger, std::move(on_done)))
{
}

runner::~runner() = default;

void runner::start()
{
    this->data->start();
}

void runner::stop()
{
    this->data->stop();
}

const std::vector<call_sample>& runner::samples() const noexcept
{
    return this->data->samples;
}

const std::vector<run_pause>& runner::pauses() const noexcept
{
    return this->data->pauses;
}

run_progress runner::progress() const
{
    return this->data->progress();
}

} // namespace poplarport::load
