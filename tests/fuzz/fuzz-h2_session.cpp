#include "fuzz_target.hpp"

#include <array>  // array
#include <memory> // make_shared, shared_ptr
#include <string> // string

#include <sys/socket.h>
#include <unistd.h>

#include "poplarport/peer/detail/server_session.hpp"

using namespace poplarport;

namespace
{

constexpr std::string_view preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

struct call_counts
{
    std::size_t started{0};
    std::size_t ended{0};
};

// Ends calls in the ways that an owner of a session does; the method selects the way.
void handle(const std::shared_ptr<peer::server_call>& call, call_counts& counts)
{
    ++counts.started;
    const auto& header = call->request();
    fuzz::require(!header.method.empty() && !header.target.empty(), "a delivered call has a method and a target");
    fuzz::require(header.fields.find("Connection") == nullptr && header.fields.find("Transfer-Encoding") == nullptr,
                  "a delivered call has no connection-specific header field");
    if (header.method == "DELETE")
    {
        ++counts.ended;
        call->refuse_stream();
        return;
    }
    if (header.method == "PUT")
    {
        call->set_reading(false);
    }
    auto* const raw_call = call.get();
    call->set_hooks({.on_body =
                         [raw_call](std::string_view bytes)
                     {
                         raw_call->send_header({.status = 200, .framing = http::body_framing::chunked});
                         raw_call->send_body(bytes);
                     },
                     .on_body_end =
                         [call, &counts]
                     {
                         ++counts.ended;
                         call->send_header({.status = 200});
                         call->finish();
                     },
                     .on_writable = {},
                     .on_cancelled =
                         [&counts](std::error_code)
                     {
                         ++counts.ended;
                     }});
}

void run_iterations(net::event_loop& loop, int count)
{
    for (int index = 0; index < count; ++index)
    {
        loop.post([] {});
        loop.run_once();
    }
}

} // namespace

// Input from a peer must not crash a session, deliver malformed calls to its owner or leave calls without an end.
int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    constexpr std::size_t max_input_bytes = 65536;
    constexpr int iterations = 4;
    if (size > max_input_bytes)
    {
        return 0;
    }
    static net::event_loop loop;
    call_counts counts;
    const auto server = std::make_shared<peer::server::state>();
    server->loop = &loop;
    server->active_limits.header_bytes = 1024;
    server->call = [&counts](const std::shared_ptr<peer::server_call>& call)
    {
        handle(call, counts);
    };
    std::array<int, 2> socket_pair{};
    fuzz::require(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, socket_pair.data()) == 0,
                  "a pair of sockets can be created");
    server->accept(net::stream_socket::adopt(loop, socket_pair[0]));
    const auto input = std::string{preface}.append(fuzz::to_text(data, size));
    [[maybe_unused]] const auto written = ::write(socket_pair[1], input.data(), input.size());
    run_iterations(loop, iterations);
    server->close_all();
    fuzz::require(counts.started == counts.ended, "each delivered call ends");
    ::close(socket_pair[1]);
    run_iterations(loop, 1);
    return 0;
}
