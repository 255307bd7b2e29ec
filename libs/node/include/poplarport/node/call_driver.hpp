#pragma once

#include <cstdint>      // uint64_t
#include <deque>        // deque
#include <functional>   // function
#include <memory>       // enable_shared_from_this, shared_ptr
#include <optional>     // optional
#include <random>       // mt19937_64
#include <string>       // string
#include <system_error> // error_code
#include <vector>       // vector

#include "poplarport/attempts/call.hpp"
#include "poplarport/core/outcome.hpp"
#include "poplarport/http/server.hpp"
#include "poplarport/net/event_loop.hpp"
#include "poplarport/net/timer.hpp"
#include "poplarport/node/attempt_channel.hpp"
#include "poplarport/node/buffer_budget.hpp"
#include "poplarport/node/call_description.hpp"
#include "poplarport/node/call_protocol.hpp"

namespace poplarport::node
{

/// @brief Result of a call, for metrics and logs.
struct call_result
{
    core::outcome outcome{core::outcome::unknown};
    std::error_code code{}; ///< empty for `answered`
    int status{0};          ///< HTTP status sent to the caller, 0 when the caller had disconnected
    core::duration latency{0};
    std::size_t attempts{0};
};

/// @brief An opened attempt and its endpoint.
struct opened_attempt
{
    core::node_id endpoint;
    std::shared_ptr<attempt_channel> channel;
};

/// @brief Runs one call at its entry node.
///
/// Starts the attempts that `attempts::call` requests, forwards the caller's request to their endpoints and forwards
/// the response to the caller.
class call_driver : public std::enable_shared_from_this<call_driver>
{
  public:
    /// @brief Callbacks into the other parts of the node.
    struct hooks
    {
        /// Opens an attempt; returns nothing when there is no endpoint.
        std::function<std::optional<opened_attempt>(const attempts::start_parameters&, const http::request_header&,
                                                    const call_description&, attempt_channel::hooks)>
            open;
        std::function<void(const call_result&)> on_finished; ///< called exactly once
        /// Proposes a delay after which a call that was not run may be retried; may be empty.
        std::function<std::optional<core::duration>(const call_description&)> retry_after{};
        /// Budget for responses larger than max_buffered_response_bytes; null for none. Must outlive the call.
        buffer_budget* pipelined_responses{nullptr};
    };

    /// @param[in] loop        event loop of the node
    /// @param[in] exchange    request of the caller and its response
    /// @param[in] protocol    header fields of callers and upstreams; must outlive the call
    /// @param[in] description properties of the call
    /// @param[in] request     input of the attempt logic
    /// @param[in] limits      limits for attempts
    /// @param[in] budget      retry budget of the service; must outlive the call
    /// @param[in] random      random engine of the node
    /// @param[in] events      callbacks into the other parts of the node
    call_driver(net::event_loop& loop, std::shared_ptr<http::server_exchange> exchange, const call_protocol& protocol,
                call_description description, const attempts::call_request& request,
                const attempts::call_limits& limits, attempts::retry_budget& budget, std::mt19937_64& random,
                hooks events);

    /// @brief Starts the first attempt.
    void start();

    /// @brief Ends the call as at its deadline: the caller receives a response that says whether the request may have
    /// run.
    void expire();

  private:
    struct slot
    {
        std::shared_ptr<attempt_channel> channel{};
        std::optional<http::response_header> header{};
        std::string buffered_body{}; ///< body of a response that is not forwarded yet
        bool is_buffered{false};     ///< the response is buffered until it is complete
        buffer_budget::share budget_share{};
        bool is_complete{false}; ///< the buffered response is complete
        bool sent_reported{false};
    };

    struct queued_event
    {
        attempts::attempt_id id;
        attempts::attempt_event event;
    };

    [[nodiscard]] http::server_exchange::hooks caller_hooks();
    [[nodiscard]] attempt_channel::hooks channel_hooks(attempts::attempt_id id);
    void handle_body(std::string_view bytes);
    void handle_body_end();
    void handle_caller_gone();
    void handle_failure(attempts::attempt_id id, const attempt_failure& failure);
    void handle_response_header(attempts::attempt_id id, http::response_header& header);
    void handle_response_body(attempts::attempt_id id, std::string_view bytes);
    void handle_response_end(attempts::attempt_id id);
    [[nodiscard]] std::size_t buffer_limit() const;
    [[nodiscard]] bool may_buffer(slot& attempt_slot) const;
    void release_buffered(attempts::attempt_id id);
    [[nodiscard]] std::optional<attempts::attempt_id> failed_response() const;
    void handle_timer();
    void advance(core::time_point now);
    void push_event(attempts::attempt_id id, attempts::attempt_event event);
    void process_events();
    void report_sent(attempts::attempt_id id);
    void report_all_sent();
    void execute(const attempts::call_actions& actions);
    void open(const attempts::start_parameters& parameters);
    void forward_response_header(attempts::attempt_id id);
    void finish(const attempts::finish& finish_action);
    int respond_without_upstream(const attempts::finish& finish_action);
    void update_reading();
    void schedule_timer();
    [[nodiscard]] slot& slot_of(attempts::attempt_id id);

    net::event_loop* loop;
    std::shared_ptr<http::server_exchange> exchange;
    const call_protocol* protocol;
    call_description description;
    http::request_header forwarded_request;
    attempts::call call;
    std::mt19937_64* random;
    hooks events;
    core::time_point started_at;
    net::timer wakeup;
    std::vector<slot> slots{};
    std::deque<queued_event> queue{};
    bool processing{false};
    bool finished{false};
    bool header_forwarded{false};
    std::string body{};
    std::uint64_t body_bytes{0};
    bool body_complete{false};
    bool body_discarded{false};
    bool body_too_large{false};
    bool caller_gone{false};
    std::error_code last_reason{};
};

} // namespace poplarport::node
