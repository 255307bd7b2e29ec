#include <csignal>   // SIGINT, SIGTERM
#include <iostream>  // cerr, cout
#include <stdexcept> // invalid_argument
#include <string>    // string

#include "poplarport/net/event_loop.hpp"
#include "poplarport/net/signal_watch.hpp"
#include "poplarport/settings/address_options.hpp"
#include "poplarport/settings/program.hpp"
#include "poplarport/standins/upstream/upstream_server.hpp"

using namespace poplarport;

namespace
{

constexpr std::size_t descriptor_limit = 8192;

void add_options(cxxopts::Options& options)
{
    auto add = options.add_options();
    add("name", "name of the upstream", cxxopts::value<std::string>()->default_value("upstream"));
    add("listen", "address to listen on", cxxopts::value<std::string>()->default_value("127.0.0.1:0"), "HOST:PORT");
    add("control", "control address; none if absent", cxxopts::value<std::string>(), "HOST:PORT");
    add("slots", "requests that run concurrently", cxxopts::value<std::uint32_t>()->default_value("8"));
    add("queue", "requests that may wait for a slot", cxxopts::value<std::uint32_t>()->default_value("8"));
    add("service-time", "distribution of the service times: constant, exponential or lognormal",
        cxxopts::value<std::string>()->default_value("constant"));
    add("service-ms", "mean service time in milliseconds", cxxopts::value<double>()->default_value("5"));
    add("service-sigma", "standard deviation of the logarithm, for lognormal",
        cxxopts::value<double>()->default_value("1"));
    add("seed", "seed of the service times", cxxopts::value<std::uint64_t>()->default_value("1"));
    add("cold-start-ms", "time after the start in milliseconds with longer service times",
        cxxopts::value<std::int64_t>()->default_value("0"));
    add("cold-factor", "multiplies service times during the cold start", cxxopts::value<double>()->default_value("4"));
    add("answer-bytes", "size of a response body if the request does not state one",
        cxxopts::value<std::size_t>()->default_value("128"));
    add("leave-ms", "minimum time in milliseconds for which a stopping upstream still responds",
        cxxopts::value<std::int64_t>()->default_value("500"));
    add("ledger", "file to append the ledger to", cxxopts::value<std::string>(), "FILE");
    add("faults", "initial faults, as for POST /faults at the control address",
        cxxopts::value<std::string>()->default_value("{}"), "JSON");
}

double read_non_negative(const cxxopts::ParseResult& parsed, const std::string& name)
{
    const auto value = parsed[name].as<double>();
    if (!(value >= 0.0))
    {
        throw std::invalid_argument("--" + name + " must not be negative");
    }
    return value;
}

standins::upstream_settings read_settings(const cxxopts::ParseResult& parsed)
{
    standins::upstream_settings options;
    options.name = parsed["name"].as<std::string>();
    options.listen = settings::required_address(parsed, "listen");
    options.control = settings::optional_address(parsed, "control");
    options.slots = parsed["slots"].as<std::uint32_t>();
    options.queue = parsed["queue"].as<std::uint32_t>();
    const auto shape = standins::service_time_shape_from_string(parsed["service-time"].as<std::string>());
    if (!shape)
    {
        throw std::invalid_argument("--service-time must be constant, exponential or lognormal");
    }
    options.service.shape = *shape;
    options.service.mean = standins::fractional_milliseconds{read_non_negative(parsed, "service-ms")};
    options.service.sigma = read_non_negative(parsed, "service-sigma");
    options.service.seed = parsed["seed"].as<std::uint64_t>();
    options.cold_start = std::chrono::milliseconds{parsed["cold-start-ms"].as<std::int64_t>()};
    options.cold_factor = read_non_negative(parsed, "cold-factor");
    options.response_bytes = parsed["answer-bytes"].as<std::size_t>();
    options.stop_grace = std::chrono::milliseconds{parsed["leave-ms"].as<std::int64_t>()};
    if (parsed.count("ledger") != 0)
    {
        options.ledger = parsed["ledger"].as<std::string>();
    }
    options.initial_faults = standins::merge_faults({}, parsed["faults"].as<std::string>());
    return options;
}

settings::exit_status serve(const cxxopts::ParseResult& parsed)
{
    const auto options = read_settings(parsed);
    net::event_loop loop{net::event_loop::options{.max_descriptors = descriptor_limit}};
    standins::upstream_server server{loop, options};
    bool stop_requested = false;
    const net::signal_watch signals{loop,
                                    {SIGINT, SIGTERM},
                                    [&](int)
                                    {
                                        if (stop_requested)
                                        {
                                            loop.stop();
                                            return;
                                        }
                                        stop_requested = true;
                                        server.stop([&loop] { loop.stop(); });
                                    }};
    std::cout << "listening " << options.name << ' ' << core::to_string(server.address()) << std::endl;
    if (const auto control = server.control_address())
    {
        std::cout << "listening control " << core::to_string(*control) << std::endl;
    }
    loop.run();
    return settings::exit_status::ok;
}

} // namespace

int main(int argc, char** argv)
{
    const auto program = settings::program::builder{"upstream-standin",
                                                    "HTTP/1.1 upstream with fault injection, for tests and the demo."}
                             .options(add_options)
                             .run(serve)
                             .build();
    return program.run(argc, argv, std::cout, std::cerr);
}
