#include <chrono>   // milliseconds, seconds
#include <map>      // map
#include <memory>   // shared_ptr, unique_ptr
#include <optional> // optional
#include <random>   // mt19937_64
#include <string>   // string
#include <vector>   // vector

#include "poplarport/http/client_connection.hpp"
#include "poplarport/http/server.hpp"
#include "poplarport/net/timer.hpp"
#include "poplarport/node/entry.hpp"
#include "poplarport/node/errors.hpp"
#include "poplarport/node/receiver.hpp"

#include <CppUTest/TestHarness.h>

using namespace poplarport;
using namespace std::chrono_literals;

namespace
{

const core::socket_address loopback{"127.0.0.1", 0};
constexpr const char* secret = "correct-horse-battery";

std::shared_ptr<const manifest::service_document> make_document()
{
    auto document = std::make_shared<manifest::service_document>();
    auto& rules = document->rules;
    rules.name = "orders";
    rules.upstream.slots = 2;
    rules.upstream.connection_limit = 8;
    rules.upstream.queue_length = 4;
    rules.upstream.default_deadline = 2s;
    rules.upstream.max_deadline = 10s;
    rules.upstream.body_limit_bytes = 1000;
    rules.tenants.push_back({.tenant = "a", .rate_per_second = 0, .burst = 0, .share_weight = 1, .concurrency = 0});
    std::error_code error;
    for (const char* name : {"a", "b"})
    {
        document->tenants.push_back({name, {*manifest::hash_secret(secret, error)}});
    }
    return document;
}

// One node without peers: caller listener, admission and a small upstream in the same loop.
class local_node
{
  public:
    explicit local_node(http::server::request_hook upstream_hook)
    {
        this->directory.insert(this->document);
        this->upstream = std::make_unique<http::server>(
            http::server::builder{}.listen_on(loopback).on_request(std::move(upstream_hook)).build(this->loop));
        this->receiving = std::make_unique<node::receiver>(
            this->loop, this->upstream->address(), this->protocol, node::to_receiver_limits(this->document->rules),
            node::receiver::hooks{.better_peers = [](core::duration) { return std::vector<core::node_id>{}; },
                                  .on_slot_free = {}});
        node::entry::hooks hooks;
        hooks.open = [this](const attempts::start_parameters& parameters, const http::request_header& head,
                            const node::call_description& description,
                            node::attempt_channel::hooks events) -> std::optional<node::opened_attempt>
        {
            if (!parameters.excluded.empty())
            {
                return std::nullopt;
            }
            node::received_call call{description.id,
                                     description.tenant,
                                     description.traffic_class,
                                     description.deadline - 5ms,
                                     description.depth,
                                     parameters.attempt_number,
                                     {}};
            return node::opened_attempt{"n1", this->receiving->start(head, std::move(call), std::move(events))};
        };
        hooks.on_finished = [this](const node::call_description&, const node::call_result& result)
        {
            this->results.push_back(result);
        };
        hooks.on_refused = [this](std::error_code)
        {
            ++this->refusals;
        };
        this->callers =
            std::make_unique<node::entry>(this->loop, loopback, this->directory, this->random, "n1", std::move(hooks));
        this->callers->start_listening();
    }

    // Sends one request and collects its answer.
    http::response_header call(const std::string& credential, const std::string& body = {},
                               const std::map<std::string, std::string>& fields = {})
    {
        http::request_header head{.method = "POST", .target = "/confirmations"};
        head.fields.add("Host", "orders");
        if (!credential.empty())
        {
            head.fields.add("Authorization", "Bearer " + credential);
        }
        for (const auto& [name, value] : fields)
        {
            head.fields.add(name, value);
        }
        head.framing = http::body_framing::fixed;
        head.content_length = body.size();
        http::response_header answer;
        this->response_body.clear();
        bool ended = false;
        const auto connection = http::client_connection::connect(this->loop, this->callers->address(), 5s);
        connection->start(head, {.on_interim = {},
                                 .on_response_header = [&](http::response_header& received) { answer = received; },
                                 .on_body = [&](std::string_view bytes) { this->response_body.append(bytes); },
                                 .on_end = [&] { ended = true; },
                                 .on_writable = {},
                                 .on_failed =
                                     [&](const http::client_failure&)
                                 {
                                     ended = true;
                                 }});
        connection->send_body(body);
        connection->finish_request();
        this->run_until([&] { return ended; });
        return answer;
    }

    void run_until(const std::function<bool()>& condition)
    {
        bool expired = false;
        net::timer limit{this->loop, [&]
                         {
                             expired = true;
                         }};
        limit.schedule(10s);
        while (!condition() && !expired)
        {
            this->loop.run_once();
        }
        CHECK_FALSE(expired);
    }

    net::event_loop loop{};
    node::call_protocol protocol{node::default_call_protocol()};
    std::mt19937_64 random{1};
    std::shared_ptr<const manifest::service_document> document{make_document()};
    manifest::service_directory directory{};
    std::unique_ptr<http::server> upstream{};
    std::unique_ptr<node::receiver> receiving{};
    std::unique_ptr<node::entry> callers{};
    std::vector<node::call_result> results{};
    std::string response_body{};
    int refusals{0};
};

std::string field_of(const http::response_header& head, const char* name)
{
    const auto* const value = head.fields.find(name);
    return value == nullptr ? "" : *value;
}

} // namespace

TEST_GROUP(local_path){};

// Guards against a request or an answer that changes on its way, and against a credential that reaches the upstream.
TEST(local_path, request_and_answer_arrive_unchanged)
{
    std::string seen_body;
    http::request_header seen;
    local_node node{[&](const std::shared_ptr<http::server_exchange>& exchange)
                    {
                        seen = exchange->request();
                        exchange->set_hooks({.on_body = [&](std::string_view bytes) { seen_body.append(bytes); },
                                             .on_body_end =
                                                 [exchange]
                                             {
                                                 http::response_header head{.status = 201};
                                                 head.fields.add("X-End-To-End", "kept");
                                                 head.fields.add("Poplar-Outcome", "forged");
                                                 head.fields.add("Connection", "X-Hop");
                                                 head.fields.add("X-Hop", "removed");
                                                 http::respond(*exchange, std::move(head), "the answer");
                                             },
                                             .on_writable = {},
                                             .on_cancelled = {}});
                    }};
    const auto answer =
        node.call(std::string{"a."} + secret, "the request", {{"X-Custom", "kept"}, {"Poplar-Tenant", "b"}});
    LONGS_EQUAL(201, answer.status);
    STRCMP_EQUAL("the answer", node.response_body.c_str());
    STRCMP_EQUAL("the request", seen_body.c_str());
    STRCMP_EQUAL("answered", field_of(answer, "Poplar-Outcome").c_str());
    STRCMP_EQUAL("kept", field_of(answer, "X-End-To-End").c_str());
    CHECK(answer.fields.find("X-Hop") == nullptr);
    CHECK(seen.fields.find("Authorization") == nullptr);
    STRCMP_EQUAL("kept", seen.fields.find("X-Custom")->c_str());
    STRCMP_EQUAL("a", seen.fields.find("Poplar-Tenant")->c_str());
    LONGS_EQUAL(1, seen.fields.count("Poplar-Tenant"));
}

struct refusal_case
{
    const char* title;
    std::string credential;
    std::string body;
    std::map<std::string, std::string> fields;
    int status;
};

// Guards against a request that reaches an upstream although its caller may not send it.
TEST(local_path, refused_requests_reach_no_upstream)
{
    int requests = 0;
    local_node node{[&](const std::shared_ptr<http::server_exchange>&)
                    {
                        ++requests;
                    }};
    const std::vector<refusal_case> cases{
        {"no credential", "", "", {}, 401},
        {"wrong secret", "a.wrong-secret-of-some-length", "", {}, 401},
        {"tenant that is not admitted", std::string{"b."} + secret, "", {}, 403},
        {"unknown service", std::string{"a."} + secret, "", {{"Poplar-Service", "other"}}, 404},
        {"body above the limit", std::string{"a."} + secret, std::string(1001, 'x'), {}, 413},
        {"malformed deadline", std::string{"a."} + secret, "", {{"Poplar-Deadline-Ms", "-5"}}, 400},
    };
    for (const auto& entry : cases)
    {
        const auto answer = node.call(entry.credential, entry.body, entry.fields);
        LONGS_EQUAL_TEXT(entry.status, answer.status, entry.title);
        STRCMP_EQUAL_TEXT("not_run", field_of(answer, "Poplar-Outcome").c_str(), entry.title);
    }
    LONGS_EQUAL(0, requests);
    LONGS_EQUAL(static_cast<long>(cases.size()), node.refusals);
}

// Guards against "not run" for a request that the upstream may have run, and against "unknown" where the proof exists.
TEST(local_path, outcome_follows_the_proof)
{
    {
        local_node node{[](const std::shared_ptr<http::server_exchange>& exchange)
                        {
                            exchange->abort();
                        }};
        const auto answer = node.call(std::string{"a."} + secret);
        LONGS_EQUAL(502, answer.status);
        STRCMP_EQUAL("unknown", field_of(answer, "Poplar-Outcome").c_str());
        LONGS_EQUAL(static_cast<int>(node::errc::upstream_failed), std::stoi(field_of(answer, "Poplar-Code")));
    }
    {
        local_node node{[](const std::shared_ptr<http::server_exchange>&) {
        }};
        node.upstream.reset();
        node.loop.run_once();
        const auto answer = node.call(std::string{"a."} + secret);
        LONGS_EQUAL(503, answer.status);
        STRCMP_EQUAL("not_run", field_of(answer, "Poplar-Outcome").c_str());
    }
    {
        local_node node{[](const std::shared_ptr<http::server_exchange>& exchange)
                        {
                            http::response_header head{.status = 503};
                            head.fields.add("Poplar-Not-Run", "true");
                            http::respond(*exchange, std::move(head), "shed");
                        }};
        const auto answer = node.call(std::string{"a."} + secret);
        LONGS_EQUAL(503, answer.status);
        STRCMP_EQUAL("not_run", field_of(answer, "Poplar-Outcome").c_str());
        LONGS_EQUAL(static_cast<int>(node::errc::upstream_shed), std::stoi(field_of(answer, "Poplar-Code")));
    }
}

// Guards against an upstream that never answers holding the caller beyond its deadline, or the slot for ever.
TEST(local_path, silent_upstream_ends_as_unknown_at_the_deadline)
{
    std::vector<std::shared_ptr<http::server_exchange>> held;
    bool cancelled = false;
    local_node node{[&](const std::shared_ptr<http::server_exchange>& exchange)
                    {
                        held.push_back(exchange);
                        exchange->set_hooks({.on_body = {},
                                             .on_body_end = {},
                                             .on_writable = {},
                                             .on_cancelled = [&](std::error_code)
                                             {
                                                 cancelled = true;
                                             }});
                    }};
    const auto answer = node.call(std::string{"a."} + secret, "", {{"Poplar-Deadline-Ms", "50"}});
    LONGS_EQUAL(504, answer.status);
    STRCMP_EQUAL("unknown", field_of(answer, "Poplar-Outcome").c_str());
    node.run_until([&] { return cancelled; });
    LONGS_EQUAL(0, node.receiving->load().in_flight);
    CHECK(node.receiving->is_idle());
}
