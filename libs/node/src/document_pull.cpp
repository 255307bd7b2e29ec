#include "poplarport/node/detail/document_pull.hpp"

#include <charconv> // from_chars
#include <memory>   // make_shared, weak_ptr
#include <utility>  // move
#include <vector>   // vector

#include <nlohmann/json.hpp>

#include "poplarport/node/detail/peer_channel.hpp"
#include "poplarport/wire/compression.hpp"
#include "poplarport/wire/detail/cbor_value.hpp"

namespace poplarport::node::detail
{

namespace
{

constexpr int ok = 200;
constexpr int no_content = 204;
constexpr const char* cbor_type = "application/cbor";
constexpr const char* compressed_type = "application/cbor+zlib";

constexpr std::string_view encoding_parameter = "encoding";
constexpr std::string_view compressed_encoding = "zlib";

// A document has up to 1 MB before its keys are replaced by their digests. A key of one letter, with its quotes and its
// comma, then grows from 4 bytes to 67.
constexpr std::size_t max_reply_bytes = 18U << 20U;

// Collects the response to a document request.
struct pending_reply
{
    document_reply reply{};
    std::function<void(const document_reply&)> hook{};
    std::weak_ptr<peer::client_call> call{};

    void append(std::string_view bytes)
    {
        if (this->reply.body.size() + bytes.size() <= max_reply_bytes)
        {
            this->reply.body.append(bytes);
            return;
        }
        if (const auto active = this->call.lock())
        {
            active->cancel();
        }
        this->hook({.is_too_large = true});
    }
};

std::optional<pulled_document> parse_pulled(const std::string& body)
{
    const auto value = wire::detail::parse_cbor(body);
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
    const auto pending = std::make_shared<pending_reply>();
    pending->hook = std::move(hook);
    peer::client_call::hooks hooks;
    hooks.on_response_header = [pending](http::response_header& response)
    {
        pending->reply.status = response.status;
        const auto* const type = response.fields.find("content-type");
        pending->reply.content_type = type == nullptr ? std::string{} : *type;
    };
    hooks.on_body = [pending](std::string_view bytes)
    {
        pending->append(bytes);
    };
    hooks.on_end = [pending]
    {
        pending->hook(pending->reply);
    };
    hooks.on_failed = [pending](const peer::call_failure&)
    {
        pending->hook({});
    };
    // The link owns the call until the call ends.
    pending->call = link.start(header, std::move(hooks));
}

void pull_document(peer::link& link, const std::string& cluster_key, const std::string& target,
                   std::function<void(const pull_result&)> hook)
{
    auto complete_target = target;
    complete_target.append("&").append(encoding_parameter).append("=").append(compressed_encoding);
    request_document(link, cluster_key, complete_target,
                     [hook = std::move(hook)](const document_reply& reply) { hook(read_document_response(reply)); });
}

bool accepts_compression(std::string_view target)
{
    return query_parameter(target, encoding_parameter) == compressed_encoding;
}

peer_document encode_document(const configuration::document& document, bool compressed)
{
    const auto bytes = nlohmann::json::to_cbor({{"version", document.version}, {"content", document.content}});
    std::string body{bytes.begin(), bytes.end()};
    return {ok, compressed ? compressed_type : cbor_type,
            std::make_shared<const std::string>(compressed ? wire::compress(body) : std::move(body))};
}

peer_document make_document_response(const configuration::document* current, std::string_view target)
{
    if (current == nullptr || current->version <= query_number(target, "above"))
    {
        return {.status = no_content, .content_type = cbor_type};
    }
    return encode_document(*current, accepts_compression(target));
}

pull_result read_document_response(const document_reply& reply)
{
    pull_result result;
    result.is_too_large = reply.is_too_large;
    result.responded = reply.status == ok || reply.status == no_content;
    if (reply.status != ok)
    {
        return result;
    }
    const auto body = reply.content_type == compressed_type ? wire::decompress(reply.body, max_reply_bytes)
                                                            : std::optional{reply.body};
    result.document = body ? parse_pulled(*body) : std::nullopt;
    result.responded = result.document.has_value();
    return result;
}

std::uint64_t query_number(std::string_view target, std::string_view name)
{
    const auto text = query_parameter(target, name);
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

} // namespace poplarport::node::detail
