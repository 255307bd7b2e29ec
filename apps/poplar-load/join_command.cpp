#include <fstream>  // ifstream
#include <iostream> // cerr, cout
#include <string>   // string
#include <vector>   // vector

#include <cxxopts.hpp>
#include <sysexits.h>

#include "commands.hpp"
#include "poplarport/load/join.hpp"

namespace poplarport::load
{

namespace
{

struct join_request
{
    std::vector<std::string> load_files{};
    std::vector<std::string> upstream_files{};
    bool explain{false};
};

// Repeats the option before each of its arguments: a shell expands a pattern to several arguments, of which cxxopts
// assigns only the first to the option.
std::vector<std::string> expand_list_options(int argc, char** argv)
{
    std::vector<std::string> result;
    std::string option;
    for (int index = 0; index < argc; ++index)
    {
        const std::string argument = argv[index];
        if (argument == "--load" || argument == "--upstream")
        {
            option = argument;
        }
        else if (argument.starts_with("--") || option.empty())
        {
            option.clear();
            result.push_back(argument);
        }
        else
        {
            result.push_back(option);
            result.back().append("=").append(argument);
        }
    }
    return result;
}

cxxopts::Options make_options()
{
    cxxopts::Options options{"poplar-load join",
                             "Joins ledgers and prints the summary; exit code 0 if there is no fault"};
    auto add = options.add_options();
    add("load", "ledgers of load tools", cxxopts::value<std::vector<std::string>>(), "FILE...");
    add("upstream", "ledgers of upstreams", cxxopts::value<std::vector<std::string>>(), "FILE...");
    add("explain", "print the keys of faulty calls with their ledger lines");
    add("help", "print this help");
    return options;
}

template <typename Add>
void read_files(const std::vector<std::string>& files, const Add& add)
{
    for (const auto& file : files)
    {
        std::ifstream input{file};
        if (!input)
        {
            throw std::invalid_argument("cannot read " + file);
        }
        add(input, file);
    }
}

void print_keys(const ledger_join& joined, const char* fault, const std::vector<std::string>& keys)
{
    for (const auto& key : keys)
    {
        std::cout << fault << ' ' << key << '\n';
        joined.explain(key, std::cout);
    }
}

int join(const join_request& request)
{
    ledger_join joined;
    try
    {
        read_files(request.load_files,
                   [&joined](std::istream& input, const std::string& file) { joined.add_load(input, file); });
        read_files(request.upstream_files,
                   [&joined](std::istream& input, const std::string& file) { joined.add_upstream(input, file); });
    }
    catch (const std::invalid_argument& fault)
    {
        std::cerr << "poplar-load: " << fault.what() << '\n';
        return EX_DATAERR;
    }
    const auto result = joined.summary();
    std::cout << to_line(result) << '\n';
    if (request.explain)
    {
        print_keys(joined, "lost", result.lost);
        print_keys(joined, "doubled", result.doubled);
        print_keys(joined, "crossed", result.crossed);
        print_keys(joined, "false_not_run", result.false_not_run);
    }
    return result.is_clean() ? EX_OK : 1;
}

} // namespace

int join_command(int argc, char** argv)
{
    auto options = make_options();
    join_request request;
    try
    {
        const auto arguments = expand_list_options(argc, argv);
        std::vector<const char*> pointers;
        pointers.reserve(arguments.size());
        for (const auto& argument : arguments)
        {
            pointers.push_back(argument.c_str());
        }
        const auto parsed = options.parse(static_cast<int>(pointers.size()), pointers.data());
        if (parsed.count("help") != 0)
        {
            std::cout << options.help();
            return EX_OK;
        }
        if (parsed.count("load") == 0 || !parsed.unmatched().empty())
        {
            throw std::invalid_argument("--load FILE... and --upstream FILE... are expected");
        }
        request.load_files = parsed["load"].as<std::vector<std::string>>();
        if (parsed.count("upstream") != 0)
        {
            request.upstream_files = parsed["upstream"].as<std::vector<std::string>>();
        }
        request.explain = parsed.count("explain") != 0;
    }
    catch (const std::exception& fault)
    {
        std::cerr << "poplar-load: " << fault.what() << '\n';
        return EX_USAGE;
    }
    return join(request);
}

} // namespace poplarport::load
