#include "run_options.hpp"

#include <fstream>   // ifstream
#include <sstream>   // istringstream, ostringstream
#include <stdexcept> // invalid_argument
#include <vector>    // vector

#include <unistd.h>

namespace poplarport::load
{

namespace
{

using texts = std::vector<std::string>;

// Splits at spaces, so that a call is one argument: "POST /confirmations".
texts split(const std::string& text)
{
    std::istringstream input{text};
    texts words;
    for (std::string word; input >> word;)
    {
        words.push_back(word);
    }
    return words;
}

double to_number(const std::string& text, const std::string& option)
{
    std::size_t used = 0;
    double value = 0.0;
    try
    {
        value = std::stod(text, &used);
    }
    catch (const std::exception&)
    {
        used = std::string::npos;
    }
    if (used != text.size())
    {
        throw std::invalid_argument("--" + option + ": not a number: " + text);
    }
    return value;
}

call_kind read_kind(const std::string& text, bool repeatable, const std::string& option)
{
    constexpr std::size_t with_weight = 3;
    const auto words = split(text);
    if (words.size() < 2 || words.size() > with_weight)
    {
        throw std::invalid_argument("--" + option + ": expected \"METHOD /PATH [WEIGHT]\", found: " + text);
    }
    call_kind kind{.method = words[0], .path = words[1], .repeatable = repeatable};
    kind.weight = words.size() == with_weight ? to_number(words[2], option) : 1.0;
    return kind;
}

size_range read_sizes(const std::string& text, const std::string& option)
{
    const auto colon = text.find(':');
    const double least = to_number(text.substr(0, colon), option);
    const double most = colon == std::string::npos ? least : to_number(text.substr(colon + 1), option);
    if (least < 0.0 || most < least)
    {
        throw std::invalid_argument("--" + option + ": expected LEAST:MOST, found: " + text);
    }
    return {static_cast<std::size_t>(least), static_cast<std::size_t>(most)};
}

tenant read_tenant(const std::string& text)
{
    const auto words = split(text);
    const auto dot = words.empty() ? std::string::npos : words[0].find('.');
    if (words.empty() || words.size() > 2 || dot == std::string::npos || dot == 0)
    {
        // The text may hold a secret and is not repeated.
        throw std::invalid_argument("--tenant: expected \"TENANT.SECRET [WEIGHT]\"");
    }
    const double weight = words.size() == 2 ? to_number(words[1], "tenant") : 1.0;
    return {words[0].substr(0, dot), words[0].substr(dot + 1), weight};
}

std::vector<phase> read_steps(const texts& steps)
{
    std::vector<phase> phases;
    for (const auto& step : steps)
    {
        const auto colon = step.find(':');
        if (colon == std::string::npos)
        {
            throw std::invalid_argument("--steps: expected RATE:SECONDS, found: " + step);
        }
        constexpr double ms_per_second = 1000.0;
        phase added{.name = "step-" + std::to_string(phases.size() + 1)};
        added.calls_per_second = to_number(step.substr(0, colon), "steps");
        added.length = std::chrono::milliseconds{
            static_cast<std::int64_t>(to_number(step.substr(colon + 1), "steps") * ms_per_second)};
        phases.push_back(added);
    }
    return phases;
}

std::string read_file(const std::string& file)
{
    std::ifstream input{file};
    if (!input)
    {
        throw std::invalid_argument("cannot read " + file);
    }
    std::ostringstream text;
    text << input.rdbuf();
    return text.str();
}

plan default_plan()
{
    plan values;
    const auto start = std::chrono::system_clock::now().time_since_epoch();
    const auto start_ms = std::chrono::duration_cast<std::chrono::milliseconds>(start).count();
    values.name = "load-" + std::to_string(start_ms) + "-" + std::to_string(::getpid());
    values.tenants = {tenant{.name = "anonymous"}};
    values.calls = {call_kind{}};
    values.phases = {phase{}};
    return values;
}

void apply_calls(const cxxopts::ParseResult& parsed, plan& values)
{
    std::vector<call_kind> kinds;
    for (const auto* option : {"repeatable", "non-repeatable"})
    {
        const auto given = parsed.count(option) != 0 ? parsed[option].as<texts>() : texts{};
        for (const auto& text : given)
        {
            kinds.push_back(read_kind(text, std::string{option} == "repeatable", option));
        }
    }
    values.calls = kinds.empty() ? values.calls : kinds;
    for (auto& kind : values.calls)
    {
        const bool has_body = kind.method != "GET" && kind.method != "HEAD" && kind.method != "DELETE";
        if (parsed.count("request-bytes") != 0 && has_body)
        {
            kind.request_bytes = read_sizes(parsed["request-bytes"].as<std::string>(), "request-bytes");
        }
        if (parsed.count("answer-bytes") != 0)
        {
            kind.response_bytes = read_sizes(parsed["answer-bytes"].as<std::string>(), "answer-bytes");
        }
    }
}

void apply_phases(const cxxopts::ParseResult& parsed, plan& values)
{
    if (parsed.count("steps") != 0)
    {
        values.phases = read_steps(parsed["steps"].as<texts>());
    }
    for (auto& item : values.phases)
    {
        constexpr double ms_per_second = 1000.0;
        if (parsed.count("rate") != 0)
        {
            item.calls_per_second = parsed["rate"].as<double>();
        }
        if (parsed.count("seconds") != 0)
        {
            item.length =
                std::chrono::milliseconds{static_cast<std::int64_t>(parsed["seconds"].as<double>() * ms_per_second)};
        }
        if (parsed.count("arrivals") != 0)
        {
            const auto arrivals = arrival_process_from_string(parsed["arrivals"].as<std::string>());
            if (!arrivals)
            {
                throw std::invalid_argument("--arrivals allows constant and poisson");
            }
            item.arrivals = *arrivals;
        }
    }
}

void apply_targets(const cxxopts::ParseResult& parsed, plan& values)
{
    if (parsed.count("target") != 0)
    {
        values.targets.clear();
        for (const auto& text : parsed["target"].as<texts>())
        {
            const auto address = core::parse_socket_address(text);
            if (!address)
            {
                throw std::invalid_argument("--target: not an IP number with a port: " + text);
            }
            values.targets.push_back(*address);
        }
    }
    if (parsed.count("target-choice") != 0)
    {
        const auto choice = target_choice_from_string(parsed["target-choice"].as<std::string>());
        if (!choice)
        {
            throw std::invalid_argument("--target-choice allows round_robin and by_key");
        }
        values.choice = *choice;
    }
}

void apply_rest(const cxxopts::ParseResult& parsed, plan& values)
{
    if (parsed.count("name") != 0)
    {
        values.name = parsed["name"].as<std::string>();
    }
    if (parsed.count("seed") != 0)
    {
        values.seed = parsed["seed"].as<std::uint64_t>();
    }
    if (parsed.count("service") != 0)
    {
        values.service = parsed["service"].as<std::string>();
    }
    if (parsed.count("tenant") != 0)
    {
        values.tenants.clear();
        for (const auto& text : parsed["tenant"].as<texts>())
        {
            values.tenants.push_back(read_tenant(text));
        }
    }
    if (parsed.count("deadline-ms") != 0)
    {
        values.deadline = std::chrono::milliseconds{parsed["deadline-ms"].as<std::int64_t>()};
    }
    if (parsed.count("timeout-ms") != 0)
    {
        values.timeout = std::chrono::milliseconds{parsed["timeout-ms"].as<std::int64_t>()};
    }
    if (parsed.count("connections") != 0)
    {
        values.connections = parsed["connections"].as<std::size_t>();
    }
}

std::filesystem::path path_option(const cxxopts::ParseResult& parsed, const std::string& name)
{
    return parsed.count(name) != 0 ? parsed[name].as<std::string>() : std::string{};
}

} // namespace

cxxopts::Options make_run_options()
{
    cxxopts::Options options{"poplar-load", "Open-loop load generation. `poplar-load join --help` joins ledgers."};
    auto add = options.add_options();
    add("settings", "TOML file of the experiment; the options below replace its values", cxxopts::value<std::string>(),
        "FILE");
    add("check-settings", "check the settings and stop");
    add("target", "address to call; several share the calls", cxxopts::value<texts>(), "HOST:PORT");
    add("target-choice", "round_robin or by_key", cxxopts::value<std::string>());
    add("service", "name sent as Host and Poplar-Service", cxxopts::value<std::string>());
    add("tenant", "tenant with its secret; several share the calls by weight", cxxopts::value<texts>(),
        "\"TENANT.SECRET [WEIGHT]\"");
    add("repeatable", "a kind of repeatable calls; the call's number is appended to the path", cxxopts::value<texts>(),
        "\"METHOD /PATH [WEIGHT]\"");
    add("non-repeatable", "a kind of calls that may run once only", cxxopts::value<texts>(),
        "\"METHOD /PATH [WEIGHT]\"");
    add("request-bytes", "size of request bodies, for methods that have one", cxxopts::value<std::string>(),
        "LEAST:MOST");
    add("answer-bytes", "size of answers", cxxopts::value<std::string>(), "LEAST:MOST");
    add("rate", "calls per second", cxxopts::value<double>());
    add("seconds", "length of the run, or of each phase", cxxopts::value<double>());
    add("steps", "phases in their order", cxxopts::value<texts>(), "RATE:SECONDS,...");
    add("arrivals", "constant or poisson", cxxopts::value<std::string>());
    add("seed", "seed of arrivals, choices and bodies", cxxopts::value<std::uint64_t>());
    add("deadline-ms", "deadline of each call from its scheduled time", cxxopts::value<std::int64_t>());
    add("timeout-ms", "time from the scheduled time after which a call is given up", cxxopts::value<std::int64_t>());
    add("connections", "most connections to each target", cxxopts::value<std::size_t>());
    add("name", "beginning of the keys, different for each run", cxxopts::value<std::string>());
    add("ledger", "file to append the ledger to", cxxopts::value<std::string>(), "FILE");
    add("report-json", "file for the report in JSON", cxxopts::value<std::string>(), "FILE");
    add("report-svg", "file for the plot", cxxopts::value<std::string>(), "FILE");
    add("help", "print this help");
    add("version", "print the version");
    return options;
}

run_request read_run_request(const cxxopts::ParseResult& parsed)
{
    if (!parsed.unmatched().empty())
    {
        throw std::invalid_argument("unexpected argument: " + parsed.unmatched().front());
    }
    run_request request;
    request.values = default_plan();
    if (parsed.count("settings") != 0)
    {
        const auto file = parsed["settings"].as<std::string>();
        const auto text = read_file(file);
        try
        {
            request.values = read_plan(text, file, request.values);
        }
        catch (const std::invalid_argument& fault)
        {
            throw settings_fault(fault.what());
        }
    }
    apply_targets(parsed, request.values);
    apply_calls(parsed, request.values);
    apply_phases(parsed, request.values);
    apply_rest(parsed, request.values);
    request.ledger = path_option(parsed, "ledger");
    request.json_report = path_option(parsed, "report-json");
    request.svg_report = path_option(parsed, "report-svg");
    request.check_settings = parsed.count("check-settings") != 0;
    return request;
}

} // namespace poplarport::load
