#pragma once

#include <cstddef> // size_t
#include <cstdint> // int32_t
#include <variant> // variant
#include <vector>  // vector

#include "poplarport/core/ids.hpp"

namespace poplarport::attempts
{

/// @brief Bytes of the request were passed to the connection; from now on the request may reach the receiver.
struct request_bytes_sent
{
    std::size_t bytes{0}; ///< bytes passed, including the header section; zero is ignored
};

/// @brief Why a receiver's refusal proves that the request did not run.
enum class refusal_proof
{
    admission_refused,      ///< the receiving node's admission refused the request; it was never dispatched
    upstream_not_contacted, ///< the receiving node sent no byte of the request to its upstream
    upstream_shed           ///< the upstream responded 503 with `Poplar-Not-Run: true`
};

/// @brief The receiver refused the request before dispatch, as stated in its response.
struct refused
{
    refusal_proof proof{refusal_proof::admission_refused};
    std::vector<core::node_id> better_peers; ///< peers with a shorter expected wait, best first
};

/// @brief RST_STREAM with the code REFUSED_STREAM (RFC 9113, 8.7).
struct refused_stream
{
};

/// @brief GOAWAY arrived on the connection of the attempt.
struct goaway
{
    std::int32_t stream{0};      ///< stream of the attempt
    std::int32_t last_stream{0}; ///< last stream that the peer may have processed
};

/// @brief The connection, or the stream alone, ended without proof that the request was not processed.
struct connection_lost
{
};

/// @brief A response header arrived whose `poplar-outcome` is `answered`.
struct response_started
{
};

/// @brief The response is complete.
struct response_completed
{
};

/// @brief The receiver reported that it sent the request to its upstream and that the outcome is unknown.
struct unknown_reported
{
};

/// @brief A timer at the sender expired.
struct local_timeout
{
};

/// @brief The caller cancelled the request.
struct cancelled
{
};

/// @brief Another attempt of the same call received a response first.
struct hedge_lost
{
};

/// @brief No endpoint was available for the attempt.
struct no_endpoint
{
};

/// @brief Any event that an attempt processes.
using attempt_event =
    std::variant<request_bytes_sent, refused, refused_stream, goaway, connection_lost, response_started,
                 response_completed, unknown_reported, local_timeout, cancelled, hedge_lost, no_endpoint>;

} // namespace poplarport::attempts
