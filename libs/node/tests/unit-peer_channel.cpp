#include <chrono>     // milliseconds
#include <functional> // function
#include <memory>     // make_shared, shared_ptr, unique_ptr
#include <optional>   // optional
#include <string>     // string
#include <vector>     // vector

#include "poplarport/net/timer.hpp"
#include "poplarport/node/detail/peer_channel.hpp"
#include "poplarport/peer/server.hpp"

#include <CppUTest/TestHarness.h>

using namespace poplarport;
using namespace std::chrono_literals;

namespace
{

// A receiving node that notes the body and does with each call what the test says.
struct receiving_node
{
    net::event_loop loop{};
    std::vector<std::shared_ptr<peer::server_call>> calls{};
    std::size_t body_bytes{0};
    bool has_whole_body{false};
    std::function<void(peer::server_call&)> on_call{};
    peer::server server = peer::server::builder{}
                              .listen_on({"127.0.0.1", 0})
                              .on_call([this](const std::shared_ptr<peer::server_call>& call) { this->accept(call); })
                              .build(this->loop);
    peer::link link = peer::link::builder{}.connect_to(this->server.address()).build(this->loop);

    void accept(const std::shared_ptr<peer::server_call>& call)
    {
        this->calls.push_back(call);
        call->set_hooks({.on_body = [this](std::string_view bytes) { this->body_bytes += bytes.size(); },
                         .on_body_end = [this] { this->has_whole_body = true; },
                         .on_writable = {},
                         .on_cancelled = {}});
        this->on_call(*call);
    }

    // Sends a call with a body; `has_failed` becomes true if the other node refuses it.
    std::shared_ptr<node::detail::peer_channel> send(std::size_t bytes, bool& has_failed)
    {
        auto channel = std::make_shared<node::detail::peer_channel>(
            this->loop, node::attempt_channel::hooks{.on_interim = {},
                                                     .on_response_header = {},
                                                     .on_body = {},
                                                     .on_end = {},
                                                     .on_writable = {},
                                                     .on_failed = [&has_failed](const node::attempt_failure&)
                                                     {
                                                         has_failed = true;
                                                     }});
        http::request_header header{
            .method = "POST", .target = "/upload", .framing = http::body_framing::fixed, .content_length = bytes};
        header.fields.add("Host", "orders");
        channel->start(this->link, header);
        channel->send_body(std::string(bytes / 2, 'x'));
        channel->send_body(std::string(bytes - bytes / 2, 'y'));
        channel->finish_request();
        return channel;
    }

    void run(core::duration time, const std::function<bool()>& until)
    {
        bool has_expired = false;
        net::timer limit{this->loop, [&has_expired]
                         {
                             has_expired = true;
                         }};
        limit.schedule(time);
        while (!has_expired && !until())
        {
            this->loop.run_once();
        }
    }
};

constexpr std::size_t large = 60'000;

} // namespace

TEST_GROUP(peer_channel){};

// Guards against uploads that cross a narrow link to a node that refuses them, and against uploads that are held back
// for good.
TEST(peer_channel, a_large_body_is_sent_when_the_call_is_accepted)
{
    const auto accept = [](peer::server_call& call)
    {
        call.send_interim({.status = 100});
    };
    const auto refuse = [](peer::server_call& call)
    {
        http::respond(call, {.status = 503}, {});
    };
    const auto say_nothing = [](peer::server_call&) {
    };
    struct body_case
    {
        const char* name;
        std::size_t bytes;
        std::function<void(peer::server_call&)> on_call;
        std::size_t bytes_at_once; ///< that arrive within a tenth of a second
        std::size_t bytes_in_the_end;
    };
    for (const auto& each : {body_case{"accepted", large, accept, large, large},
                             {"refused", large, refuse, 0, 0},
                             {"earlier version", large, say_nothing, 0, large},
                             {"small", 1000, say_nothing, 1000, 1000}})
    {
        receiving_node node;
        node.on_call = each.on_call;
        bool has_failed = false;
        const auto channel = node.send(each.bytes, has_failed);
        node.run(100ms, [&] { return node.has_whole_body; });
        LONGS_EQUAL_TEXT(each.bytes_at_once, node.body_bytes, each.name);
        node.run(400ms, [&] { return node.has_whole_body; });
        LONGS_EQUAL_TEXT(each.bytes_in_the_end, node.body_bytes, each.name);
        LONGS_EQUAL_TEXT(each.bytes_in_the_end == 0, has_failed, each.name);
    }
}

// Guards against a body that fills the memory of the node because the sender does not see that it is held back.
TEST(peer_channel, a_body_that_is_held_back_counts_as_pending)
{
    receiving_node node;
    node.on_call = [](peer::server_call&) {
    };
    bool has_failed = false;
    const auto channel = node.send(large, has_failed);
    CHECK(channel->pending_bytes() >= large);
    channel->cancel();
    node.run(400ms, [&] { return node.has_whole_body; });
    LONGS_EQUAL(0, node.body_bytes);
}
