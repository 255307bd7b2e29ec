#include "poplarport/node/call_protocol.hpp"

#include <utility> // move

#include "poplarport/node/detail/forwarding.hpp"

namespace poplarport::node
{

namespace
{

response_classification classify_poplar_response(const http::response_header& response)
{
    constexpr int service_unavailable = 503;
    const auto* const not_run = response.fields.find("Poplar-Not-Run");
    const bool is_shed = response.status == service_unavailable && not_run != nullptr && *not_run == "true";
    return {is_shed ? response_kind::not_run : response_kind::matching, std::nullopt, {}};
}

local_response make_poplar_response(const call_description& description, const local_response_reason& reason)
{
    local_response response;
    response.header.status = reason.status;
    response.header.fields.add("Content-Type", "application/json");
    detail::add_outcome(response.header, reason.outcome, reason.code, description.id);
    response.body = detail::make_error_body(reason.outcome, reason.code, description.id);
    return response;
}

} // namespace

call_protocol default_call_protocol()
{
    return {.make_request = [](const http::request_header& received, const call_description&, const std::string& caller)
            { return detail::make_upstream_request(received, caller); },
            .address_request = [](http::request_header& header, const received_call& call, const std::string&,
                                  core::duration left) { detail::add_upstream_fields(header, call, left); },
            .classify_response = [](const http::response_header& response, const http::request_header&)
            { return classify_poplar_response(response); },
            .prepare_response = detail::prepare_response,
            .make_local_response = make_poplar_response};
}

} // namespace poplarport::node
