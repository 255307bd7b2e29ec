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

void add_options(cxxopts::Options& declared)
{
    auto add = declared.add_options();
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

[[noreturn]] void refuse(const std::string& text)
{
    throw cxxopts::exceptions::parsing(text);
}

core::socket_address read_address(const std::string& text)
{
    const auto address = core::parse_socket_address(text);
    if (!address.has_value())
    {
        refuse("'" + text + "' is not an IP number and a port");
    }
    return *address;
}

output_form read_form(const std::string& text)
{
    if (text == "json")
    {
        return output_form::json;
    }
    if (text == "markdown")
    {
        return output_form::markdown;
    }
    if (text != "table")
    {
        refuse("--output must be table, json or markdown");
    }
    return output_form::table;
}

void read_base(const std::string& text, options& chosen)
{
    const auto equals = text.find('=');
    core::version version = 0;
    const char* const end = text.data() + text.size();
    if (equals == std::string::npos || std::from_chars(text.data() + equals + 1, end, version).ptr != end)
    {
        refuse("--based-on must be SERVICE=VERSION");
    }
    chosen.based_on[text.substr(0, equals)] = version;
}

options read_options(const cxxopts::ParseResult& parsed)
{
    options chosen;
    chosen.output = read_form(parsed["output"].as<std::string>());
    chosen.timeout = std::chrono::seconds{parsed["timeout-s"].as<unsigned>()};
    chosen.is_all = parsed.count("all") > 0;
    if (parsed.count("platform") > 0)
    {
        chosen.platform = read_address(parsed["platform"].as<std::string>());
    }
    if (parsed.count("change-id") > 0)
    {
        chosen.change_id = parsed["change-id"].as<std::string>();
    }
    if (parsed.count("node") > 0)
    {
        for (const std::string& text : parsed["node"].as<std::vector<std::string>>())
        {
            chosen.nodes.push_back(read_address(text));
        }
    }
    if (parsed.count("based-on") > 0)
    {
        for (const std::string& text : parsed["based-on"].as<std::vector<std::string>>())
        {
            read_base(text, chosen);
        }
    }
    return chosen;
}

exit_status run_command(const cxxopts::ParseResult& parsed, const streams& io)
{
    const options chosen = read_options(parsed);
    std::vector<std::string> words;
    if (parsed.count("arguments") > 0)
    {
        words = parsed["arguments"].as<std::vector<std::string>>();
    }
    const std::string command = words.empty() ? std::string{} : words[0];
    const std::string argument = words.size() > 1 ? words[1] : std::string{};
    const bool needs_platform = command == "diff" || command == "apply" || command == "status";
    const bool needs_argument = command == "check" || command == "diff" || command == "apply" || command == "drain" ||
                                (command == "explain" && !chosen.is_all);
    if (words.size() > 2 || needs_argument == argument.empty())
    {
        refuse("expected " + std::string{commands_help});
    }
    if (needs_platform && !chosen.platform.has_value())
    {
        refuse(command + " needs --platform HOST:PORT");
    }
    if (command == "check")
    {
        return check(chosen, argument, io);
    }
    if (command == "diff")
    {
        return diff(chosen, argument, io);
    }
    if (command == "apply")
    {
        return apply(chosen, argument, io);
    }
    if (command == "status")
    {
        return show_status(chosen, io);
    }
    if (command == "drain")
    {
        static_cast<void>(read_address(argument));
        return drain(chosen, argument, io);
    }
    if (command == "explain")
    {
        return explain(chosen, argument, io);
    }
    if (command == "hash-secret")
    {
        return hash_secret(chosen, io);
    }
    refuse("expected " + std::string{commands_help});
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
