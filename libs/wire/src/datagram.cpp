#include "poplarport/wire/datagram.hpp"

#include <algorithm> // clamp, max, min
#include <array>     // array
#include <chrono>    // ceil, milliseconds
#include <cmath>     // lround
#include <limits>    // numeric_limits
#include <utility>   // move

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

constexpr std::uint64_t max_number = std::numeric_limits<std::uint64_t>::max();
constexpr std::size_t max_name_length = 128;
constexpr std::size_t max_gossip_length = 256;
constexpr std::uint64_t max_slots = 1'000'000;

constexpr const char* kind_key = "t";
constexpr const char* ping_kind = "p";
constexpr const char* ack_kind = "a";
constexpr const char* indirect_ping_kind = "i";
constexpr const char* sync_kind = "s";
constexpr const char* updates_kind = "n";
constexpr const char* idle_hint_kind = "h";
constexpr const char* slowdown_kind = "v";
constexpr const char* evacuation_kind = "e";
constexpr const char* quota_reports_kind = "q";
constexpr const char* quota_decisions_kind = "r";
constexpr const char* parts_key = "d";

constexpr std::size_t max_zones = 256;

// Fractions are encoded as parts of this number, times in milliseconds.
constexpr double fraction_scale = 10'000.0;
constexpr std::uint64_t max_fraction = 10'000;
constexpr std::uint64_t max_requests = 10'000'000;
constexpr std::uint64_t max_quota_time_ms = 3'600'000;

constexpr std::uint64_t max_slowdown_percent = 1'000'000;

std::string authentication_tag(std::string_view bytes, std::string_view secret)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int length = 0;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
         reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), digest.data(), &length);
    return {reinterpret_cast<const char*>(digest.data()), authentication_tag_bytes};
}

std::string encode_authenticated(const nlohmann::json& value, std::string_view secret)
{
    const auto cbor = nlohmann::json::to_cbor(value);
    const std::string body{cbor.begin(), cbor.end()};
    return authentication_tag(body, secret) + body;
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
    value[parts_key] = message.parts;
    return value;
}

nlohmann::json to_value(const membership::member_updates& message)
{
    auto value = with_header(updates_kind, message.header);
    value["w"] = message.response_requested;
    value["m"] = detail::encode_entries(message.entries);
    if (!message.parts.empty())
    {
        value[parts_key] = message.parts;
    }
    return value;
}

membership::message_header read_header(detail::value_reader& reader, std::error_code& error)
{
    return {reader.text("c", 1, max_name_length), detail::decode_member(reader.value("f"), error)};
}

std::vector<membership::member_entry> read_entries(detail::value_reader& reader, const char* key,
                                                   std::error_code& error)
{
    return detail::decode_entries(reader.array(key, max_gossip_length), error);
}

std::vector<std::uint32_t> read_parts(detail::value_reader& reader, std::error_code& error)
{
    std::vector<std::uint32_t> parts;
    if (!reader.has(parts_key))
    {
        return parts;
    }
    for (const auto& each : reader.array(parts_key, membership::list_parts))
    {
        if (!each.is_number_unsigned() || each.get<std::uint64_t>() > std::numeric_limits<std::uint32_t>::max())
        {
            error = errc::malformed;
            return {};
        }
        parts.push_back(each.get<std::uint32_t>());
    }
    return parts;
}

datagram read_ping(detail::value_reader& reader, std::error_code& error)
{
    membership::ping message;
    message.header = read_header(reader, error);
    message.sequence = reader.number("q", max_number);
    message.target = reader.text("o", 1, max_name_length);
    message.gossip = read_entries(reader, "g", error);
    return membership::message{std::move(message)};
}

datagram read_ack(detail::value_reader& reader, std::error_code& error)
{
    membership::ack message;
    message.header = read_header(reader, error);
    message.sequence = reader.number("q", max_number);
    message.gossip = read_entries(reader, "g", error);
    return membership::message{std::move(message)};
}

datagram read_indirect_ping(detail::value_reader& reader, std::error_code& error)
{
    membership::indirect_ping message;
    message.header = read_header(reader, error);
    message.sequence = reader.number("q", max_number);
    message.target = reader.text("o", 1, max_name_length);
    message.target_address = reader.address("x");
    message.gossip = read_entries(reader, "g", error);
    return membership::message{std::move(message)};
}

datagram read_sync(detail::value_reader& reader, std::error_code& error)
{
    membership::sync_request message;
    message.header = read_header(reader, error);
    message.hash = reader.number("k", max_number);
    message.parts = read_parts(reader, error);
    return membership::message{std::move(message)};
}

datagram read_updates(detail::value_reader& reader, std::error_code& error)
{
    membership::member_updates message;
    message.header = read_header(reader, error);
    message.response_requested = reader.boolean("w");
    message.entries = read_entries(reader, "m", error);
    message.parts = read_parts(reader, error);
    return membership::message{std::move(message)};
}

datagram read_idle_hint(detail::value_reader& reader, std::error_code& /*error*/)
{
    idle_hint hint;
    hint.node = reader.text("i", 1, max_name_length);
    hint.free_slots = static_cast<std::uint32_t>(reader.number("s", max_slots));
    return hint;
}

datagram read_slowdown_notice(detail::value_reader& reader, std::error_code& /*error*/)
{
    slowdown_notice notice;
    notice.node = reader.text("i", 1, max_name_length);
    notice.slowdown_percent = static_cast<std::uint32_t>(reader.number("x", max_slowdown_percent));
    return notice;
}

datagram read_evacuation_notice(detail::value_reader& reader, std::error_code& error)
{
    evacuation_notice notice;
    notice.node = reader.text("i", 1, max_name_length);
    notice.state.era = reader.has("e") ? reader.number("e", max_number) : 0;
    notice.state.revision = reader.number("r", max_number);
    for (const auto& zone : reader.array("z", max_zones))
    {
        if (!zone.is_string() || zone.get_ref<const std::string&>().size() > max_name_length)
        {
            error = errc::malformed;
            break;
        }
        notice.state.zones.insert(zone.get<std::string>());
    }
    return notice;
}

std::uint64_t encode_fraction(double fraction)
{
    return static_cast<std::uint64_t>(std::lround(std::clamp(fraction, 0.0, 1.0) * fraction_scale));
}

double read_fraction(detail::value_reader& reader, const char* key)
{
    return static_cast<double>(reader.number(key, max_fraction)) / fraction_scale;
}

std::uint64_t encode_time(core::duration time)
{
    const auto milliseconds = std::chrono::ceil<std::chrono::milliseconds>(time).count();
    return std::min(static_cast<std::uint64_t>(std::max<std::int64_t>(milliseconds, 0)), max_quota_time_ms);
}

core::duration read_time(detail::value_reader& reader, const char* key)
{
    return std::chrono::milliseconds{reader.number(key, max_quota_time_ms)};
}

datagram read_quota_reports(detail::value_reader& reader, std::error_code& error)
{
    quota_reports result;
    result.node = reader.text("i", 1, max_name_length);
    for (const auto& each : reader.array("q", max_quota_entries))
    {
        detail::value_reader entry{each, error};
        result.reports.push_back({entry.text("n", 1, max_name_length),
                                  static_cast<std::uint32_t>(entry.number("a", max_requests)),
                                  static_cast<std::uint32_t>(entry.number("d", max_requests)), read_time(entry, "m"),
                                  read_fraction(entry, "p")});
    }
    return result;
}

datagram read_quota_decisions(detail::value_reader& reader, std::error_code& error)
{
    quota_decisions result;
    result.node = reader.text("i", 1, max_name_length);
    for (const auto& each : reader.array("q", max_quota_entries))
    {
        detail::value_reader entry{each, error};
        result.decisions.push_back({entry.text("n", 1, max_name_length), read_fraction(entry, "f"),
                                    read_fraction(entry, "p"), read_time(entry, "w")});
    }
    return result;
}

struct kind_entry
{
    std::string_view kind;
    datagram (*read)(detail::value_reader&, std::error_code&);
};

constexpr std::array<kind_entry, 10> kinds{{{ping_kind, read_ping},
                                            {ack_kind, read_ack},
                                            {indirect_ping_kind, read_indirect_ping},
                                            {sync_kind, read_sync},
                                            {updates_kind, read_updates},
                                            {idle_hint_kind, read_idle_hint},
                                            {slowdown_kind, read_slowdown_notice},
                                            {evacuation_kind, read_evacuation_notice},
                                            {quota_reports_kind, read_quota_reports},
                                            {quota_decisions_kind, read_quota_decisions}}};

} // namespace

std::string encode(const membership::message& message, std::string_view secret)
{
    return encode_authenticated(std::visit([](const auto& each) { return to_value(each); }, message), secret);
}

std::string encode(const idle_hint& hint, std::string_view secret)
{
    return encode_authenticated({{kind_key, idle_hint_kind}, {"i", hint.node}, {"s", hint.free_slots}}, secret);
}

std::string encode(const slowdown_notice& notice, std::string_view secret)
{
    return encode_authenticated({{kind_key, slowdown_kind}, {"i", notice.node}, {"x", notice.slowdown_percent}},
                                secret);
}

std::string encode(const evacuation_notice& notice, std::string_view secret)
{
    return encode_authenticated({{kind_key, evacuation_kind},
                                 {"i", notice.node},
                                 {"e", notice.state.era},
                                 {"r", notice.state.revision},
                                 {"z", notice.state.zones}},
                                secret);
}

std::string encode(const quota_reports& reports, std::string_view secret)
{
    auto list = nlohmann::json::array();
    for (const auto& each : reports.reports)
    {
        list.push_back({{"n", each.tenant},
                        {"a", each.arrivals},
                        {"d", each.admitted},
                        {"m", encode_time(each.interval)},
                        {"p", encode_fraction(each.part)}});
    }
    return encode_authenticated({{kind_key, quota_reports_kind}, {"i", reports.node}, {"q", std::move(list)}}, secret);
}

std::string encode(const quota_decisions& decisions, std::string_view secret)
{
    auto list = nlohmann::json::array();
    for (const auto& each : decisions.decisions)
    {
        list.push_back({{"n", each.tenant},
                        {"f", encode_fraction(each.fraction)},
                        {"p", encode_fraction(each.part)},
                        {"w", encode_time(each.wait)}});
    }
    return encode_authenticated({{kind_key, quota_decisions_kind}, {"i", decisions.node}, {"q", std::move(list)}},
                                secret);
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
    const auto expected = authentication_tag(body, secret);
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
