#include "platform_client.hpp"

#include <chrono>  // seconds
#include <utility> // move

#include <nlohmann/json.hpp>

#include "poplarport/configuration/stored_version.hpp"
#include "poplarport/json_text/json_text.hpp"
#include "poplarport/net/timer.hpp"

namespace poplarport::poplarctl
{
namespace
{

using nlohmann::json;

// The platform responds within milliseconds; after a timeout the command reads the object back or repeats the call.
constexpr std::chrono::seconds call_timeout{5};

std::string object_path(const std::string& key)
{
    return "/v1/objects/" + control::percent_encode(key);
}

core::version version_of(const control::response& response, const json& node)
{
    const bool is_valid = node.is_object() && node.contains("version") && node["version"].is_number_unsigned();
    const auto era = configuration::parse_era(response.header(configuration::era_field).value_or(""));
    return is_valid ? configuration::make_stored_version(era.value_or(0), node["version"].get<std::uint64_t>()) : 0;
}

} // namespace

platform_client::platform_client(core::socket_address address) : client(this->loop), platform(std::move(address))
{
}

control::reply platform_client::call(const core::socket_address& server, const control::request& message)
{
    control::reply result;
    const auto on_reply = [this, &result](const control::reply& completed)
    {
        result = completed;
        this->loop.stop();
    };
    this->client.send(server, message, call_timeout, on_reply);
    this->loop.run();
    return result;
}

object_read platform_client::read(const std::string& key)
{
    const control::reply reply = this->call(this->platform, {.path = object_path(key)});
    if (!reply.response.has_value())
    {
        return {.error = reply.error.message()};
    }
    if (reply.response->status == control::status::not_found)
    {
        return {.is_successful = true};
    }
    const json node = json_text::parse(reply.response->body);
    const core::version version = version_of(*reply.response, node);
    if (reply.response->status != control::status::ok || version == 0 || !node.contains("value"))
    {
        return {.error = "the platform responded with status " + std::to_string(reply.response->status)};
    }
    return {.is_successful = true, .version = version, .value = json_text::dump(node["value"])};
}

object_write platform_client::write(const std::string& key, std::string value, core::version expected_version)
{
    control::request message{.method = "PUT", .path = object_path(key), .body = std::move(value)};
    message.headers.push_back({"content-type", control::json_type});
    if (expected_version == 0)
    {
        message.headers.push_back({"if-none-match", "*"});
    }
    else
    {
        message.headers.push_back(
            {"if-match", "\"" + std::to_string(configuration::revision_of(expected_version)) + "\""});
    }
    const control::reply reply = this->call(this->platform, message);
    if (!reply.response.has_value())
    {
        return {};
    }
    const core::version version = version_of(*reply.response, json_text::parse(reply.response->body));
    if (reply.response->status == control::status::precondition_failed)
    {
        return {object_write::kind::precondition_failed, version};
    }
    // The platform compares revisions only, so a condition of before a restore may have matched another object.
    const bool is_restored = expected_version != 0 && configuration::restores_before(version) !=
                                                          configuration::restores_before(expected_version);
    const bool is_written = reply.response->status == control::status::ok && version != 0 && !is_restored;
    return {is_written ? object_write::kind::written : object_write::kind::undetermined, version};
}

void platform_client::wait_until(core::time_point deadline)
{
    net::timer timer{this->loop, [this]
                     {
                         this->loop.stop();
                     }};
    timer.schedule(deadline - this->loop.now());
    this->loop.run();
}

} // namespace poplarport::poplarctl
