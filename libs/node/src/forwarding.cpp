#include "poplarport/node/detail/forwarding.hpp"

#include <chrono>      // ceil, milliseconds
#include <string_view> // string_view
#include <vector>      // vector

#include <nlohmann/json.hpp>

#include "poplarport/json_text/json_text.hpp"

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
    http::request_header header = received;
    http::remove_hop_by_hop(header.fields);
    header.fields.erase("Authorization");
    remove_internal_fields(header.fields);
    header.fields.add("Via", via);
    header.fields.add("X-Forwarded-For", caller_host);
    header.keep_alive = true;
    return header;
}

void add_upstream_fields(http::request_header& header, const received_call& call, core::duration left)
{
    // Rounded up, so that a remainder below one millisecond is not sent as zero.
    const auto time_left = std::chrono::ceil<std::chrono::milliseconds>(left);
    header.fields.set("Poplar-Request-Id", call.id);
    header.fields.set("Poplar-Tenant", call.tenant);
    header.fields.set("Poplar-Class", call.traffic_class);
    header.fields.set("Poplar-Depth", std::to_string(call.depth + 1));
    header.fields.set("Poplar-Attempt", std::to_string(call.attempt));
    header.fields.set("Poplar-Deadline-Ms", std::to_string(time_left.count()));
}

void prepare_response(http::response_header& header, const call_description& description)
{
    http::remove_hop_by_hop(header.fields);
    remove_internal_fields(header.fields);
    header.fields.add("Via", via);
    add_outcome(header, core::outcome::answered, {}, description.id);
    header.keep_alive = true;
    if (header.framing == http::body_framing::until_close)
    {
        // The end of the upstream's connection is checked, so the caller receives a body with an explicit end.
        header.framing = http::body_framing::chunked;
    }
}

void add_outcome(http::response_header& header, core::outcome outcome, std::error_code code,
                 const core::request_id& request)
{
    header.fields.set("Poplar-Outcome", core::to_string(outcome));
    header.fields.set("Poplar-Code", std::to_string(code.value()));
    if (!request.empty())
    {
        header.fields.set("Poplar-Request-Id", request);
    }
}

std::string make_error_body(core::outcome outcome, std::error_code code, const core::request_id& request)
{
    const nlohmann::json body{{"outcome", core::to_string(outcome)},
                              {"code", code.value()},
                              {"message", code.message()},
                              {"request_id", request}};
    return json_text::dump(body) + "\n";
}

} // namespace poplarport::node::detail
