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

/// @brief Properties of a call at the receiving node.
struct received_call
{
    core::request_id id;
    std::string tenant;
    std::string traffic_class;
    core::time_point deadline;                      ///< the upstream must not start the request after this time
    std::uint32_t depth{0};                         ///< number of calls above this one in the call chain
    std::uint32_t attempt{1};                       ///< attempt number, counted over all levels of the call chain
    std::optional<core::duration> best_peer_wait{}; ///< expected wait at the best peer
    std::optional<core::time_point> target{};       ///< a response after this time has little value to the caller
    bool awaits_acceptance{false}; ///< the sender holds the body back until the call is queued or admitted
};

/// @brief Load that an upstream reports with a response.
struct upstream_load
{
    std::uint32_t running{0};
    std::uint32_t waiting{0};
    std::uint32_t slots{0};
    std::uint32_t slowdown_percent{100}; ///< current duration of work in percent of the usual duration
};

/// @brief What an upstream states with a response about the requests that it accepts.
struct upstream_notice
{
    /// Requests per second that it takes from all nodes together, until it no longer says so; empty for no limit.
    std::optional<double> max_request_rate{};
    bool is_leaving{false}; ///< it is about to end and must get no new work
};

/// @brief Classification of an upstream's response by its header section.
enum class response_kind
{
    matching,    ///< the response to the request
    not_run,     ///< the upstream refused the request without running it
    misdirected, ///< another upstream responds at this address; it did not run the request
    foreign      ///< the response to another request, or one that cannot be attributed
};

/// @brief Classification of an upstream's response, with the load and the notice in it.
struct response_classification
{
    response_kind kind{response_kind::matching};
    std::optional<upstream_load> load{};
    upstream_notice notice{};
};

/// @brief Result of a call to which the node responds itself.
struct local_response_reason
{
    core::outcome outcome{core::outcome::unknown};
    std::error_code code{};
    int status{0};
    std::optional<core::duration> retry_after{}; ///< delay after which a retry is likely to be served
};

/// @brief A response that the node creates itself, without the upstream.
struct local_response
{
    http::response_header header{};
    std::string body{};
};

/// @brief Reads and writes the header fields that callers and upstreams of an installation use; every function must be
/// set.
struct call_protocol
{
    /// Creates the header section of the upstream request from that of the caller's request.
    std::function<http::request_header(const http::request_header&, const call_description&, const std::string& caller)>
        make_request;
    /// Adds the header fields for one upstream and attempt when the request is sent.
    /// `upstream` is the identity of the upstream instance, or empty; `left` is the time until the deadline.
    std::function<void(http::request_header&, const received_call&, const std::string& upstream, core::duration left)>
        address_request;
    /// Classifies an upstream's response to a request by its header section.
    std::function<response_classification(const http::response_header&, const http::request_header& request)>
        classify_response;
    /// Prepares the header section of an upstream's response for the caller.
    std::function<void(http::response_header&, const call_description&)> prepare_response;
    /// Creates a response of the node itself.
    std::function<local_response(const call_description&, const local_response_reason&)> make_local_response;
};

/// @return the default protocol, which uses `Poplar-` fields
[[nodiscard]] call_protocol default_call_protocol();

} // namespace poplarport::node
