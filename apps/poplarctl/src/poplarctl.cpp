#include "poplarctl.hpp"

#include <charconv> // from_chars
#include <ostream>  // ostream

#include "commands.hpp"
#include "poplarport/settings/program.hpp"

namespace poplarport::poplarctl
{
namespace
{

constexpr const char* commands_help =
    "check FILE | diff FILE | apply FILE | status | drain HOST:PORT | explain CODE | hash-secret";

void add_options(cxxopts::Options& parser)
{
    auto add = parser.add_options();
    add("platform", "address of the platform's object API", cxxopts::value<std::string>(), "HOST:PORT");
    add("node", "administration address of a node, for status", cxxopts::value<std::vector<std::string>>(),
        "HOST:PORT");
    add("output", "table, json or, for explain --all, markdown", cxxopts::value<std::string>()->default_value("table"),
        "FORM");
    add("change-id", "id of the change for apply; repeat an apply with the same id after a lost answer",
        cxxopts::value<std::string>(), "ID");
    add("based-on", "version of a service that the change is based on, for apply",
        cxxopts::value<std::vector<std::string>>(), "SERVICE=VERSION");
    add("timeout-s", "limit of the command", cxxopts::value<unsigned>()->default_value("30"), "SECONDS");
    add("all", "explain all result codes");
}

[[noreturn]] void throw_usage_error(const std::string& text)
{
    throw cxxopts::exceptions::parsing(text);
}

core::socket_address parse_address(const std::string& text)
{
    const auto address = core::parse_socket_address(text);
    if (!address.has_value())
    {
        throw_usage_error("'" + text + "' is not an IP number and a port");
    }
    return *address;
}

output_format parse_output_format(const std::string& text)
{
    if (text == "json")
    {
        return output_format::json;
    }
    if (text == "markdown")
    {
        return output_format::markdown;
    }
    if (text != "table")
    {
        throw_usage_error("--output must be table, json or markdown");
    }
    return output_format::table;
}

void parse_base_version(const std::string& text, command_options& options)
{
    const auto equals = text.find('=');
    core::version version = 0;
    const char* const end = text.data() + text.size();
    if (equals == std::string::npos || std::from_chars(text.data() + equals + 1, end, version).ptr != end)
    {
        throw_usage_error("--based-on must be SERVICE=VERSION");
    }
    options.based_on[text.substr(0, equals)] = version;
}

command_options parse_options(const cxxopts::ParseResult& parsed)
{
    command_options options;
    options.output = parse_output_format(parsed["output"].as<std::string>());
    options.timeout = std::chrono::seconds{parsed["timeout-s"].as<unsigned>()};
    options.explains_all_codes = parsed.count("all") > 0;
    if (parsed.count("platform") > 0)
    {
        options.platform = parse_address(parsed["platform"].as<std::string>());
    }
    if (parsed.count("change-id") > 0)
    {
        options.change_id = parsed["change-id"].as<std::string>();
    }
    if (parsed.count("node") > 0)
    {
        for (const std::string& text : parsed["node"].as<std::vector<std::string>>())
        {
            options.nodes.push_back(parse_address(text));
        }
    }
    if (parsed.count("based-on") > 0)
    {
        for (const std::string& text : parsed["based-on"].as<std::vector<std::string>>())
        {
            parse_base_version(text, options);
        }
    }
    return options;
}

exit_status run_command(const cxxopts::ParseResult& parsed, const streams& io)
{
    const command_options options = parse_options(parsed);
    std::vector<std::string> arguments;
    if (parsed.count("arguments") > 0)
    {
        arguments = parsed["arguments"].as<std::vector<std::string>>();
    }
    const std::string command = arguments.empty() ? std::string{} : arguments[0];
    const std::string argument = arguments.size() > 1 ? arguments[1] : std::string{};
    const bool needs_platform = command == "diff" || command == "apply" || command == "status";
    const bool needs_argument = command == "check" || command == "diff" || command == "apply" || command == "drain" ||
                                (command == "explain" && !options.explains_all_codes);
    if (arguments.size() > 2 || needs_argument == argument.empty())
    {
        throw_usage_error("expected " + std::string{commands_help});
    }
    if (needs_platform && !options.platform.has_value())
    {
        throw_usage_error(command + " needs --platform HOST:PORT");
    }
    if (command == "check")
    {
        return check(options, argument, io);
    }
    if (command == "diff")
    {
        return diff(options, argument, io);
    }
    if (command == "apply")
    {
        return apply(options, argument, io);
    }
    if (command == "status")
    {
        return show_status(options, io);
    }
    if (command == "drain")
    {
        static_cast<void>(parse_address(argument));
        return drain(options, argument, io);
    }
    if (command == "explain")
    {
        return explain(options, argument, io);
    }
    if (command == "hash-secret")
    {
        return hash_secret(options, io);
    }
    throw_usage_error("expected " + std::string{commands_help});
}

} // namespace

int run(int argc, const char* const* argv, const streams& io)
{
    const auto program = settings::program::builder{"poplarctl", "Checks and applies manifests and shows their state."}
                             .options(add_options)
                             .positional_arguments(commands_help)
                             .run([&io](const cxxopts::ParseResult& parsed) { return run_command(parsed, io); })
                             .build();
    return program.run(argc, argv, io.out, io.err);
}

} // namespace poplarport::poplarctl
