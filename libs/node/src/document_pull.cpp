#include "poplarport/node/detail/document_pull.hpp"

#include <charconv> // from_chars
#include <memory>   // make_shared
#include <utility>  // move
#include <vector>   // vector

#include <nlohmann/json.hpp>

#include "poplarport/node/detail/peer_channel.hpp"

namespace poplarport::node::detail
{

namespace
{

constexpr int ok = 200;
constexpr int no_content = 204;
constexpr const char* cbor_type = "application/cbor";

// The size limit of a document is 1 MB; the remainder is reserved for the encoding.
constexpr std::size_t max_reply_bytes = 2U << 20U;

std::optional<pulled_document> parse_pulled(const std::string& body)
{
    const auto value = nlohmann::json::from_cbor(body, true, false);
    if (!value.is_object() || !value.contains("version") || !value["version"].is_number_unsigned() ||
        !value.contains("content") || !value["content"].is_string())
    {
        return std::nullopt;
    }
    return pulled_document{value["version"].get<core::version>(), value["content"].get<std::string>()};
}

std::string_view query_parameter(std::string_view target, std::string_view name)
{
    const auto query_start = target.find('?');
    auto rest = query_start == std::string_view::npos ? std::string_view{} : target.substr(query_start + 1);
    while (!rest.empty())
    {
        const auto end = rest.find('&');
        const auto parameter = rest.substr(0, end);
        if (parameter.size() > name.size() && parameter.starts_with(name) && parameter[name.size()] == '=')
        {
            return parameter.substr(name.size() + 1);
        }
        rest = end == std::string_view::npos ? std::string_view{} : rest.substr(end + 1);
    }
    return {};
}

} // namespace

void request_document(peer::link& link, const std::string& cluster_key, const std::string& target,
                      std::function<void(const document_reply&)> hook)
{
    http::request_header header;
    header.method = "GET";
    header.target = target;
    header.fields.add("host", core::to_string(link.address()));
    header.fields.add(cluster_key_field, cluster_key);
    const auto reply = std::make_shared<document_reply>();
    const auto finish = [reply, hook = std::move(hook)](bool complete)
    {
        hook(complete ? *reply : document_reply{});
    };
    peer::client_call::hooks hooks;
    hooks.on_response_header = [reply](http::response_header& response)
    {
        reply->status = response.status;
    };
    hooks.on_body = [reply](std::string_view bytes)
    {
        if (reply->body.size() + bytes.size() <= max_reply_bytes)
        {
            reply->body.append(bytes);
        }
    };
    hooks.on_end = [finish]
    {
        finish(true);
    };
    hooks.on_failed = [finish](const peer::call_failure&)
    {
        finish(false);
    };
    // The link owns the call until the call ends.
    static_cast<void>(link.start(header, std::move(hooks)));
}

void pull_document(peer::link& link, const std::string& cluster_key, const std::string& target,
                   std::function<void(const pull_result&)> hook)
{
    request_document(link, cluster_key, target,
                     [hook = std::move(hook)](const document_reply& reply)
                     {
                         pull_result result;
                         result.responded = reply.status == ok || reply.status == no_content;
                         if (reply.status == ok)
                         {
                             result.document = parse_pulled(reply.body);
                             result.responded = result.document.has_value();
                         }
                         hook(result);
                     });
}

peer_document make_document_response(const configuration::document* current, core::version above)
{
    if (current == nullptr || current->version <= above)
    {
        return {no_content, cbor_type, {}};
    }
    const auto bytes = nlohmann::json::to_cbor({{"version", current->version}, {"content", current->content}});
    return {ok, cbor_type, std::string{bytes.begin(), bytes.end()}};
}

std::uint64_t query_number(std::string_view target, std::string_view name)
{
    const auto text = query_parameter(target, name);
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

} // namespace poplarport::node::detail
