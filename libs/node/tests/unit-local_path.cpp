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

// A node without peers: caller listener, admission and a minimal upstream in one event loop.
class local_node
{
  public:
    explicit local_node(http::server::request_hook upstream_hook)
    {
        this->directory.insert(this->document);
        this->upstream = std::make_unique<http::server>(
            http::server::builder{}.listen_on(loopback).on_request(std::move(upstream_hook)).build(this->loop));
        this->local_receiver = std::make_unique<node::receiver>(
            this->loop, this->upstream->address(), this->protocol, node::to_receiver_limits(this->document->rules),
            node::receiver::hooks{.better_peers = [](core::duration) { return std::vector<core::node_id>{}; },
                                  .on_slot_free = {}});
        node::entry::hooks hooks;
        hooks.open = [this](const attempts::start_parameters& parameters, const http::request_header& header,
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
            return node::opened_attempt{"n1", this->local_receiver->start(header, std::move(call), std::move(events))};
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

    // Sends one request and returns the header section of its response; the body is stored in response_body.
    http::response_header call(const std::string& credential, const std::string& body = {},
                               const std::map<std::string, std::string>& fields = {})
    {
        http::request_header request{.method = "POST", .target = "/confirmations"};
        request.fields.add("Host", "orders");
        if (!credential.empty())
        {
            request.fields.add("Authorization", "Bearer " + credential);
        }
        for (const auto& [name, value] : fields)
        {
            request.fields.add(name, value);
        }
        request.framing = http::body_framing::fixed;
        request.content_length = body.size();
        http::response_header response;
        this->response_body.clear();
        bool ended = false;
        const auto connection = http::client_connection::connect(this->loop, this->callers->address(), 5s);
        connection->start(request, {.on_interim = {},
                                    .on_response_header = [&](http::response_header& received) { response = received; },
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
        return response;
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
    std::unique_ptr<node::receiver> local_receiver{};
    std::unique_ptr<node::entry> callers{};
    std::vector<node::call_result> results{};
    std::string response_body{};
    int refusals{0};
};

std::string field_of(const http::response_header& header, const char* name)
{
    const auto* const value = header.fields.find(name);
    return value == nullptr ? "" : *value;
}

} // namespace

TEST_GROUP(local_path){};

// End-to-end fields and bodies must arrive unchanged. A credential or a caller's own Poplar-Tenant field that is copied
// into the upstream request would disclose a secret or allow a caller to act as another tenant.
TEST(local_path, request_and_response_arrive_unchanged)
{
    std::string received_body;
    http::request_header received_request;
    local_node node{[&](const std::shared_ptr<http::server_exchange>& exchange)
                    {
                        received_request = exchange->request();
                        exchange->set_hooks({.on_body = [&](std::string_view bytes) { received_body.append(bytes); },
                                             .on_body_end =
                                                 [exchange]
                                             {
                                                 http::response_header header{.status = 201};
                                                 header.fields.add("X-End-To-End", "kept");
                                                 header.fields.add("Poplar-Outcome", "forged");
                                                 header.fields.add("Connection", "X-Hop");
                                                 header.fields.add("X-Hop", "removed");
                                                 http::respond(*exchange, std::move(header), "the response");
                                             },
                                             .on_writable = {},
                                             .on_cancelled = {}});
                    }};
    const auto response =
        node.call(std::string{"a."} + secret, "the request", {{"X-Custom", "kept"}, {"Poplar-Tenant", "b"}});
    LONGS_EQUAL(201, response.status);
    STRCMP_EQUAL("the response", node.response_body.c_str());
    STRCMP_EQUAL("the request", received_body.c_str());
    STRCMP_EQUAL("answered", field_of(response, "Poplar-Outcome").c_str());
    STRCMP_EQUAL("kept", field_of(response, "X-End-To-End").c_str());
    CHECK(response.fields.find("X-Hop") == nullptr);
    CHECK(received_request.fields.find("Authorization") == nullptr);
    STRCMP_EQUAL("kept", received_request.fields.find("X-Custom")->c_str());
    STRCMP_EQUAL("a", received_request.fields.find("Poplar-Tenant")->c_str());
    LONGS_EQUAL(1, received_request.fields.count("Poplar-Tenant"));
}

struct refusal_case
{
    const char* title;
    std::string credential;
    std::string body;
    std::map<std::string, std::string> fields;
    int status;
};

// A request that fails authentication, the limits or validation must not be sent to the upstream, and its response must
// report that it was not run.
TEST(local_path, refused_requests_are_not_sent_to_upstream)
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
    for (const auto& refusal : cases)
    {
        const auto response = node.call(refusal.credential, refusal.body, refusal.fields);
        LONGS_EQUAL_TEXT(refusal.status, response.status, refusal.title);
        STRCMP_EQUAL_TEXT("not_run", field_of(response, "Poplar-Outcome").c_str(), refusal.title);
    }
    LONGS_EQUAL(0, requests);
    LONGS_EQUAL(static_cast<long>(cases.size()), node.refusals);
}

// A request that may have run must not be reported as "not run", since the caller would repeat it. With a proof that it
// did not run, "unknown" would prevent a safe retry.
TEST(local_path, not_run_is_reported_only_with_proof)
{
    {
        local_node node{[](const std::shared_ptr<http::server_exchange>& exchange)
                        {
                            exchange->abort();
                        }};
        const auto response = node.call(std::string{"a."} + secret);
        LONGS_EQUAL(502, response.status);
        STRCMP_EQUAL("unknown", field_of(response, "Poplar-Outcome").c_str());
        LONGS_EQUAL(static_cast<int>(node::errc::upstream_failed), std::stoi(field_of(response, "Poplar-Code")));
    }
    {
        local_node node{[](const std::shared_ptr<http::server_exchange>&) {
        }};
        node.upstream.reset();
        node.loop.run_once();
        const auto response = node.call(std::string{"a."} + secret);
        LONGS_EQUAL(503, response.status);
        STRCMP_EQUAL("not_run", field_of(response, "Poplar-Outcome").c_str());
    }
    {
        local_node node{[](const std::shared_ptr<http::server_exchange>& exchange)
                        {
                            http::response_header header{.status = 503};
                            header.fields.add("Poplar-Not-Run", "true");
                            http::respond(*exchange, std::move(header), "shed");
                        }};
        const auto response = node.call(std::string{"a."} + secret);
        LONGS_EQUAL(503, response.status);
        STRCMP_EQUAL("not_run", field_of(response, "Poplar-Outcome").c_str());
        LONGS_EQUAL(static_cast<int>(node::errc::upstream_shed), std::stoi(field_of(response, "Poplar-Code")));
    }
}

// An upstream that never responds must not keep the caller waiting beyond its deadline or occupy the slot permanently.
TEST(local_path, unresponsive_upstream_ends_as_unknown_at_deadline)
{
    std::vector<std::shared_ptr<http::server_exchange>> unanswered;
    bool cancelled = false;
    local_node node{[&](const std::shared_ptr<http::server_exchange>& exchange)
                    {
                        unanswered.push_back(exchange);
                        exchange->set_hooks({.on_body = {},
                                             .on_body_end = {},
                                             .on_writable = {},
                                             .on_cancelled = [&](std::error_code)
                                             {
                                                 cancelled = true;
                                             }});
                    }};
    const auto response = node.call(std::string{"a."} + secret, "", {{"Poplar-Deadline-Ms", "50"}});
    LONGS_EQUAL(504, response.status);
    STRCMP_EQUAL("unknown", field_of(response, "Poplar-Outcome").c_str());
    node.run_until([&] { return cancelled; });
    LONGS_EQUAL(0, node.local_receiver->load().in_flight);
    CHECK(node.local_receiver->is_idle());
}
