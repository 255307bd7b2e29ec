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

enum class moment
{
    interim,
    head,
    body,
    end,
    writable,
    failed
};

constexpr std::array all_moments{moment::interim, moment::head,     moment::body,
                                 moment::end,     moment::writable, moment::failed};

} // namespace

TEST_GROUP_BASE(peer_lifetime, peer_test){};

// Guards against use of a link, a call or a session after a hook destroyed it; the sanitizers see such a use.
TEST(peer_lifetime, each_hook_may_destroy_the_link)
{
    for (const auto chosen : all_moments)
    {
        const auto server = this->serve(
            [&](const std::shared_ptr<peer::server_call>& call)
            {
                call->send_interim({.status = 103});
                call->send_header({.status = 200, .framing = http::body_framing::chunked});
                call->send_body("part");
                const auto end = [call, chosen]
                {
                    chosen == moment::failed ? call->abort() : call->finish();
                };
                call->set_hooks(call_hooks({}, end));
            });
        auto link = std::make_unique<peer::link>(this->connect(server.address()));
        const auto at = [&](moment reached)
        {
            return [&link, chosen, reached](auto&&...)
            {
                if (chosen == reached)
                {
                    link.reset();
                }
            };
        };
        call_result beside;
        const auto other = post(*link, beside, http::body_framing::chunked);
        const auto call = link->start(make_head("POST", http::body_framing::chunked),
                                      {at(moment::interim), at(moment::head), at(moment::body), at(moment::end),
                                       at(moment::writable), at(moment::failed)});
        call->send_body("request");
        if (chosen != moment::writable)
        {
            call->finish_request();
        }
        CHECK(this->until([&] { return link == nullptr && beside.is_over(); }));
        CHECK(beside.failure->error == peer::errc::link_closed);
        call->send_body("late");
        call->finish_request();
        call->set_reading(true);
        CHECK(call->cancel() == peer::proof::none);
    }
}

// Guards against the same on the server's side.
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
        CHECK(this->until_over(result));
        CHECK(result.failure->not_run == peer::proof::none);
        kept->send_header({.status = 200});
        kept->send_body("late");
        kept->finish();
        CHECK(kept->caller().host.empty());
        CHECK(kept->clock().excess(1us, 2us) == 0us);
    }
}

// Guards against calls above the receiver's limit of streams that fail instead of waiting.
TEST(peer_lifetime, calls_above_the_stream_limit_wait_and_those_above_the_links_limit_fail)
{
    int in_progress = 0;
    int greatest = 0;
    const auto server = this->serve(
        [&](const std::shared_ptr<peer::server_call>& call)
        {
            greatest = std::max(greatest, ++in_progress);
            const auto answer = [&in_progress, call]
            {
                --in_progress;
                http::respond(*call, {.status = 200}, "");
            };
            this->loop.post(answer);
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
    CHECK(this->until([&] { return std::ranges::all_of(results, &call_result::is_over); }));
    LONGS_EQUAL(2, greatest);
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

// Guards against a body of another length than announced that the receiver takes for a whole one.
TEST(peer_lifetime, body_of_another_length_than_announced_fails_on_both_sides)
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
        call_result answer;
        const auto reader = get(link, answer);
        CHECK_TEXT(this->until_over(answer), entry.title);
        CHECK_FALSE_TEXT(answer.ended, entry.title);
        complete = false;
        call_result request;
        const auto writer = post(link, request, http::body_framing::fixed, entry.announced);
        writer->send_body(entry.sent);
        writer->finish_request();
        CHECK_TEXT(this->until_over(request), entry.title);
        CHECK_TEXT(request.failure->error == peer::errc::wrong_length, entry.title);
        CHECK_FALSE_TEXT(complete, entry.title);
    }
}
