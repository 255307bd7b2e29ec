#include "poplarport/node/platform_client.hpp"

#include <chrono>  // duration_cast, milliseconds, seconds
#include <utility> // move

#include <nlohmann/json.hpp>

#include "poplarport/configuration/stored_version.hpp"
#include "poplarport/json_text/json_text.hpp"
#include "poplarport/observability/log_record.hpp"

namespace poplarport::node
{

namespace
{

constexpr std::chrono::seconds call_timeout{3};

} // namespace

platform_client::platform_client(net::event_loop& event_loop, core::socket_address address)
    : loop(&event_loop), client(event_loop), platform(std::move(address))
{
    this->restores.on_restored(
        [this]
        {
            observability::log_record{"platform_restored"}
                .with("era", static_cast<std::int64_t>(this->restores.current()))
                .write(observability::log_level::warning);
        });
}

bool platform_client::accept_era(const control::response& response, store::era sent_in)
{
    const auto stated = configuration::parse_era(response.header(configuration::era_field).value_or(""));
    return !stated || this->restores.accept(*stated, sent_in);
}

platform_read platform_client::parse_read(const control::reply& reply, store::era sent_in)
{
    platform_read result;
    if (!reply.response || !this->accept_era(*reply.response, sent_in))
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
    result.version = configuration::make_stored_version(this->restores.current(), body["version"].get<std::uint64_t>());
    result.value = json_text::dump(body["value"]);
    return result;
}

void platform_client::read(const std::string& key, read_hook hook)
{
    this->get("/v1/objects/" + control::percent_encode(key), call_timeout, std::move(hook));
}

void platform_client::watch(const std::string& key, core::version after, core::duration timeout, read_hook hook)
{
    const auto max_wait = std::chrono::duration_cast<std::chrono::milliseconds>(timeout);
    // While the platform is away it may come back from an older copy, in which revisions of before have another
    // meaning.
    const auto held = configuration::make_stored_version(this->restores.current(), configuration::revision_of(after));
    const auto revision = this->responds && held == after ? configuration::revision_of(after) : 0;
    const auto target = "/v1/objects/" + control::percent_encode(key) +
                        "?watch=true&after=" + std::to_string(revision) +
                        "&timeout_ms=" + std::to_string(max_wait.count());
    this->get(target, timeout + call_timeout, std::move(hook));
}

void platform_client::get(const std::string& target, core::duration timeout, read_hook hook)
{
    ++this->sent_calls;
    control::request request;
    request.path = target;
    this->client.send(this->platform, request, timeout,
                      [this, hook = std::move(hook), sent_in = this->restores.current()](const control::reply& reply)
                      {
                          const auto result = this->parse_read(reply, sent_in);
                          this->responds = result.responded;
                          this->failed_calls += result.responded ? 0 : 1;
                          hook(result);
                      });
}

void platform_client::write(const std::string& key, const std::string& value, core::version expected, write_hook hook)
{
    const auto revision = configuration::revision_of(expected);
    if (configuration::make_stored_version(this->restores.current(), revision) != expected)
    {
        this->loop->post([hook = std::move(hook)] { hook(platform_write::refused); });
        return;
    }
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
        request.headers.push_back({"if-match", "\"" + std::to_string(revision) + "\""});
    }
    request.body = value;
    this->client.send(this->platform, request, call_timeout,
                      [this, hook = std::move(hook), sent_in = this->restores.current()](const control::reply& reply)
                      {
                          const auto result = this->parse_write(reply, sent_in);
                          this->responds = result != platform_write::lost;
                          this->failed_calls += result == platform_write::lost ? 1 : 0;
                          hook(result);
                      });
}

platform_write platform_client::parse_write(const control::reply& reply, store::era sent_in)
{
    const bool is_usable = reply.response && this->accept_era(*reply.response, sent_in);
    const auto status = is_usable ? reply.response->status : 0U;
    if (status == control::status::precondition_failed)
    {
        return platform_write::refused;
    }
    // The platform compares revisions only, so a condition of before a restore may have matched another object.
    const bool is_restored = sent_in != 0 && this->restores.current() != sent_in;
    return status == control::status::ok && !is_restored ? platform_write::written : platform_write::lost;
}

} // namespace poplarport::node
