#include "poplarport/node/detail/forwarding.hpp"

#include <chrono>      // ceil, milliseconds
#include <string_view> // string_view
#include <vector>      // vector

#include <nlohmann/json.hpp>

namespace poplarport::node::detail
{

namespace
{

constexpr std::string_view internal_prefix = "Poplar-";
constexpr const char* via = "1.1 poplarport";

} // namespace

void remove_internal_fields(http::header_fields& fields)
{
    std::vector<std::string> names;
    for (const auto& field : fields)
    {
        if (http::equal_names(std::string_view{field.name}.substr(0, internal_prefix.size()), internal_prefix))
        {
            names.push_back(field.name);
        }
    }
    for (const auto& name : names)
    {
        fields.erase(name);
    }
}

http::request_header make_upstream_request(const http::request_header& received, const std::string& caller_host)
{
    http::request_header head = received;
    http::remove_hop_by_hop(head.fields);
    head.fields.erase("Authorization");
    remove_internal_fields(head.fields);
    head.fields.add("Via", via);
    head.fields.add("X-Forwarded-For", caller_host);
    head.keep_alive = true;
    return head;
}

void add_upstream_fields(http::request_header& head, const received_call& call, core::duration left)
{
    // Rounded up, so that a short remainder is not sent as no time at all.
    const auto time_left = std::chrono::ceil<std::chrono::milliseconds>(left);
    head.fields.set("Poplar-Request-Id", call.id);
    head.fields.set("Poplar-Tenant", call.tenant);
    head.fields.set("Poplar-Class", call.traffic_class);
    head.fields.set("Poplar-Depth", std::to_string(call.depth + 1));
    head.fields.set("Poplar-Attempt", std::to_string(call.attempt));
    head.fields.set("Poplar-Deadline-Ms", std::to_string(time_left.count()));
}

void prepare_response(http::response_header& head, const call_description& description)
{
    http::remove_hop_by_hop(head.fields);
    remove_internal_fields(head.fields);
    head.fields.add("Via", via);
    add_outcome(head, core::outcome::answered, {}, description.id);
    head.keep_alive = true;
    if (head.framing == http::body_framing::until_close)
    {
        // The end of the upstream's connection was checked, so the caller gets a body whose end is marked.
        head.framing = http::body_framing::chunked;
    }
}

void add_outcome(http::response_header& head, core::outcome outcome, std::error_code code,
                 const core::request_id& request)
{
    head.fields.set("Poplar-Outcome", core::to_string(outcome));
    head.fields.set("Poplar-Code", std::to_string(code.value()));
    if (!request.empty())
    {
        head.fields.set("Poplar-Request-Id", request);
    }
}

std::string make_error_body(core::outcome outcome, std::error_code code, const core::request_id& request)
{
    const nlohmann::json body{{"outcome", core::to_string(outcome)},
                              {"code", code.value()},
                              {"message", code.message()},
                              {"request_id", request}};
    return body.dump() + "\n";
}

} // namespace poplarport::node::detail
