#include <csignal>   // SIGINT, SIGTERM
#include <iostream>  // cerr, cout
#include <stdexcept> // invalid_argument
#include <string>    // string

#include <cxxopts.hpp>
#include <sysexits.h>

#include "poplarport/net/event_loop.hpp"
#include "poplarport/net/signal_watch.hpp"
#include "poplarport/standins/forwarder/forwarder.hpp"

using namespace poplarport;

namespace
{

constexpr std::size_t descriptor_limit = 8192;

cxxopts::Options make_options()
{
    cxxopts::Options options{"poplar-forwarder", "Forwards TCP connections and breaks them, for failure tests"};
    auto add = options.add_options();
    add("name", "name on the listening line", cxxopts::value<std::string>()->default_value("forwarder"));
    add("listen", "address to listen on", cxxopts::value<std::string>()->default_value("127.0.0.1:0"), "HOST:PORT");
    add("target", "address to forward to", cxxopts::value<std::string>(), "HOST:PORT");
    add("control", "control address; none if absent", cxxopts::value<std::string>(), "HOST:PORT");
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

standins::forwarder::settings read_settings(const cxxopts::ParseResult& parsed)
{
    if (parsed.count("target") == 0)
    {
        throw std::invalid_argument("--target is missing");
    }
    standins::forwarder::settings settings;
    settings.listen = read_address(parsed["listen"].as<std::string>());
    settings.target = read_address(parsed["target"].as<std::string>());
    if (parsed.count("control") != 0)
    {
        settings.control = read_address(parsed["control"].as<std::string>());
    }
    settings.initial_faults = standins::merge_forwarder_faults({}, parsed["faults"].as<std::string>());
    return settings;
}

int serve(const std::string& name, const standins::forwarder::settings& settings)
{
    net::event_loop loop{net::event_loop::options{.max_descriptors = descriptor_limit}};
    const standins::forwarder forwarder{loop, settings};
    const net::signal_watch signals{loop,
                                    {SIGINT, SIGTERM},
                                    [&loop](int)
                                    {
                                        loop.stop();
                                    }};
    std::cout << "listening " << name << ' ' << core::to_string(forwarder.address()) << std::endl;
    if (const auto control = forwarder.control_address())
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
    standins::forwarder::settings settings;
    std::string name;
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
            std::cout << "poplar-forwarder " << POPLARPORT_VERSION << '\n';
            return EX_OK;
        }
        name = parsed["name"].as<std::string>();
        settings = read_settings(parsed);
    }
    catch (const std::exception& fault)
    {
        std::cerr << "poplar-forwarder: " << fault.what() << '\n';
        return EX_USAGE;
    }
    try
    {
        return serve(name, settings);
    }
    catch (const std::exception& fault)
    {
        std::cerr << "poplar-forwarder: " << fault.what() << '\n';
        return EX_UNAVAILABLE;
    }
}
