#pragma once

#include <cstdint>      // uint32_t
#include <functional>   // function
#include <optional>     // optional
#include <string>       // string
#include <system_error> // error_code

#include "poplarport/core/outcome.hpp"
#include "poplarport/core/time.hpp"
#include "poplarport/http/message.hpp"
#include "poplarport/node/call_description.hpp"

namespace poplarport::node
{

/// @brief What the receiving side knows of a call.
struct received_call
{
    core::request_id id;
    std::string tenant;
    std::string traffic_class;
    core::time_point deadline;                      ///< the upstream must not start the request after this instant
    std::uint32_t depth{0};                         ///< calls above this one
    std::uint32_t attempt{1};                       ///< number of the attempt on the request's path
    std::optional<core::duration> wait_elsewhere{}; ///< expected wait at the best peer
    std::optional<core::time_point> target{};       ///< an answer after this instant is of little worth
};

/// @brief Load that an upstream reports beside an answer.
struct upstream_load
{
    std::uint32_t running{0};
    std::uint32_t waiting{0};
    std::uint32_t slots{0};
    std::uint32_t slowdown_percent{100}; ///< present duration of work, 100 for the usual one
};

/// @brief What the head of an upstream's answer proves.
enum class answer_kind
{
    own,         ///< the answer to the request
    not_run,     ///< the upstream refused the request before it ran
    misdirected, ///< another upstream has the address; it did not run the request
    foreign      ///< the answer to another request, or one that cannot be attributed
};

/// @brief An upstream's answer as the receiving node judges it.
struct answer_verdict
{
    answer_kind kind{answer_kind::own};
    std::optional<upstream_load> load{};
};

/// @brief How a call ended that gets an answer of the node's own.
struct own_answer_reason
{
    core::outcome outcome{core::outcome::unknown};
    std::error_code code{};
    int status{0};
    std::optional<core::duration> retry_after{}; ///< when another try is likely to be served
};

/// @brief An answer of the node's own.
struct own_answer
{
    http::response_head head{};
    std::string body{};
};

/// @brief The header fields that callers and upstreams of an installation use; all hooks are set.
struct call_protocol
{
    /// Makes the head that goes to the upstream from the caller's head.
    std::function<http::request_head(const http::request_head&, const call_description&, const std::string& caller)>
        make_request;
    /// Adds what one upstream is told when the request is sent to it.
    /// `upstream` is the identity of the upstream's start, or empty.
    std::function<void(http::request_head&, const received_call&, const std::string& upstream, core::duration left)>
        address_request;
    /// Judges the head of an upstream's answer to a request.
    std::function<answer_verdict(const http::response_head&, const http::request_head& request)> judge_answer;
    /// Prepares the head of an upstream's answer for the caller.
    std::function<void(http::response_head&, const call_description&)> prepare_answer;
    /// Makes an answer of the node's own.
    std::function<own_answer(const call_description&, const own_answer_reason&)> make_answer;
};

/// @return the protocol of poplarport's own interface, with `Poplar-` fields
[[nodiscard]] call_protocol own_protocol();

} // namespace poplarport::node
