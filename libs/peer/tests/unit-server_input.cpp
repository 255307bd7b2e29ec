#include "raw_peer.hpp"

using namespace poplarport;
using namespace poplarport::test;
using namespace std::chrono_literals;

namespace
{

const std::string preface{"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"};

using fields = std::vector<std::pair<std::string, std::string>>;

struct input_case
{
    const char* title;
    std::string bytes;
    std::string expected; ///< must occur in the bytes that the server sends
    bool closes;
};

std::string call_with(const fields& extra)
{
    fields all{{":method", "GET"}, {":scheme", "http"}, {":path", "/"}, {":authority", "orders"}};
    all.insert(all.end(), extra.begin(), extra.end());
    return preface + settings() + headers(all, end_stream);
}

} // namespace

TEST_GROUP_BASE(peer_server_input, peer_test){};

// Malformed or hostile input must not reach the owner, and must end in a reset stream or a closed connection.
TEST(peer_server_input, invalid_calls_never_reach_the_owner)
{
    constexpr std::uint32_t protocol_error = 1;
    fields many;
    for (int index = 0; index < 40; ++index)
    {
        many.emplace_back("x-field", std::string(100, 'v'));
    }
    const std::vector<input_case> cases{
        {"HTTP/1.1", "GET / HTTP/1.1\r\nHost: orders\r\n\r\n", "", true},
        {"frame above the limit", preface + settings() + number_bytes(0xffffff, 3) + std::string(6, '\0'), "", true},
        {"malformed header block", preface + settings() + frame(headers_frame, end_headers | end_stream, 1, "\xff\xff"),
         "", true},
        {"stream id of the server", preface + settings() + frame(headers_frame, end_headers, 2, ""), "", true},
        {"no path", preface + settings() + headers({{":method", "GET"}, {":scheme", "http"}}, end_stream),
         reset(protocol_error), false},
        {"CONNECT", preface + settings() + headers({{":method", "CONNECT"}, {":authority", "orders"}}, end_stream),
         reset(protocol_error), false},
        {"repeated pseudo-field", call_with({{":path", "/"}}), reset(protocol_error), false},
        {"unknown pseudo-field", call_with({{":other", "/"}}), reset(protocol_error), false},
        {"connection field", call_with({{"connection", "close"}}), reset(protocol_error), false},
        {"transfer coding", call_with({{"transfer-encoding", "chunked"}}), reset(protocol_error), false},
        {"upper case", call_with({{"X-Field", "v"}}), reset(protocol_error), false},
        {"line feed in a value", call_with({{"x-field", "a\r\nb: c"}}), reset(protocol_error), false},
        {"length and no body", call_with({{"content-length", "5"}}), reset(protocol_error), false},
        {"repeated length", call_with({{"content-length", "0"}, {"content-length", "0"}}), reset(protocol_error),
         false},
        {"repeated host", call_with({{"host", "a"}, {"host", "b"}}), reset(protocol_error), false},
        {"header list above the limit", call_with(many), reset(refused_stream), false},
    };
    for (const auto& entry : cases)
    {
        int calls = 0;
        constexpr std::size_t header_limit_bytes = 4096;
        const auto server = this->serve(
            [&](const std::shared_ptr<peer::server_call>& call)
            {
                ++calls;
                call->abort();
            },
            {.header_bytes = header_limit_bytes});
        std::string received;
        bool closed = false;
        std::unique_ptr<net::stream_socket> socket;
        socket = net::stream_socket::connect(this->loop, server.address(), 5s,
                                             socket_hooks([&](std::string_view bytes) { received.append(bytes); },
                                                          [&](std::error_code) { closed = true; },
                                                          [&] { socket->send(entry.bytes); }));
        const auto is_done = [&]
        {
            return entry.closes ? closed && server.session_count() == 0
                                : received.find(entry.expected) != std::string::npos;
        };
        CHECK_TEXT(this->until(is_done), entry.title);
        LONGS_EQUAL_TEXT(0, calls, entry.title);
        LONGS_EQUAL_TEXT(0, server.stream_count(), entry.title);
        CHECK_TEXT(closed == entry.closes, entry.title);
    }
}
