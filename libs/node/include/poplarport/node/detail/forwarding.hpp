#pragma once

#include <string>       // string
#include <system_error> // error_code

#include "poplarport/core/outcome.hpp"
#include "poplarport/http/message.hpp"
#include "poplarport/node/call_description.hpp"
#include "poplarport/node/call_protocol.hpp"

namespace poplarport::node::detail
{

/// @brief Makes the head that goes to the upstream from the caller's head.
///
/// Hop-by-hop fields, the credential and the caller's own `Poplar-` fields are removed.
[[nodiscard]] http::request_head make_upstream_request(const http::request_head& received,
                                                       const std::string& caller_host);

/// @brief Adds what the upstream is told of a call: id, tenant, class, depth, attempt and remaining time.
///
/// @param[in] left time until the deadline; the upstream is told it in milliseconds, rounded up
///
/// The upstream passes depth and attempt on with calls of its own, so that retries do not multiply over many levels.
void add_upstream_fields(http::request_head& head, const received_call& call, core::duration left);

/// @brief Prepares the head of an upstream's answer for the caller.
void prepare_answer(http::response_head& head, const call_description& description);

/// @brief Adds the fields that tell the caller how its request ended.
void add_outcome(http::response_head& head, core::outcome outcome, std::error_code code,
                 const core::request_id& request);

/// @brief Makes an answer of the node's own, in JSON.
[[nodiscard]] std::string make_error_body(core::outcome outcome, std::error_code code, const core::request_id& request);

/// @brief Removes every field whose name starts with `Poplar-`.
void remove_internal_fields(http::header_fields& fields);

} // namespace poplarport::node::detail
