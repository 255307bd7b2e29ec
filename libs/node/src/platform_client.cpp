#include "poplarport/node/platform_client.hpp"

#include <chrono>  // duration_cast, milliseconds, seconds
#include <utility> // move

#include <nlohmann/json.hpp>

#include "poplarport/json_text/json_text.hpp"

namespace poplarport::node
{

namespace
{

constexpr std::chrono::seconds call_timeout{3};

platform_read parse_read(const control::reply& reply)
{
    platform_read result;
    if (!reply.response)
    {
        return result;
    }
    const auto status = reply.response->status;
    if (status == control::status::not_found || status == control::status::no_content)
    {
        result.responded = true;
        return result;
    }
    if (status != control::status::ok)
    {
        return result;
    }
    const auto body = json_text::parse(reply.response->body);
    if (!body.is_object() || !body.contains("version") || !body["version"].is_number_unsigned() ||
        !body.contains("value"))
    {
        return result;
    }
    result.responded = true;
    result.version = body["version"].get<core::version>();
    result.value = json_text::dump(body["value"]);
    return result;
}

} // namespace

platform_client::platform_client(net::event_loop& loop, core::socket_address address)
    : client(loop), platform(std::move(address))
{
}

void platform_client::read(const std::string& key, read_hook hook)
{
    this->get("/v1/objects/" + control::percent_encode(key), call_timeout, std::move(hook));
}

void platform_client::watch(const std::string& key, core::version after, core::duration timeout, read_hook hook)
{
    const auto max_wait = std::chrono::duration_cast<std::chrono::milliseconds>(timeout);
    const auto target = "/v1/objects/" + control::percent_encode(key) + "?watch=true&after=" + std::to_string(after) +
                        "&timeout_ms=" + std::to_string(max_wait.count());
    this->get(target, timeout + call_timeout, std::move(hook));
}

void platform_client::get(const std::string& target, core::duration timeout, read_hook hook)
{
    ++this->sent_calls;
    control::request request;
    request.path = target;
    this->client.send(this->platform, request, timeout,
                      [this, hook = std::move(hook)](const control::reply& reply)
                      {
                          const auto result = parse_read(reply);
                          this->failed_calls += result.responded ? 0 : 1;
                          hook(result);
                      });
}

void platform_client::write(const std::string& key, const std::string& value, core::version expected, write_hook hook)
{
    ++this->sent_calls;
    control::request request;
    request.method = "PUT";
    request.path = "/v1/objects/" + control::percent_encode(key);
    request.headers.push_back({"content-type", control::json_type});
    if (expected == 0)
    {
        request.headers.push_back({"if-none-match", "*"});
    }
    else
    {
        request.headers.push_back({"if-match", "\"" + std::to_string(expected) + "\""});
    }
    request.body = value;
    this->client.send(this->platform, request, call_timeout,
                      [this, hook = std::move(hook)](const control::reply& reply)
                      {
                          const auto status = reply.response ? reply.response->status : 0U;
                          if (status == control::status::ok)
                          {
                              hook(platform_write::written);
                              return;
                          }
                          if (status == control::status::precondition_failed)
                          {
                              hook(platform_write::refused);
                              return;
                          }
                          ++this->failed_calls;
                          hook(platform_write::lost);
                      });
}

} // namespace poplarport::node
