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

// Separates the stream of random bodies from the stream of answers.
constexpr std::uint64_t body_stream = 0x626f6479;

/// @brief One call from its scheduled time to its end.
struct call
{
    sent_call record{};
    call_sample sample{};
    std::size_t target{0};
    core::time_point scheduled{};
    http::request_header head{};
    std::string body{};
    std::string expected{}; ///< body of the right answer
    std::size_t received{0};
    bool differs{false};
    ended_call end{};
    std::shared_ptr<http::client_connection> connection{};
    std::unique_ptr<net::timer> timeout{};
    bool ended{false};
};

using call_pointer = std::shared_ptr<call>;

void compare_body(call& compared, std::string_view bytes)
{
    const auto rest = std::string_view{compared.expected}.substr(std::min(compared.received, compared.expected.size()));
    compared.differs = compared.differs || rest.substr(0, bytes.size()) != bytes;
    compared.received += bytes.size();
}

// Reads what the answer's head says about the outcome.
void read_head(call& answered, const http::response_header& head)
{
    auto& end = answered.end;
    end.status = head.status;
    const auto* const code = head.fields.find("Poplar-Code");
    end.code = code != nullptr ? *code : std::string{};
    const auto* const told = head.fields.find("Poplar-Outcome");
    const auto* const key = head.fields.find(standins::request_key_field);
    const auto* const not_run = head.fields.find("Poplar-Not-Run");
    const auto outcome = told != nullptr ? call_outcome_from_string(*told) : std::nullopt;
    if (outcome && *outcome != call_outcome::refused)
    {
        end.based_on = evidence::field;
        end.outcome = *outcome;
    }
    else if (told == nullptr && not_run != nullptr && *not_run == "true")
    {
        end.based_on = evidence::upstream;
        end.outcome = call_outcome::not_run;
    }
    else if (told == nullptr && key != nullptr)
    {
        end.based_on = evidence::upstream;
        end.outcome = call_outcome::answered;
    }
    else
    {
        end.based_on = evidence::http;
        end.outcome = call_outcome::refused;
    }
    answered.differs = key != nullptr && *key != answered.record.key;
}

} // namespace

class runner::state
{
  public:
    state(net::event_loop& owner, const plan& values, call_ledger& calls, std::function<void()> on_done);

    void start();
    void stop();
    [[nodiscard]] run_progress progress() const;

    std::vector<call_sample> samples{};

  private:
    void launch_due();
    [[nodiscard]] call_pointer make_call(const arrival& due);
    void fill_request(call& made);
    void begin(const call_pointer& begun);
    void send(const call_pointer& sent, const std::shared_ptr<http::client_connection>& connection);
    void give_up(const call_pointer& late);
    void complete(const call_pointer& answered);
    void fail(const call_pointer& failed, const http::client_failure& failure);
    void end(const call_pointer& ended);
    void send_waiting(std::size_t target);
    void check_done();
    [[nodiscard]] std::size_t random_size(const size_range& range);

    net::event_loop* loop;
    plan chosen;
    call_ledger* ledger;
    std::function<void()> done;
    schedule arrivals;
    std::optional<arrival> upcoming{};
    std::mt19937_64 random;
    std::discrete_distribution<std::size_t> pick_tenant;
    std::discrete_distribution<std::size_t> pick_kind;
    std::vector<std::unique_ptr<http::client_pool>> pools{};
    std::vector<std::deque<call_pointer>> waiting{};
    std::set<call_pointer> open{};
    net::timer arrival_timer;
    core::time_point began{};
    microseconds began_at{0}; ///< wall clock
    std::size_t made{0};
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

runner::state::state(net::event_loop& owner, const plan& values, call_ledger& calls, std::function<void()> on_done)
    : loop(&owner), chosen(values), ledger(&calls), done(std::move(on_done)), arrivals(values.phases, values.seed),
      random(values.seed + 1), pick_tenant(distribution_of(values.tenants)), pick_kind(distribution_of(values.calls)),
      waiting(values.targets.size()), arrival_timer(owner, [this] { this->launch_due(); })
{
    http::client_pool::limits limits;
    limits.connections = values.connections;
    for (const auto& target : values.targets)
    {
        this->pools.push_back(std::make_unique<http::client_pool>(owner, target, limits));
    }
}

void runner::state::start()
{
    this->began = this->loop->now();
    this->began_at = duration_cast<microseconds>(std::chrono::system_clock::now().time_since_epoch());
    this->upcoming = this->arrivals.next();
    this->launch_due();
}

void runner::state::stop()
{
    this->upcoming.reset();
    this->arrival_timer.cancel();
    this->check_done();
}

void runner::state::launch_due()
{
    while (this->upcoming && this->began + this->upcoming->offset <= this->loop->now())
    {
        const auto due = *this->upcoming;
        this->upcoming = this->arrivals.next();
        this->begin(this->make_call(due));
    }
    if (this->upcoming)
    {
        this->arrival_timer.schedule(this->began + this->upcoming->offset - this->loop->now());
        return;
    }
    this->check_done();
}

call_pointer runner::state::make_call(const arrival& due)
{
    auto result = std::make_shared<call>();
    const auto number = this->made++;
    const auto offset = duration_cast<microseconds>(due.offset);
    result->scheduled = this->began + due.offset;
    result->sample.offset = offset;
    result->sample.phase = due.phase;
    result->sample.tenant = this->pick_tenant(this->random);
    result->sample.kind = this->pick_kind(this->random);
    auto& record = result->record;
    record.key = this->chosen.name + "-" + std::to_string(number);
    const auto by_key = static_cast<std::size_t>(standins::hash_of_body(record.key));
    result->target = (this->chosen.choice == target_choice::by_key ? by_key : number) % this->chosen.targets.size();
    record.target = core::to_string(this->chosen.targets[result->target]);
    record.tenant = this->chosen.tenants[result->sample.tenant].name;
    const auto& kind = this->chosen.calls[result->sample.kind];
    record.kind = kind.name();
    record.phase = this->chosen.phases[due.phase].name;
    record.repeatable = kind.repeatable;
    record.scheduled_at = this->began_at + offset;
    result->head.method = kind.method;
    result->head.target = kind.path + "/" + std::to_string(number);
    this->fill_request(*result);
    return result;
}

void runner::state::fill_request(call& made_call)
{
    const auto& kind = this->chosen.calls[made_call.sample.kind];
    const auto& sender = this->chosen.tenants[made_call.sample.tenant];
    const auto& key = made_call.record.key;
    made_call.body =
        standins::response_body(key, this->chosen.seed ^ body_stream, this->random_size(kind.request_bytes));
    const auto response_bytes = this->random_size(kind.response_bytes);
    const auto hash = standins::hash_of_body(made_call.body);
    made_call.expected = standins::response_body(key, hash, response_bytes);
    auto& head = made_call.head;
    head.fields.add("Host", this->chosen.service.empty() ? made_call.record.target : this->chosen.service);
    if (!this->chosen.service.empty())
    {
        head.fields.add("Poplar-Service", this->chosen.service);
    }
    if (!sender.secret.empty())
    {
        head.fields.add("Authorization", "Bearer " + sender.name + "." + sender.secret);
    }
    head.fields.add(standins::request_key_field, key);
    head.fields.add(standins::response_bytes_field, std::to_string(response_bytes));
    if (!made_call.body.empty())
    {
        head.framing = http::body_framing::fixed;
        head.content_length = made_call.body.size();
    }
}

std::size_t runner::state::random_size(const size_range& range)
{
    return std::uniform_int_distribution<std::size_t>{range.least, range.most}(this->random);
}

void runner::state::begin(const call_pointer& begun)
{
    this->ledger->write_sent(begun->record);
    this->open.insert(begun);
    const std::weak_ptr<call> timed = begun;
    begun->timeout = std::make_unique<net::timer>(*this->loop,
                                                  [this, timed]
                                                  {
                                                      if (const auto late = timed.lock())
                                                      {
                                                          this->give_up(late);
                                                      }
                                                  });
    begun->timeout->schedule(begun->scheduled + this->chosen.timeout - this->loop->now());
    this->waiting[begun->target].push_back(begun);
    this->send_waiting(begun->target);
}

void runner::state::send_waiting(std::size_t target)
{
    auto& queue = this->waiting[target];
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
    if (this->chosen.deadline)
    {
        // A deadline that passed while the call waited for a connection is sent as zero and proves the refusal.
        const auto time_left =
            duration_cast<milliseconds>(sent->scheduled + *this->chosen.deadline - this->loop->now());
        sent->head.fields.add("Poplar-Deadline-Ms", std::to_string(std::max(time_left, milliseconds{0}).count()));
    }
    connection->start(sent->head,
                      {.on_interim = {},
                       .on_response_header = [sent](const http::response_header& head) { read_head(*sent, head); },
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

void runner::state::give_up(const call_pointer& late)
{
    const bool sent = late->connection && late->connection->has_sent_bytes();
    late->end.outcome = sent ? call_outcome::unknown : call_outcome::not_run;
    late->end.based_on = sent ? evidence::timeout : evidence::not_sent;
    late->end.code = "timed out";
    if (late->connection)
    {
        late->connection->abort();
    }
    this->end(late);
}

void runner::state::complete(const call_pointer& answered)
{
    if (answered->end.outcome == call_outcome::answered)
    {
        const bool is_whole = answered->received == answered->expected.size() || answered->head.method == "HEAD";
        answered->end.body_matched = is_whole && !answered->differs;
    }
    this->end(answered);
}

void runner::state::fail(const call_pointer& failed, const http::client_failure& failure)
{
    failed->end.outcome = failure.bytes_sent ? call_outcome::unknown : call_outcome::not_run;
    failed->end.based_on = failure.bytes_sent ? evidence::connection : evidence::not_sent;
    failed->end.code = failure.error.message();
    this->end(failed);
}

void runner::state::end(const call_pointer& ended)
{
    if (std::exchange(ended->ended, true))
    {
        return;
    }
    ended->timeout->cancel();
    ended->end.latency = duration_cast<microseconds>(this->loop->now() - ended->scheduled);
    ended->sample.latency = ended->end.latency;
    ended->sample.outcome = ended->end.outcome;
    ended->sample.body_mismatch = ended->end.body_matched == false;
    this->ledger->write_ended(ended->record, ended->end);
    this->samples.push_back(ended->sample);
    this->open.erase(ended);
    if (const auto connection = std::exchange(ended->connection, nullptr))
    {
        this->pools[ended->target]->release(connection);
    }
    this->send_waiting(ended->target);
    this->check_done();
}

void runner::state::check_done()
{
    if (!this->upcoming && this->open.empty() && this->done)
    {
        this->loop->post(std::exchange(this->done, {}));
    }
}

run_progress runner::state::progress() const
{
    run_progress result;
    result.elapsed = duration_cast<milliseconds>(this->loop->now() - this->began);
    result.sent = this->made;
    result.ended = this->samples.size();
    for (const auto& queue : this->waiting)
    {
        result.waiting += queue.size();
    }
    return result;
}

runner::runner(net::event_loop& loop, const plan& values, call_ledger& ledger, std::function<void()> on_done)
    : data(std::make_unique<state>(loop, values, ledger, std::move(on_done)))
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

run_progress runner::progress() const
{
    return this->data->progress();
}

} // namespace poplarport::load
