#include "stage.hpp"

#include <algorithm> // ranges::all_of
#include <optional>  // optional
#include <utility>   // move

#include <unistd.h>

#include "poplarport/control/message.hpp"

namespace poplarport::review
{

namespace
{

constexpr std::uint16_t readiness_port = 8140;
constexpr std::uint16_t callers_port = 8141;
constexpr std::uint16_t registration_port = 8146;
constexpr std::uint16_t upstream_port = 8147;
constexpr std::uint16_t peers_port = 7660;
constexpr std::uint16_t metrics_port = 9464;

constexpr std::chrono::milliseconds heartbeat_interval{1500};
constexpr std::chrono::milliseconds call_timeout{1000};
constexpr std::chrono::seconds start_limit{20};

constexpr int slots = 9;

// Loopback addresses differ between the runs of a case, so that no port of an earlier run is in use.
std::string ip_of(std::size_t number)
{
    constexpr int first_network = 20;
    constexpr int hosts = 250;
    const auto process = ::getpid();
    return "127." + std::to_string(first_network + static_cast<int>(number)) + "." +
           std::to_string(process / hosts % hosts) + "." + std::to_string(process % hosts + 1);
}

std::string quoted(const std::string& ip, std::uint16_t port)
{
    return '"' + core::to_string({ip, port}) + "\"\n";
}

} // namespace

stage::stage(std::string folder, const std::string& record)
    : directory(std::move(folder)), record_file(record), store_address(store.listen()), started_at(loop.now()),
      born_ms(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
                  .count()),
      heartbeat_timer(loop, [this] { this->send_heartbeats(); })
{
    this->heartbeat_timer.schedule(std::chrono::milliseconds{100});
}

stage::place& stage::add(const std::string& service, request_handler handler)
{
    auto& added = this->places.emplace_back();
    added.number = this->places.size();
    added.service = service;
    added.ip = ip_of(added.number);
    added.upstream_id = "i-" + std::to_string(added.number);
    added.upstream = std::make_unique<http::server>(
        http::server::builder{}
            .listen_on({added.ip, upstream_port})
            .on_request(
                [&added, handler = std::move(handler)](const std::shared_ptr<http::server_exchange>& exchange)
                {
                    if (exchange->request().target == "/health")
                    {
                        http::respond(*exchange, make_response(added, {}), {});
                        return;
                    }
                    handler(added, exchange);
                })
            .build(this->loop));
    const auto name = this->directory + "/node" + std::to_string(added.number) + ".toml";
    std::ofstream settings{name + ".part"};
    settings << "[node]\nid = \"n" << added.number << "\"\nservice = \"" << service
             << "\"\navailability_zone = \"z-1\"\ncluster_secret = \"mesh-of-the-review\"\nfirst_start = true\n"
             << "[listen]\ncallers = " << quoted(added.ip, callers_port) << "peers = " << quoted(added.ip, peers_port)
             << "registration = " << quoted(added.ip, registration_port)
             << "readiness = " << quoted(added.ip, readiness_port) << "metrics = " << quoted(added.ip, metrics_port)
             << "[upstream]\naddress = " << quoted(added.ip, upstream_port) << "drain_limit = \"2000ms\"\n"
             << "[store]\naddress = \"" << core::to_string(this->store_address) << "\"\n"
             << "[retry]\nratio = 0.2\nreserve = 64\nwindow = \"10s\"\n"
             << "[limits]\nstop = \"6s\"\ndescriptors = 4100\n[log]\nlevel = \"debug\"\n";
    settings.close();
    ::rename((name + ".part").c_str(), name.c_str());
    return added;
}

void stage::configure(const nlohmann::json& value)
{
    this->store.put("config", "main", value.dump());
}

bool stage::wait_for_nodes()
{
    std::ofstream{this->directory + "/begin"} << this->places.size() << "\n";
    const bool ready = this->run_until(
        [this] { return std::ranges::all_of(this->places, [this](const auto& each) { return this->is_ready(each); }); },
        start_limit);
    this->note(ready ? "all nodes are ready" : "the nodes did not become ready");
    return ready;
}

bool stage::run_until(const std::function<bool()>& condition, core::duration limit)
{
    const auto end = this->loop.now() + limit;
    while (!condition())
    {
        if (this->loop.now() >= end)
        {
            return false;
        }
        this->run_for(std::chrono::milliseconds{5});
    }
    return true;
}

void stage::run_for(core::duration time)
{
    bool is_over = false;
    net::timer timer{this->loop, [&is_over]
                     {
                         is_over = true;
                     }};
    timer.schedule(time);
    while (!is_over)
    {
        this->loop.run_once();
    }
}

void stage::after(core::duration delay, std::function<void()> task)
{
    const auto number = ++this->last_task;
    auto timer = std::make_unique<net::timer>(this->loop,
                                              [this, number, task = std::move(task)]
                                              {
                                                  const auto active = this->delayed.extract(number);
                                                  task();
                                              });
    timer->schedule(delay);
    this->delayed[number] = std::move(timer);
}

void stage::note(const std::string& line)
{
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(this->loop.now() - this->started_at);
    this->record_file << elapsed.count() << " ms  " << line << std::endl;
}

core::socket_address stage::callers_of(const place& node)
{
    return {node.ip, callers_port};
}

void stage::send_heartbeats()
{
    for (auto& each : this->places)
    {
        const nlohmann::json body{
            {"born", this->born_ms},
            {"address", core::to_string({each.ip, upstream_port})},
            {"info", {{"service", each.service}, {"version", "v1"}, {"zone", "z-1"}, {"slots", slots}}},
            {"status", {{"state", "ready"}, {"sequence", ++each.heartbeats}, {"cold_remaining", "0ms"}}}};
        this->client.send({each.ip, registration_port},
                          {.method = "POST", .path = "/-/Instances.Heartbeat/" + each.upstream_id, .body = body.dump()},
                          call_timeout, [](const control::reply&) {});
    }
    this->heartbeat_timer.schedule(heartbeat_interval);
}

bool stage::is_ready(const place& node)
{
    if (this->get({node.ip, readiness_port}, "/-/readiness").status != control::status::ok)
    {
        return false;
    }
    const auto metrics = this->get({node.ip, metrics_port}, "/metrics").body;
    const auto members = "\npoplarport_members " + std::to_string(this->places.size()) + "\n";
    return metrics.find(members) != std::string::npos &&
           metrics.find("\npoplarport_upstream_accepting 1\n") != std::string::npos;
}

control::response stage::get(const core::socket_address& from, const std::string& path)
{
    std::optional<control::response> result;
    this->client.send(from, {.path = path}, call_timeout,
                      [&result](const control::reply& reply)
                      { result = reply.response.value_or(control::response{.status = 0}); });
    while (!result)
    {
        this->loop.run_once();
    }
    return *result;
}

nlohmann::json make_route(const std::string& name, const std::string& kind, const std::string& prefix,
                          const std::string& service)
{
    return {{"name", name},
            {"kind", kind},
            {"target_latency", "500ms"},
            {"priority", 1},
            {"public", false},
            {"match", {{"path_prefix", prefix}}},
            {"action", {{"service", service}, {"timeout", "1500ms"}, {"max_attempts", 2}}}};
}

nlohmann::json make_configuration(int version, const nlohmann::json& routes, const nlohmann::json& services)
{
    nlohmann::json clusters = nlohmann::json::array();
    for (const auto& name : services)
    {
        clusters.push_back(
            {{"name", name}, {"health_path", "/health"}, {"max_connections", 260}, {"protocol", "h1"}, {"tls", false}});
    }
    return {{"version", "r" + std::to_string(version)},
            {"base_version", "r1"},
            {"limits",
             {{"max_header_bytes", 16384},
              {"max_body_bytes", 1048576},
              {"header_timeout", "3000ms"},
              {"idle_timeout", "15000ms"}}},
            {"listeners", {{{"host", "svc.test"}, {"rules", routes}}}},
            {"clusters", clusters}};
}

http::response_header make_response(const stage::place& at, const std::string& request)
{
    http::response_header header{.status = 200};
    header.fields.add("Instance-Id", at.upstream_id);
    header.fields.add("Server-Load", "0,0," + std::to_string(slots) + ",100");
    if (!request.empty())
    {
        header.fields.add("Request-Id", request);
        header.fields.add("Response-Stamp", "stamp-of-" + request);
    }
    return header;
}

std::string field_of(const http::server_exchange& exchange, const char* name)
{
    const auto* const field = exchange.request().fields.find(name);
    return field == nullptr ? std::string{} : *field;
}

} // namespace poplarport::review
