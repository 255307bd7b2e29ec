#include <csignal>  // SIGINT, SIGTERM
#include <iostream> // cerr, cout
#include <string>   // string

#include <cxxopts.hpp>
#include <sysexits.h>

#include "poplarport/net/event_loop.hpp"
#include "poplarport/net/signal_watch.hpp"
#include "poplarport/standins/upstream/upstream_server.hpp"

using namespace poplarport;

namespace
{

constexpr std::size_t descriptor_limit = 8192;

cxxopts::Options make_options()
{
    cxxopts::Options options{"upstream-standin", "An HTTP/1.1 upstream for tests and the demo"};
    auto add = options.add_options();
    add("name", "name in the ledger", cxxopts::value<std::string>()->default_value("upstream"));
    add("listen", "address to listen on", cxxopts::value<std::string>()->default_value("127.0.0.1:0"), "HOST:PORT");
    add("control", "control address; none if absent", cxxopts::value<std::string>(), "HOST:PORT");
    add("slots", "requests that run at once", cxxopts::value<std::uint32_t>()->default_value("8"));
    add("queue", "requests that wait for a slot", cxxopts::value<std::uint32_t>()->default_value("8"));
    add("service-time", "constant, exponential or lognormal", cxxopts::value<std::string>()->default_value("constant"));
    add("service-ms", "mean of the service time", cxxopts::value<double>()->default_value("5"));
    add("service-sigma", "standard deviation of the logarithm, for lognormal",
        cxxopts::value<double>()->default_value("1"));
    add("seed", "seed of the service times", cxxopts::value<std::uint64_t>()->default_value("1"));
    add("cold-start-ms", "time from the start with slower requests",
        cxxopts::value<std::int64_t>()->default_value("0"));
    add("cold-factor", "factor on service times during the cold start", cxxopts::value<double>()->default_value("4"));
    add("answer-bytes", "size of an answer where the request asks for none",
        cxxopts::value<std::size_t>()->default_value("128"));
    add("leave-ms", "least time in which a stopping upstream answers new requests",
        cxxopts::value<std::int64_t>()->default_value("500"));
    add("ledger", "file to append the ledger to", cxxopts::value<std::string>(), "FILE");
    add("faults", "faults from the start, as for POST /faults at the control address",
        cxxopts::value<std::string>()->default_value("{}"), "JSON");
    add("help", "print this help");
    add("version", "print the version");
    return options;
}

core::socket_address read_address(const std::string& text)
{
    const auto address = core::parse_socket_address(text);
    if (!address)
    {
        throw std::invalid_argument("not an IP number with a port: " + text);
    }
    return *address;
}

double read_positive(const cxxopts::ParseResult& parsed, const std::string& name)
{
    const auto value = parsed[name].as<double>();
    if (!(value >= 0.0))
    {
        throw std::invalid_argument("--" + name + " is negative");
    }
    return value;
}

standins::upstream_settings read_settings(const cxxopts::ParseResult& parsed)
{
    standins::upstream_settings settings;
    settings.name = parsed["name"].as<std::string>();
    settings.listen = read_address(parsed["listen"].as<std::string>());
    if (parsed.count("control") != 0)
    {
        settings.control = read_address(parsed["control"].as<std::string>());
    }
    settings.slots = parsed["slots"].as<std::uint32_t>();
    settings.queue = parsed["queue"].as<std::uint32_t>();
    const auto shape = standins::service_time_shape_from_string(parsed["service-time"].as<std::string>());
    if (!shape)
    {
        throw std::invalid_argument("--service-time allows constant, exponential and lognormal");
    }
    settings.service.shape = *shape;
    settings.service.mean = standins::milliseconds_f{read_positive(parsed, "service-ms")};
    settings.service.sigma = read_positive(parsed, "service-sigma");
    settings.service.seed = parsed["seed"].as<std::uint64_t>();
    settings.cold_start = std::chrono::milliseconds{parsed["cold-start-ms"].as<std::int64_t>()};
    settings.cold_factor = read_positive(parsed, "cold-factor");
    settings.answer_bytes = parsed["answer-bytes"].as<std::size_t>();
    settings.leave_time = std::chrono::milliseconds{parsed["leave-ms"].as<std::int64_t>()};
    if (parsed.count("ledger") != 0)
    {
        settings.ledger = parsed["ledger"].as<std::string>();
    }
    settings.initial_faults = standins::merge_faults({}, parsed["faults"].as<std::string>());
    return settings;
}

int serve(const standins::upstream_settings& settings)
{
    net::event_loop loop{net::event_loop::options{.max_descriptors = descriptor_limit}};
    standins::upstream_server server{loop, settings};
    bool asked_before = false;
    const net::signal_watch signals{loop,
                                    {SIGINT, SIGTERM},
                                    [&](int)
                                    {
                                        if (asked_before)
                                        {
                                            loop.stop();
                                            return;
                                        }
                                        asked_before = true;
                                        server.stop([&loop] { loop.stop(); });
                                    }};
    std::cout << "listening " << settings.name << ' ' << core::to_string(server.address()) << std::endl;
    if (const auto control = server.control_address())
    {
        std::cout << "listening control " << core::to_string(*control) << std::endl;
    }
    loop.run();
    return EX_OK;
}

} // namespace

int main(int argc, char** argv)
{
    auto options = make_options();
    standins::upstream_settings settings;
    try
    {
        const auto parsed = options.parse(argc, argv);
        if (parsed.count("help") != 0)
        {
            std::cout << options.help();
            return EX_OK;
        }
        if (parsed.count("version") != 0)
        {
            std::cout << "upstream-standin " << POPLARPORT_VERSION << '\n';
            return EX_OK;
        }
        settings = read_settings(parsed);
    }
    catch (const std::exception& fault)
    {
        std::cerr << "upstream-standin: " << fault.what() << '\n';
        return EX_USAGE;
    }
    try
    {
        return serve(settings);
    }
    catch (const std::exception& fault)
    {
        std::cerr << "upstream-standin: " << fault.what() << '\n';
        return EX_UNAVAILABLE;
    }
}
