#include "poplarport/wire/datagram.hpp"

#include <array>   // array
#include <limits>  // numeric_limits
#include <utility> // move

#include <nlohmann/json.hpp>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include "poplarport/wire/detail/cbor_value.hpp"
#include "poplarport/wire/detail/member_codec.hpp"
#include "poplarport/wire/detail/value_reader.hpp"
#include "poplarport/wire/errors.hpp"

namespace poplarport::wire
{

namespace
{

constexpr std::uint64_t greatest_number = std::numeric_limits<std::uint64_t>::max();
constexpr std::size_t greatest_name_length = 128;
constexpr std::size_t greatest_gossip_length = 256;
constexpr std::uint64_t greatest_slots = 1'000'000;

constexpr const char* kind_key = "t";
constexpr const char* ping_kind = "p";
constexpr const char* ack_kind = "a";
constexpr const char* indirect_ping_kind = "i";
constexpr const char* sync_kind = "s";
constexpr const char* news_kind = "n";
constexpr const char* hint_kind = "h";
constexpr const char* speed_kind = "v";

constexpr std::uint64_t greatest_slowdown_percent = 1'000'000;

std::string checksum(std::string_view bytes, std::string_view secret)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int length = 0;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
         reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), digest.data(), &length);
    return {reinterpret_cast<const char*>(digest.data()), authentication_tag_bytes};
}

std::string seal(const nlohmann::json& value, std::string_view secret)
{
    const auto cbor = nlohmann::json::to_cbor(value);
    const std::string body{cbor.begin(), cbor.end()};
    return checksum(body, secret) + body;
}

nlohmann::json with_header(const char* kind, const membership::message_header& header)
{
    return {{kind_key, kind}, {"c", header.service}, {"f", detail::encode_member(header.sender)}};
}

nlohmann::json to_value(const membership::ping& message)
{
    auto value = with_header(ping_kind, message.header);
    value["q"] = message.sequence;
    value["o"] = message.target;
    value["g"] = detail::encode_entries(message.gossip);
    return value;
}

nlohmann::json to_value(const membership::ack& message)
{
    auto value = with_header(ack_kind, message.header);
    value["q"] = message.sequence;
    value["g"] = detail::encode_entries(message.gossip);
    return value;
}

nlohmann::json to_value(const membership::indirect_ping& message)
{
    auto value = with_header(indirect_ping_kind, message.header);
    value["q"] = message.sequence;
    value["o"] = message.target;
    value["x"] = core::to_string(message.target_address);
    value["g"] = detail::encode_entries(message.gossip);
    return value;
}

nlohmann::json to_value(const membership::sync_request& message)
{
    auto value = with_header(sync_kind, message.header);
    value["k"] = message.hash;
    return value;
}

nlohmann::json to_value(const membership::member_updates& message)
{
    auto value = with_header(news_kind, message.header);
    value["w"] = message.response_requested;
    value["m"] = detail::encode_entries(message.entries);
    return value;
}

membership::message_header read_header(detail::value_reader& reader, std::error_code& error)
{
    return {reader.text("c", 1, greatest_name_length), detail::decode_member(reader.value("f"), error)};
}

std::vector<membership::member_entry> read_entries(detail::value_reader& reader, const char* key,
                                                   std::error_code& error)
{
    return detail::decode_entries(reader.array(key, greatest_gossip_length), error);
}

datagram read_ping(detail::value_reader& reader, std::error_code& error)
{
    membership::ping message;
    message.header = read_header(reader, error);
    message.sequence = reader.number("q", greatest_number);
    message.target = reader.text("o", 1, greatest_name_length);
    message.gossip = read_entries(reader, "g", error);
    return membership::message{std::move(message)};
}

datagram read_ack(detail::value_reader& reader, std::error_code& error)
{
    membership::ack message;
    message.header = read_header(reader, error);
    message.sequence = reader.number("q", greatest_number);
    message.gossip = read_entries(reader, "g", error);
    return membership::message{std::move(message)};
}

datagram read_indirect_ping(detail::value_reader& reader, std::error_code& error)
{
    membership::indirect_ping message;
    message.header = read_header(reader, error);
    message.sequence = reader.number("q", greatest_number);
    message.target = reader.text("o", 1, greatest_name_length);
    message.target_address = reader.address("x");
    message.gossip = read_entries(reader, "g", error);
    return membership::message{std::move(message)};
}

datagram read_sync(detail::value_reader& reader, std::error_code& error)
{
    membership::sync_request message;
    message.header = read_header(reader, error);
    message.hash = reader.number("k", greatest_number);
    return membership::message{std::move(message)};
}

datagram read_news(detail::value_reader& reader, std::error_code& error)
{
    membership::member_updates message;
    message.header = read_header(reader, error);
    message.response_requested = reader.boolean("w");
    message.entries = read_entries(reader, "m", error);
    return membership::message{std::move(message)};
}

datagram read_hint(detail::value_reader& reader, std::error_code& /*error*/)
{
    idle_hint hint;
    hint.node = reader.text("i", 1, greatest_name_length);
    hint.free_slots = static_cast<std::uint32_t>(reader.number("s", greatest_slots));
    return hint;
}

datagram read_speed(detail::value_reader& reader, std::error_code& /*error*/)
{
    slowdown_notice notice;
    notice.node = reader.text("i", 1, greatest_name_length);
    notice.slowdown_percent = static_cast<std::uint32_t>(reader.number("x", greatest_slowdown_percent));
    return notice;
}

struct kind_entry
{
    std::string_view kind;
    datagram (*read)(detail::value_reader&, std::error_code&);
};

constexpr std::array<kind_entry, 7> kinds{{{ping_kind, read_ping},
                                           {ack_kind, read_ack},
                                           {indirect_ping_kind, read_indirect_ping},
                                           {sync_kind, read_sync},
                                           {news_kind, read_news},
                                           {hint_kind, read_hint},
                                           {speed_kind, read_speed}}};

} // namespace

std::string encode(const membership::message& message, std::string_view secret)
{
    return seal(std::visit([](const auto& each) { return to_value(each); }, message), secret);
}

std::string encode(const idle_hint& hint, std::string_view secret)
{
    return seal({{kind_key, hint_kind}, {"i", hint.node}, {"s", hint.free_slots}}, secret);
}

std::string encode(const slowdown_notice& notice, std::string_view secret)
{
    return seal({{kind_key, speed_kind}, {"i", notice.node}, {"x", notice.slowdown_percent}}, secret);
}

std::optional<datagram> decode(std::string_view bytes, std::string_view secret, std::error_code& error)
{
    error.clear();
    if (bytes.size() <= authentication_tag_bytes)
    {
        error = errc::malformed;
        return std::nullopt;
    }
    const auto body = bytes.substr(authentication_tag_bytes);
    const auto expected = checksum(body, secret);
    if (CRYPTO_memcmp(expected.data(), bytes.data(), authentication_tag_bytes) != 0)
    {
        error = errc::not_authentic;
        return std::nullopt;
    }
    const auto value = detail::parse_cbor(body);
    detail::value_reader reader{value, error};
    const auto kind = reader.text(kind_key, 1, 1);
    for (const auto& entry : kinds)
    {
        if (entry.kind == kind)
        {
            auto message = entry.read(reader, error);
            return error ? std::nullopt : std::optional{std::move(message)};
        }
    }
    if (!error)
    {
        error = errc::unknown_kind;
    }
    return std::nullopt;
}

} // namespace poplarport::wire
