#include <csignal>  // SIGINT, SIGTERM
#include <iostream> // cerr, cout
#include <string>   // string

#include "poplarport/net/event_loop.hpp"
#include "poplarport/net/signal_watch.hpp"
#include "poplarport/settings/address_options.hpp"
#include "poplarport/settings/program.hpp"
#include "poplarport/standins/forwarder/forwarder.hpp"

using namespace poplarport;

namespace
{

constexpr std::size_t descriptor_limit = 8192;

void add_options(cxxopts::Options& options)
{
    auto add = options.add_options();
    add("name", "name in the line that reports the address", cxxopts::value<std::string>()->default_value("forwarder"));
    add("listen", "address to listen on", cxxopts::value<std::string>()->default_value("127.0.0.1:0"), "HOST:PORT");
    add("target", "address to forward to", cxxopts::value<std::string>(), "HOST:PORT");
    add("control", "control address; none if absent", cxxopts::value<std::string>(), "HOST:PORT");
    add("faults", "initial faults, as for POST /faults at the control address",
        cxxopts::value<std::string>()->default_value("{}"), "JSON");
}

standins::forwarder::settings read_settings(const cxxopts::ParseResult& parsed)
{
    standins::forwarder::settings options;
    options.listen = settings::required_address(parsed, "listen");
    options.target = settings::required_address(parsed, "target");
    options.control = settings::optional_address(parsed, "control");
    options.initial_faults = standins::merge_forwarder_faults({}, parsed["faults"].as<std::string>());
    return options;
}

settings::exit_status serve(const cxxopts::ParseResult& parsed)
{
    const auto options = read_settings(parsed);
    net::event_loop loop{net::event_loop::options{.max_descriptors = descriptor_limit}};
    const standins::forwarder forwarder{loop, options};
    const net::signal_watch signals{loop,
                                    {SIGINT, SIGTERM},
                                    [&loop](int)
                                    {
                                        loop.stop();
                                    }};
    std::cout << "listening " << parsed["name"].as<std::string>() << ' ' << core::to_string(forwarder.address())
              << std::endl;
    if (const auto control = forwarder.control_address())
    {
        std::cout << "listening control " << core::to_string(*control) << std::endl;
    }
    loop.run();
    return settings::exit_status::ok;
}

} // namespace

int main(int argc, char** argv)
{
    const auto program =
        settings::program::builder{"poplar-forwarder", "TCP forwarder with fault injection, for tests."}
            .options(add_options)
            .run(serve)
            .build();
    return program.run(argc, argv, std::cout, std::cerr);
}
