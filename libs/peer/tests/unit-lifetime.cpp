#include "raw_peer.hpp"

#include <algorithm> // max, ranges::all_of, ranges::count_if
#include <array>     // array
#include <optional>  // optional

#include "poplarport/net/errors.hpp"
#include "poplarport/peer/errors.hpp"

using namespace poplarport;
using namespace poplarport::test;
using namespace std::chrono_literals;

namespace
{

enum class callback_kind
{
    interim,
    header,
    body,
    end,
    writable,
    failed
};

constexpr std::array all_callbacks{callback_kind::interim, callback_kind::header,   callback_kind::body,
                                   callback_kind::end,     callback_kind::writable, callback_kind::failed};

} // namespace

TEST_GROUP_BASE(peer_lifetime, peer_test){};

// Detects use of a link, a call or a session after a hook destroyed it; the sanitizers report such a use.
TEST(peer_lifetime, each_hook_may_destroy_the_link)
{
    for (const auto selected : all_callbacks)
    {
        const auto server = this->serve(
            [&](const std::shared_ptr<peer::server_call>& call)
            {
                call->send_interim({.status = 103});
                call->send_header({.status = 200, .framing = http::body_framing::chunked});
                call->send_body("part");
                const auto end = [call, selected]
                {
                    selected == callback_kind::failed ? call->abort() : call->finish();
                };
                call->set_hooks(call_hooks({}, end));
            });
        auto link = std::make_unique<peer::link>(this->connect(server.address()));
        const auto destroy_link_at = [&](callback_kind reached)
        {
            return [&link, selected, reached](auto&&...)
            {
                if (selected == reached)
                {
                    link.reset();
                }
            };
        };
        call_result other_result;
        const auto other = post(*link, other_result, http::body_framing::chunked);
        const auto call =
            link->start(make_request_header("POST", http::body_framing::chunked),
                        {destroy_link_at(callback_kind::interim), destroy_link_at(callback_kind::header),
                         destroy_link_at(callback_kind::body), destroy_link_at(callback_kind::end),
                         destroy_link_at(callback_kind::writable), destroy_link_at(callback_kind::failed)});
        call->send_body("request");
        if (selected != callback_kind::writable)
        {
            call->finish_request();
        }
        CHECK(this->until([&] { return link == nullptr && other_result.is_finished(); }));
        CHECK(other_result.failure->error == peer::errc::link_closed);
        call->send_body("late");
        call->finish_request();
        call->set_reading(true);
        CHECK(call->cancel() == peer::proof::none);
    }
}

// Detects use of a server or a session after a hook destroyed the server.
TEST(peer_lifetime, each_hook_may_destroy_the_server)
{
    for (const bool in_call_hook : {true, false})
    {
        std::optional<peer::server> server;
        std::shared_ptr<peer::server_call> kept;
        server = this->serve(
            [&](const std::shared_ptr<peer::server_call>& call)
            {
                kept = call;
                if (in_call_hook)
                {
                    server.reset();
                    return;
                }
                call->set_hooks(call_hooks([&](std::string_view) { server.reset(); }));
            });
        auto link = this->connect(server->address());
        call_result result;
        const auto call = post(link, result, http::body_framing::chunked);
        call->send_body("request");
        call->finish_request();
        CHECK(this->until_finished(result));
        CHECK(result.failure->not_run == peer::proof::none);
        kept->send_header({.status = 200});
        kept->send_body("late");
        kept->finish();
        CHECK(kept->caller().host.empty());
        CHECK(kept->clock().excess_delay(1us, 2us) == 0us);
    }
}

// Calls above the receiver's limit of concurrent streams must wait instead of failing.
TEST(peer_lifetime, calls_above_the_stream_limit_wait_and_calls_above_the_link_limit_fail)
{
    int in_progress = 0;
    int max_in_progress = 0;
    const auto server = this->serve(
        [&](const std::shared_ptr<peer::server_call>& call)
        {
            max_in_progress = std::max(max_in_progress, ++in_progress);
            const auto respond = [&in_progress, call]
            {
                --in_progress;
                http::respond(*call, {.status = 200}, "");
            };
            this->loop.post(respond);
        },
        {.streams = 2});
    auto link = this->connect(server.address(), {.calls = 9});
    call_result warm_up;
    const auto first = get(link, warm_up);
    CHECK(this->until([&] { return warm_up.ended; }));
    std::array<call_result, 10> results;
    for (auto& result : results)
    {
        [[maybe_unused]] const auto call = get(link, result);
    }
    CHECK(this->until([&] { return std::ranges::all_of(results, &call_result::is_finished); }));
    LONGS_EQUAL(2, max_in_progress);
    LONGS_EQUAL(9, std::ranges::count_if(results, &call_result::ended));
    CHECK(results.back().failure->error == peer::errc::link_full);
    CHECK(results.back().failure->not_run == peer::proof::not_sent);
}

struct length_case
{
    const char* title;
    std::size_t announced;
    std::string sent;
};

// The receiver must not treat a body that is shorter or longer than announced as complete.
TEST(peer_lifetime, body_length_mismatch_fails_on_both_sides)
{
    for (const auto& entry : {length_case{"short", 9, "short"}, length_case{"long", 2, "long"}})
    {
        bool complete = false;
        const auto server = this->serve(
            [&](const std::shared_ptr<peer::server_call>& call)
            {
                call->set_hooks(call_hooks({}, [&] { complete = true; }));
                call->send_header(
                    {.status = 200, .framing = http::body_framing::fixed, .content_length = entry.announced});
                call->send_body(entry.sent);
                if (call->request().method == "GET")
                {
                    call->finish();
                }
            });
        auto link = this->connect(server.address());
        call_result response;
        const auto reader = get(link, response);
        CHECK_TEXT(this->until_finished(response), entry.title);
        CHECK_FALSE_TEXT(response.ended, entry.title);
        complete = false;
        call_result request;
        const auto writer = post(link, request, http::body_framing::fixed, entry.announced);
        writer->send_body(entry.sent);
        writer->finish_request();
        CHECK_TEXT(this->until_finished(request), entry.title);
        CHECK_TEXT(request.failure->error == peer::errc::wrong_length, entry.title);
        CHECK_FALSE_TEXT(complete, entry.title);
    }
}
