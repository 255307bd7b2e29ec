#include "fleet.hpp"

#include <chrono>    // milliseconds, seconds
#include <cstdint>   // uint16_t
#include <fstream>   // ofstream
#include <ostream>   // ostream
#include <stdexcept> // runtime_error
#include <utility>   // move

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "measure.hpp"

namespace poplarport::bench
{

namespace
{

constexpr std::chrono::seconds start_timeout{30};

// The credential of the sample secret "sample-secret-internal".
constexpr const char* credential = "sha256:629803f094a6450b42143abafed7f427:"
                                   "ae8212a2eeba0f6c48cb210023a29c339f1cde194b753d0c0c261b9f1ff8a8b3";

bool is_free(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const bool bound =
        descriptor >= 0 && ::bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
    ::close(descriptor);
    return bound;
}

std::string tenant_name(std::size_t index)
{
    return index == 0 ? "internal" : "tenant-" + std::to_string(index);
}

void write_service(std::ostream& out, const std::string& name, const std::string& calls, const manifest_shape& shape)
{
    out << "[[services]]\nname = \"" << name << "\"\nhosts = [\"" << name << ".example\"]\ncalls = [" << calls
        << "]\ntail_latency_weight_per_mille = 500\n[services.upstream]\nslots = " << shape.leaf_slots
        << "\nconnection_limit = 600\nqueue_length = 1000\ndefault_deadline_ms = 10000\ngreatest_deadline_ms = 60000\n"
        << "cold_start_ramp_ms = 0\ndrain_time_ms = " << (30'000 + shape.change)
        << "\n[[services.upstream.repeatable]]\nmethods = [\"GET\"]\npath_prefix = \"/\"\n"
        << "[services.measuring]\nbytes_per_second = 2048\nprocessor_time_per_mille = 5\n"
        << "[[services.classes]]\nname = \"default\"\nweight = 1\n";
    for (std::size_t index = 0; index < shape.tenants; ++index)
    {
        out << "[[services.tenants]]\ntenant = \"" << tenant_name(index)
            << "\"\nrate_per_second = 100000\nburst = 10000\nshare_weight = 1\nconcurrency = 10000\n";
    }
}

} // namespace

fleet::fleet(int first_port) : next_port(first_port), platform_address(this->next_address())
{
    this->platform = std::make_unique<test::child_process>(this->output_folder, "platform", "platform-standin",
                                                           std::vector<std::string>{"--listen", platform_address});
    (void)this->platform->address("platform");
}

std::string fleet::next_address()
{
    // Other programs on the machine may listen on ports of the range.
    while (!is_free(this->next_port))
    {
        ++this->next_port;
    }
    return "127.0.0.1:" + std::to_string(this->next_port++);
}

void fleet::apply(const manifest_shape& shape)
{
    const auto file = this->output_folder.file("manifest.toml");
    {
        std::ofstream out{file};
        for (std::size_t index = 0; index < shape.tenants; ++index)
        {
            out << "[[tenants]]\nname = \"" << tenant_name(index) << "\"\ncredentials = [\"" << credential << "\"]\n";
        }
        std::string calls = "\"leaf\"";
        for (std::size_t index = 0; index < shape.services; ++index)
        {
            calls += ", \"service-" + std::to_string(index) + "\"";
        }
        write_service(out, "entry", calls, {0, shape.tenants, 0, shape.leaf_slots});
        write_service(out, "leaf", "", shape);
        for (std::size_t index = 0; index < shape.services; ++index)
        {
            write_service(out, "service-" + std::to_string(index), "", {0, 1, 0, shape.leaf_slots});
        }
    }
    const auto name = "apply-" + std::to_string(this->runs++);
    const auto status = test::run_program(this->output_folder, name, "poplarctl",
                                          {"apply", file.string(), "--platform", this->platform_address});
    if (!status || status->code != 0)
    {
        throw std::runtime_error("poplarctl apply failed: " + test::read_file(this->output_folder.file(name + ".out")) +
                                 test::read_file(this->output_folder.file(name + ".err")));
    }
}

std::string fleet::start_upstream(double service_ms)
{
    auto address = this->next_address();
    const auto name = "upstream-" + std::to_string(this->upstreams.size());
    this->upstreams.push_back(std::make_unique<test::child_process>(
        this->output_folder, name, "upstream-standin",
        std::vector<std::string>{"--name", name, "--listen", address, "--slots", "512", "--queue", "1000",
                                 "--service-time", "constant", "--service-ms", std::to_string(service_ms)}));
    test::pause(std::chrono::milliseconds{200});
    return address;
}

running_node& fleet::start_node(const std::string& service, const std::string& upstream)
{
    running_node node;
    node.id = service + "-" + std::to_string(this->running_nodes.size());
    node.caller_address = this->next_address();
    const auto peers = this->next_address();
    node.administration_address = this->next_address();
    const auto file = this->output_folder.file(node.id + ".toml");
    std::ofstream{file} << "[node]\nid = \"" << node.id << "\"\nservice = \"" << service
                        << "\"\navailability_zone = \"zone-1\"\ncluster_secret = \"secret-of-the-bench-cluster\"\n"
                        << "[listen]\ncallers = \"" << node.caller_address << "\"\npeers = \"" << peers
                        << "\"\nadministration = \"" << node.administration_address << "\"\n[upstream]\naddress = \""
                        << upstream << "\"\n[platform]\naddress = \"" << this->platform_address << "\"\n";
    node.process = std::make_unique<test::child_process>(this->output_folder, node.id, "poplar-node",
                                                         std::vector<std::string>{"--settings", file.string()});
    this->running_nodes.push_back(std::move(node));
    return this->running_nodes.back();
}

bool fleet::wait_ready(std::size_t members)
{
    for (const auto& node : this->running_nodes)
    {
        const bool ready = test::wait_until(
            [&]
            {
                return test::http_request(node.administration_address, "GET", "/ready").find(" 200") !=
                           std::string::npos &&
                       metric(test::http_request(node.administration_address, "GET", "/metrics"),
                              "poplarport_members") >= static_cast<double>(members);
            },
            start_timeout);
        if (!ready)
        {
            return false;
        }
    }
    return true;
}

std::string fleet::load(const std::string& target, double rate, int seconds)
{
    const auto name = "load-" + std::to_string(this->runs++);
    const auto report = this->output_folder.file(name + ".json");
    const auto status = test::run_program(this->output_folder, name, "poplar-load",
                                          {"--target",       target,
                                           "--service",      "leaf",
                                           "--tenant",       "internal.sample-secret-internal 1",
                                           "--repeatable",   "GET /x 1",
                                           "--answer-bytes", "200:200",
                                           "--rate",         std::to_string(static_cast<int>(rate)),
                                           "--seconds",      std::to_string(seconds),
                                           "--arrivals",     "poisson",
                                           "--seed",         "1",
                                           "--deadline-ms",  "10000",
                                           "--name",         name,
                                           "--report-json",  report.string()});
    if (!status || status->code != 0)
    {
        throw std::runtime_error("poplar-load failed: " + test::read_file(this->output_folder.file(name + ".err")));
    }
    return test::read_file(report);
}

std::size_t fleet::count_in_log(const running_node& node, const std::string& text)
{
    const auto log = node.process->errors();
    std::size_t count = 0;
    for (auto position = log.find(text); position != std::string::npos; position = log.find(text, position + 1))
    {
        ++count;
    }
    return count;
}

} // namespace poplarport::bench
