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

struct totals
{
    std::size_t started{0};
    std::size_t ended{0};
};

// Ends calls in the ways that an owner does, chosen by the method.
void handle(const std::shared_ptr<peer::server_call>& call, totals& seen)
{
    ++seen.started;
    const auto& head = call->request();
    fuzz::require(!head.method.empty() && !head.target.empty(), "a delivered call has a method and a target");
    fuzz::require(head.fields.find("Connection") == nullptr && head.fields.find("Transfer-Encoding") == nullptr,
                  "a delivered call has no connection field");
    if (head.method == "DELETE")
    {
        ++seen.ended;
        call->refuse_stream();
        return;
    }
    if (head.method == "PUT")
    {
        call->set_reading(false);
    }
    auto* const raw = call.get();
    call->set_hooks({.on_body =
                         [raw](std::string_view bytes)
                     {
                         raw->send_header({.status = 200, .framing = http::body_framing::chunked});
                         raw->send_body(bytes);
                     },
                     .on_body_end =
                         [call, &seen]
                     {
                         ++seen.ended;
                         call->send_header({.status = 200});
                         call->finish();
                     },
                     .on_writable = {},
                     .on_cancelled =
                         [&seen](std::error_code)
                     {
                         ++seen.ended;
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

// Guards against bytes of another node that crash a session, reach the owner damaged or leave calls without an end.
int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    constexpr std::size_t largest_input_bytes = 65536;
    constexpr int iterations = 4;
    if (size > largest_input_bytes)
    {
        return 0;
    }
    static net::event_loop loop;
    totals seen;
    const auto server = std::make_shared<peer::server::state>();
    server->loop = &loop;
    server->chosen.header_bytes = 1024;
    server->call = [&seen](const std::shared_ptr<peer::server_call>& call)
    {
        handle(call, seen);
    };
    std::array<int, 2> ends{};
    fuzz::require(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, ends.data()) == 0,
                  "a pair of sockets can be created");
    server->accept(net::stream_socket::adopt(loop, ends[0]));
    const auto input = std::string{preface}.append(fuzz::to_text(data, size));
    [[maybe_unused]] const auto written = ::write(ends[1], input.data(), input.size());
    run_iterations(loop, iterations);
    server->close_all();
    fuzz::require(seen.started == seen.ended, "each delivered call ends");
    ::close(ends[1]);
    run_iterations(loop, 1);
    return 0;
}
