#include "poplarport/standins/platform/platform_server.hpp"

#include <algorithm> // min
#include <charconv>  // from_chars
#include <list>      // list
#include <map>       // map
#include <string>    // string
#include <utility>   // move

#include <nlohmann/json.hpp>

#include "poplarport/control/server.hpp"
#include "poplarport/net/timer.hpp"
#include "poplarport/standins/platform/object_store.hpp"
#include "poplarport/standins/platform/platform_faults.hpp"

namespace poplarport::standins
{
namespace
{

using control::request;
using control::responder;
using control::response;
using nlohmann::json;

constexpr std::string_view objects_path = "/v1/objects/";
constexpr std::chrono::milliseconds default_watch_timeout{30'000};
constexpr std::chrono::milliseconds max_watch_timeout{60'000};

/// @brief Token bucket that holds the tokens of one second.
class rate_limiter
{
  public:
    explicit rate_limiter(std::uint32_t max_rate) noexcept : tokens_per_second(max_rate), tokens(max_rate)
    {
    }

    bool try_acquire(core::time_point now) noexcept
    {
        const std::chrono::duration<double> elapsed = now - this->last_refill;
        this->last_refill = now;
        this->tokens = std::min(this->tokens_per_second, this->tokens + elapsed.count() * this->tokens_per_second);
        if (this->tokens < 1.0)
        {
            return false;
        }
        this->tokens -= 1.0;
        return true;
    }

  private:
    double tokens_per_second;
    double tokens;
    core::time_point last_refill{core::clock::now()};
};

response error_response(unsigned status, const std::string& text)
{
    return {status, control::json_type, json{{"error", text}}.dump()};
}

response object_response(const platform_object& object)
{
    // The stored text is inserted unparsed, so that the value is returned byte for byte.
    return {control::status::ok, control::json_type,
            R"({"version":)" + std::to_string(object.version) + R"(,"value":)" + object.value + "}"};
}

std::optional<std::uint64_t> parse_number(std::string_view text) noexcept
{
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool is_whole = error == std::errc{} && end == text.data() + text.size();
    return is_whole ? std::optional{value} : std::nullopt;
}

/// @brief Reads `If-Match: "VERSION"` or `If-None-Match: *`.
std::optional<write_condition> parse_condition(const request& message) noexcept
{
    if (message.header("if-none-match") == std::string_view{"*"})
    {
        return write_condition{0};
    }
    const auto match = message.header("if-match").value_or("");
    if (match.size() < 3 || match.front() != '"' || match.back() != '"')
    {
        return std::nullopt;
    }
    const auto version = parse_number(match.substr(1, match.size() - 2));
    return version.has_value() && *version > 0 ? std::optional{write_condition{*version}} : std::nullopt;
}

} // namespace

struct platform_server::state
{
    state(net::event_loop& shared_loop, const platform_settings& settings)
        : loop(&shared_loop), read_limiter(settings.reads_per_second), write_limiter(settings.writes_per_second)
    {
    }

    struct watch
    {
        std::string key;
        core::version after;
        responder to;
        std::unique_ptr<net::timer> timeout_timer;
    };

    net::event_loop* loop;
    object_store store{};
    platform_faults faults{};
    platform_counters counters{};
    rate_limiter read_limiter;
    rate_limiter write_limiter;
    std::list<watch> watches{};
    std::uint64_t era{1};
    std::unique_ptr<net::timer> restore_timer{}; ///< end of the time for which the store is away
    std::map<std::uint64_t, std::unique_ptr<net::timer>> delayed_calls{}; ///< calls delayed by the fault `slow`
    std::uint64_t next_delayed_id{0};
    std::unique_ptr<control::server> api{};
    std::unique_ptr<control::server> control_api{};

    using operation = void (state::*)(const request&, const responder&);

    /// @brief Applies the rate limit and the faults, then runs the operation.
    void call(rate_limiter& limiter, operation run, const request& message, const responder& to);
    void run_unless_down(operation run, const request& message, const responder& to);

    void get(const request& message, const responder& to);
    void list(const request& message, const responder& to);
    void put(const request& message, const responder& to);
    void erase(const request& message, const responder& to);
    void start_watch(const request& message, const responder& to);
    void respond_to_write(const write_result& result, const responder& to);
    void send(const responder& to, response content) const;
    void begin_restore(const request& message, const responder& to);
    void restore(core::time_point copied_at);
    void notify(const std::string& key);
    void end_all_watches();
    void set_fault(const request& message, const responder& to);
    [[nodiscard]] response describe_counters() const;
};

void platform_server::state::call(rate_limiter& limiter, operation run, const request& message, const responder& to)
{
    const auto now = this->loop->now();
    if (!limiter.try_acquire(now))
    {
        ++this->counters.refused;
        this->send(to, error_response(control::status::too_many_requests, "rate exceeded"));
        return;
    }
    if (!this->faults.slow.consume(now))
    {
        this->run_unless_down(run, message, to);
        return;
    }
    const std::uint64_t id = this->next_delayed_id++;
    const auto resume = [this, id, run, message, to]
    {
        const auto active_timer = std::move(this->delayed_calls[id]);
        this->delayed_calls.erase(id);
        this->run_unless_down(run, message, to);
    };
    this->delayed_calls[id] = std::make_unique<net::timer>(*this->loop, resume);
    this->delayed_calls[id]->schedule(this->faults.delay);
}

void platform_server::state::run_unless_down(operation run, const request& message, const responder& to)
{
    if (this->faults.down.consume(this->loop->now()))
    {
        ++this->counters.unavailable;
        this->send(to, error_response(control::status::unavailable, "outage"));
        return;
    }
    (this->*run)(message, to);
}

void platform_server::state::get(const request& message, const responder& to)
{
    if (message.parameter("watch") == std::string_view{"true"})
    {
        this->start_watch(message, to);
        return;
    }
    ++this->counters.reads;
    const platform_object* found = this->store.find(message.path.substr(objects_path.size()));
    this->send(to, found == nullptr ? error_response(control::status::not_found, "no such object")
                                    : object_response(*found));
}

void platform_server::state::start_watch(const request& message, const responder& to)
{
    ++this->counters.watches;
    const auto after = parse_number(message.parameter("after").value_or("0"));
    const auto timeout =
        parse_number(message.parameter("timeout_ms").value_or(std::to_string(default_watch_timeout.count())));
    if (!after.has_value() || !timeout.has_value())
    {
        this->send(to, error_response(control::status::bad_request, "after and timeout_ms must be numbers"));
        return;
    }
    std::string key = message.path.substr(objects_path.size());
    const platform_object* found = this->store.find(key);
    if (found != nullptr && found->version > *after)
    {
        this->send(to, object_response(*found));
        return;
    }
    if (*after > this->store.last_version())
    {
        this->send(to, error_response(control::status::gone, "no such version"));
        return;
    }
    if (found == nullptr && *after > 0)
    {
        this->send(to, error_response(control::status::not_found, "no such object"));
        return;
    }
    const auto position = this->watches.insert(this->watches.end(), {std::move(key), *after, to, nullptr});
    const auto expire = [this, position]
    {
        this->send(position->to, {control::status::no_content, "", ""});
        const auto active_timer = std::move(position->timeout_timer);
        this->watches.erase(position);
    };
    position->timeout_timer = std::make_unique<net::timer>(*this->loop, expire);
    const auto max_timeout_ms = static_cast<std::uint64_t>(max_watch_timeout.count());
    position->timeout_timer->schedule(std::chrono::milliseconds{std::min(*timeout, max_timeout_ms)});
}

void platform_server::state::list(const request& message, const responder& to)
{
    ++this->counters.lists;
    json entries = json::array();
    for (const listed_object& entry : this->store.list(message.parameter("prefix").value_or("")))
    {
        entries.push_back({{"key", entry.key}, {"version", entry.version}});
    }
    this->send(to, {control::status::ok, control::json_type, json{{"objects", std::move(entries)}}.dump()});
}

void platform_server::state::put(const request& message, const responder& to)
{
    ++this->counters.writes;
    const auto condition = parse_condition(message);
    const std::string key = message.path.substr(objects_path.size());
    if (!condition.has_value())
    {
        this->send(to, error_response(control::status::precondition_required, "If-Match or If-None-Match is required"));
        return;
    }
    if (key.empty() || !json::accept(message.body))
    {
        this->send(to, error_response(control::status::bad_request, "the key is empty or the value is not JSON"));
        return;
    }
    const write_result result = this->store.put(key, message.body, *condition, this->loop->now());
    this->respond_to_write(result, to);
    if (result.is_applied)
    {
        this->notify(key);
    }
}

void platform_server::state::erase(const request& message, const responder& to)
{
    ++this->counters.removals;
    const auto condition = parse_condition(message);
    const std::string key = message.path.substr(objects_path.size());
    if (!condition.has_value() || condition->expected_version == 0)
    {
        this->send(to, error_response(control::status::precondition_required, "If-Match is required"));
        return;
    }
    const write_result result = this->store.erase(key, *condition, this->loop->now());
    this->respond_to_write(result, to);
    if (result.is_applied)
    {
        this->notify(key);
    }
}

void platform_server::state::respond_to_write(const write_result& result, const responder& to)
{
    const std::string body = json{{"version", result.version}}.dump();
    if (!result.is_applied)
    {
        ++this->counters.conflicts;
        this->send(to, {control::status::precondition_failed, control::json_type, body});
        return;
    }
    if (this->faults.lost_response.consume(this->loop->now()))
    {
        ++this->counters.lost_responses;
        to.drop();
        return;
    }
    this->send(to, {control::status::ok, control::json_type, body});
}

void platform_server::state::notify(const std::string& key)
{
    const platform_object* object = this->store.find(key);
    std::erase_if(this->watches,
                  [this, &key, object](const watch& pending_watch)
                  {
                      if (pending_watch.key != key)
                      {
                          return false;
                      }
                      this->send(pending_watch.to, object == nullptr
                                                       ? error_response(control::status::not_found, "no such object")
                                                       : object_response(*object));
                      return true;
                  });
}

void platform_server::state::end_all_watches()
{
    for (const watch& pending_watch : this->watches)
    {
        this->send(pending_watch.to, error_response(control::status::unavailable, "outage"));
    }
    this->watches.clear();
}

void platform_server::state::send(const responder& to, response content) const
{
    content.headers.push_back({"object-era", std::to_string(this->era)});
    to.send(content);
}

void platform_server::state::begin_restore(const request& message, const responder& to)
{
    const json body = json::parse(message.body);
    const auto now = this->loop->now();
    const std::chrono::milliseconds away{body.value("away_ms", std::int64_t{0})};
    const std::chrono::milliseconds age{body.value("age_ms", std::int64_t{0})};
    if (age < age.zero() || age > object_store::copy_retention || away < away.zero())
    {
        to.send(error_response(control::status::bad_request, "age_ms must be 0 to 300000, away_ms not negative"));
        return;
    }
    this->faults.down.start(std::nullopt, now + away);
    this->end_all_watches();
    this->restore_timer =
        std::make_unique<net::timer>(*this->loop, [this, copied_at = now - age] { this->restore(copied_at); });
    this->restore_timer->schedule(away);
    to.send({control::status::ok, control::json_type, "{}"});
}

void platform_server::state::restore(core::time_point copied_at)
{
    this->faults.down.clear();
    this->store.restore(copied_at);
    ++this->era;
    ++this->counters.restores;
}

void platform_server::state::set_fault(const request& message, const responder& to)
{
    const json body = json::parse(message.body, nullptr, false);
    const std::string kind = body.is_object() ? body.value("kind", std::string{}) : std::string{};
    if (kind == "restore")
    {
        this->begin_restore(message, to);
        return;
    }
    std::map<std::string, limited_fault*> kinds{
        {"down", &this->faults.down}, {"slow", &this->faults.slow}, {"lost_answer", &this->faults.lost_response}};
    if (!kinds.contains(kind))
    {
        to.send(error_response(control::status::bad_request, "kind must be down, slow, lost_answer or restore"));
        return;
    }
    std::optional<std::uint64_t> count;
    std::optional<core::time_point> end;
    if (body.contains("count"))
    {
        count = body["count"].get<std::uint64_t>();
    }
    if (body.contains("for_ms"))
    {
        end = this->loop->now() + std::chrono::milliseconds{body["for_ms"].get<std::int64_t>()};
    }
    if (kind == "slow")
    {
        this->faults.delay = std::chrono::milliseconds{body.value("delay_ms", std::int64_t{0})};
    }
    kinds[kind]->start(count, end);
    if (kind == "down")
    {
        this->end_all_watches();
    }
    to.send({control::status::ok, control::json_type, "{}"});
}

response platform_server::state::describe_counters() const
{
    const platform_counters& current = this->counters;
    const std::uint64_t calls = current.reads + current.lists + current.watches + current.writes + current.removals;
    const json body{{"calls", calls},
                    {"reads", current.reads},
                    {"lists", current.lists},
                    {"watches", current.watches},
                    {"waiting_watches", this->watches.size()},
                    {"writes", current.writes},
                    {"removals", current.removals},
                    {"conflicts", current.conflicts},
                    {"refused", current.refused},
                    {"unavailable", current.unavailable},
                    {"lost_answers", current.lost_responses},
                    {"restores", current.restores}};
    return {control::status::ok, control::json_type, body.dump()};
}

platform_server::platform_server(net::event_loop& loop, const platform_settings& settings)
    : data(std::make_unique<state>(loop, settings))
{
    state* const self = this->data.get();
    const auto api_call = [self](rate_limiter& limiter, state::operation run) -> control::handler
    {
        return [self, &limiter, run](const request& message, const responder& to)
        {
            self->call(limiter, run, message, to);
        };
    };
    this->data->api = control::server::builder{loop}
                          .listen(settings.listen)
                          .route("GET", "/v1/objects", api_call(self->read_limiter, &state::list))
                          .route("GET", std::string{objects_path}, api_call(self->read_limiter, &state::get))
                          .route("PUT", std::string{objects_path}, api_call(self->write_limiter, &state::put))
                          .route("DELETE", std::string{objects_path}, api_call(self->write_limiter, &state::erase))
                          .build();
    if (!settings.control.has_value())
    {
        return;
    }
    this->data->control_api =
        control::server::builder{loop}
            .listen(*settings.control)
            .route("GET", "/counters",
                   [self](const request&, const responder& to) { to.send(self->describe_counters()); })
            .route("POST", "/faults",
                   [self](const request& message, const responder& to) { self->set_fault(message, to); })
            .route("DELETE", "/faults",
                   [self](const request&, const responder& to)
                   {
                       self->faults = {};
                       to.send({control::status::ok, control::json_type, "{}"});
                   })
            .build();
}

platform_server::~platform_server()
{
    this->data->control_api.reset();
    this->data->api.reset();
}

const core::socket_address& platform_server::address() const noexcept
{
    return this->data->api->address();
}

std::optional<core::socket_address> platform_server::control_address() const
{
    return this->data->control_api == nullptr ? std::nullopt : std::optional{this->data->control_api->address()};
}

const platform_counters& platform_server::counters() const noexcept
{
    return this->data->counters;
}

} // namespace poplarport::standins
