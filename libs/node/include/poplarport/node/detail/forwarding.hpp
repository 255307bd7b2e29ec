#pragma once

#include <string>       // string
#include <system_error> // error_code

#include "poplarport/core/outcome.hpp"
#include "poplarport/http/message.hpp"
#include "poplarport/node/call_description.hpp"
#include "poplarport/node/call_protocol.hpp"

namespace poplarport::node::detail
{

/// @brief Creates the header section of the upstream request from that of the caller's request.
///
/// Hop-by-hop fields, the credential and all `Poplar-` fields of the caller are removed.
[[nodiscard]] http::request_header make_upstream_request(const http::request_header& received,
                                                         const std::string& caller_host);

/// @brief Adds the call's id, tenant, class, depth, attempt and remaining time to an upstream request.
///
/// The upstream passes depth and attempt on with the calls that it makes, so that retries do not multiply over several
/// levels of calls.
/// @param[in] left time until the deadline; sent in milliseconds, rounded up
void add_upstream_fields(http::request_header& header, const received_call& call, core::duration left);

/// @brief Prepares the header section of an upstream's response for the caller.
void prepare_response(http::response_header& header, const call_description& description);

/// @brief Adds the header fields with the outcome, result code and id of the caller's request.
void add_outcome(http::response_header& header, core::outcome outcome, std::error_code code,
                 const core::request_id& request);

/// @brief Creates the JSON body of a response that the node sends itself.
[[nodiscard]] std::string make_error_body(core::outcome outcome, std::error_code code, const core::request_id& request);

/// @brief Removes all fields whose name starts with `Poplar-`.
void remove_internal_fields(http::header_fields& fields);

} // namespace poplarport::node::detail
