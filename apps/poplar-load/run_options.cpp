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

using string_list = std::vector<std::string>;

// Splits at spaces; a kind of call is one argument, such as "POST /confirmations".
string_list split(const std::string& text)
{
    std::istringstream input{text};
    string_list words;
    for (std::string word; input >> word;)
    {
        words.push_back(word);
    }
    return words;
}

double to_number(const std::string& text, const std::string& option)
{
    std::size_t parsed_length = 0;
    double value = 0.0;
    try
    {
        value = std::stod(text, &parsed_length);
    }
    catch (const std::exception&)
    {
        parsed_length = std::string::npos;
    }
    if (parsed_length != text.size())
    {
        throw std::invalid_argument("--" + option + ": not a number: " + text);
    }
    return value;
}

call_kind read_kind(const std::string& text, bool repeatable, const std::string& option)
{
    constexpr std::size_t max_words = 3;
    const auto words = split(text);
    if (words.size() < 2 || words.size() > max_words)
    {
        throw std::invalid_argument("--" + option + ": expected \"METHOD /PATH [WEIGHT]\", found: " + text);
    }
    call_kind kind{.method = words[0], .path = words[1], .repeatable = repeatable};
    kind.weight = words.size() == max_words ? to_number(words[2], option) : 1.0;
    return kind;
}

size_range read_sizes(const std::string& text, const std::string& option)
{
    const auto colon = text.find(':');
    const double min_bytes = to_number(text.substr(0, colon), option);
    const double max_bytes = colon == std::string::npos ? min_bytes : to_number(text.substr(colon + 1), option);
    if (min_bytes < 0.0 || max_bytes < min_bytes)
    {
        throw std::invalid_argument("--" + option + ": expected MIN:MAX, found: " + text);
    }
    return {static_cast<std::size_t>(min_bytes), static_cast<std::size_t>(max_bytes)};
}

tenant read_tenant(const std::string& text)
{
    const auto words = split(text);
    const auto dot = words.empty() ? std::string::npos : words[0].find('.');
    if (words.empty() || words.size() > 2 || dot == std::string::npos || dot == 0)
    {
        // The argument may contain a secret, so the message does not quote it.
        throw std::invalid_argument("--tenant: expected \"TENANT.SECRET [WEIGHT]\"");
    }
    const double weight = words.size() == 2 ? to_number(words[1], "tenant") : 1.0;
    return {words[0].substr(0, dot), words[0].substr(dot + 1), weight};
}

std::vector<phase> read_steps(const string_list& steps)
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
        phase next_phase{.name = "step-" + std::to_string(phases.size() + 1)};
        next_phase.calls_per_second = to_number(step.substr(0, colon), "steps");
        next_phase.length = std::chrono::milliseconds{
            static_cast<std::int64_t>(to_number(step.substr(colon + 1), "steps") * ms_per_second)};
        phases.push_back(next_phase);
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

plan make_default_plan()
{
    plan run_plan;
    const auto start = std::chrono::system_clock::now().time_since_epoch();
    const auto start_ms = std::chrono::duration_cast<std::chrono::milliseconds>(start).count();
    run_plan.name = "load-" + std::to_string(start_ms) + "-" + std::to_string(::getpid());
    run_plan.tenants = {tenant{.name = "anonymous"}};
    run_plan.calls = {call_kind{}};
    run_plan.phases = {phase{}};
    return run_plan;
}

void apply_calls(const cxxopts::ParseResult& parsed, plan& run_plan)
{
    std::vector<call_kind> kinds;
    for (const auto* option : {"repeatable", "non-repeatable"})
    {
        const auto arguments = parsed.count(option) != 0 ? parsed[option].as<string_list>() : string_list{};
        for (const auto& text : arguments)
        {
            kinds.push_back(read_kind(text, std::string{option} == "repeatable", option));
        }
    }
    run_plan.calls = kinds.empty() ? run_plan.calls : kinds;
    for (auto& kind : run_plan.calls)
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

void apply_phases(const cxxopts::ParseResult& parsed, plan& run_plan)
{
    if (parsed.count("steps") != 0)
    {
        run_plan.phases = read_steps(parsed["steps"].as<string_list>());
    }
    for (auto& changed_phase : run_plan.phases)
    {
        constexpr double ms_per_second = 1000.0;
        if (parsed.count("rate") != 0)
        {
            changed_phase.calls_per_second = parsed["rate"].as<double>();
        }
        if (parsed.count("seconds") != 0)
        {
            changed_phase.length =
                std::chrono::milliseconds{static_cast<std::int64_t>(parsed["seconds"].as<double>() * ms_per_second)};
        }
        if (parsed.count("arrivals") != 0)
        {
            const auto arrivals = arrival_process_from_string(parsed["arrivals"].as<std::string>());
            if (!arrivals)
            {
                throw std::invalid_argument("--arrivals allows constant and poisson");
            }
            changed_phase.arrivals = *arrivals;
        }
    }
}

void apply_targets(const cxxopts::ParseResult& parsed, plan& run_plan)
{
    if (parsed.count("target") != 0)
    {
        run_plan.targets.clear();
        for (const auto& text : parsed["target"].as<string_list>())
        {
            const auto address = core::parse_socket_address(text);
            if (!address)
            {
                throw std::invalid_argument("--target: not an IP address with a port: " + text);
            }
            run_plan.targets.push_back(*address);
        }
    }
    if (parsed.count("target-choice") != 0)
    {
        const auto choice = target_choice_from_string(parsed["target-choice"].as<std::string>());
        if (!choice)
        {
            throw std::invalid_argument("--target-choice allows round_robin and by_key");
        }
        run_plan.choice = *choice;
    }
}

void apply_remaining_options(const cxxopts::ParseResult& parsed, plan& run_plan)
{
    if (parsed.count("name") != 0)
    {
        run_plan.name = parsed["name"].as<std::string>();
    }
    if (parsed.count("seed") != 0)
    {
        run_plan.seed = parsed["seed"].as<std::uint64_t>();
    }
    if (parsed.count("service") != 0)
    {
        run_plan.service = parsed["service"].as<std::string>();
    }
    if (parsed.count("tenant") != 0)
    {
        run_plan.tenants.clear();
        for (const auto& text : parsed["tenant"].as<string_list>())
        {
            run_plan.tenants.push_back(read_tenant(text));
        }
    }
    if (parsed.count("deadline-ms") != 0)
    {
        run_plan.deadline = std::chrono::milliseconds{parsed["deadline-ms"].as<std::int64_t>()};
    }
    if (parsed.count("timeout-ms") != 0)
    {
        run_plan.timeout = std::chrono::milliseconds{parsed["timeout-ms"].as<std::int64_t>()};
    }
    if (parsed.count("connections") != 0)
    {
        run_plan.connections = parsed["connections"].as<std::size_t>();
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
    add("settings", "TOML file of the run; the options below override its values", cxxopts::value<std::string>(),
        "FILE");
    add("check-settings", "check the settings and exit");
    add("target", "address to call; several targets share the calls", cxxopts::value<string_list>(), "HOST:PORT");
    add("target-choice", "round_robin or by_key", cxxopts::value<std::string>());
    add("service", "name sent as Host and Poplar-Service", cxxopts::value<std::string>());
    add("tenant", "tenant with its secret; several tenants share the calls by weight", cxxopts::value<string_list>(),
        "\"TENANT.SECRET [WEIGHT]\"");
    add("repeatable", "a kind of repeatable calls; the call's number is appended to the path",
        cxxopts::value<string_list>(), "\"METHOD /PATH [WEIGHT]\"");
    add("non-repeatable", "a kind of calls that must not run more than once", cxxopts::value<string_list>(),
        "\"METHOD /PATH [WEIGHT]\"");
    add("request-bytes", "size of request bodies, for methods that have one", cxxopts::value<std::string>(), "MIN:MAX");
    add("answer-bytes", "size of response bodies", cxxopts::value<std::string>(), "MIN:MAX");
    add("rate", "calls per second", cxxopts::value<double>());
    add("seconds", "length of the run, or of each phase", cxxopts::value<double>());
    add("steps", "phases in order of time", cxxopts::value<string_list>(), "RATE:SECONDS,...");
    add("arrivals", "constant or poisson", cxxopts::value<std::string>());
    add("seed", "seed of arrivals, random selections and bodies", cxxopts::value<std::uint64_t>());
    add("deadline-ms", "deadline of each call from its scheduled time", cxxopts::value<std::int64_t>());
    add("timeout-ms", "time from the scheduled time after which a call is abandoned", cxxopts::value<std::int64_t>());
    add("connections", "maximum number of connections to each target", cxxopts::value<std::size_t>());
    add("name", "prefix of the keys, different for each run", cxxopts::value<std::string>());
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
    request.run_plan = make_default_plan();
    if (parsed.count("settings") != 0)
    {
        const auto file = parsed["settings"].as<std::string>();
        const auto text = read_file(file);
        try
        {
            request.run_plan = read_plan(text, file, request.run_plan);
        }
        catch (const std::invalid_argument& fault)
        {
            throw settings_fault(fault.what());
        }
    }
    apply_targets(parsed, request.run_plan);
    apply_calls(parsed, request.run_plan);
    apply_phases(parsed, request.run_plan);
    apply_remaining_options(parsed, request.run_plan);
    request.ledger = path_option(parsed, "ledger");
    request.json_report = path_option(parsed, "report-json");
    request.svg_report = path_option(parsed, "report-svg");
    request.check_settings = parsed.count("check-settings") != 0;
    return request;
}

} // namespace poplarport::load
