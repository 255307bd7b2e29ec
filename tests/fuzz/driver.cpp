// Runs a fuzz target on its seeds and on seeded random mutations of them, where libFuzzer is not available.
// Arguments as for libFuzzer: -seed=N -runs=N FOLDER.

#include "fuzz_target.hpp"

#include <algorithm>  // min, ranges::sort
#include <array>      // array
#include <cstdio>     // printf
#include <filesystem> // directory_iterator, path
#include <fstream>    // ifstream
#include <iterator>   // istreambuf_iterator
#include <random>     // mt19937_64
#include <string>     // string, stoull
#include <vector>     // vector

namespace
{

using engine = std::mt19937_64;

std::size_t below(engine& random, std::size_t bound)
{
    return bound == 0 ? 0 : random() % bound;
}

std::vector<std::string> read_seeds(const std::filesystem::path& folder)
{
    std::vector<std::filesystem::path> paths;
    for (const auto& entry : std::filesystem::directory_iterator{folder})
    {
        paths.push_back(entry.path());
    }
    // The order of a folder's entries is not fixed, and the run has to be repeatable.
    std::ranges::sort(paths);
    std::vector<std::string> seeds{""};
    for (const auto& path : paths)
    {
        std::ifstream file{path, std::ios::binary};
        seeds.emplace_back(std::istreambuf_iterator<char>{file}, std::istreambuf_iterator<char>{});
    }
    return seeds;
}

void mutate(std::string& text, const std::vector<std::string>& seeds, engine& random)
{
    constexpr std::array<char, 10> telling_bytes{'\0', '\x01', '\x7f', '\x80', '\xff', '\r', '\n', ':', ' ', '9'};
    constexpr std::size_t longest_bytes = 8192;
    const auto position = below(random, text.size() + 1);
    const auto length = 1 + below(random, 16);
    switch (below(random, 6))
    {
    case 0:
        text.insert(position, 1, telling_bytes[below(random, telling_bytes.size())]);
        break;
    case 1:
        text.erase(position, length);
        break;
    case 2:
        text.insert(position, text.substr(below(random, text.size() + 1), length));
        break;
    case 3:
    {
        const auto& other = seeds[below(random, seeds.size())];
        text.replace(position, std::string::npos,
                     other.substr(std::min(other.size(), below(random, other.size() + 1))));
        break;
    }
    default:
        if (position < text.size())
        {
            text[position] = static_cast<char>(random());
        }
        break;
    }
    text.resize(std::min(text.size(), longest_bytes));
}

void run(const std::string& input)
{
    LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(input.data()), input.size());
}

} // namespace

int main(int argc, char** argv)
{
    constexpr std::size_t most_mutations = 4;
    std::uint64_t seed = 1;
    std::uint64_t runs = 1000;
    std::filesystem::path folder;
    for (const auto& argument : std::vector<std::string>(argv + 1, argv + argc))
    {
        if (argument.starts_with("-seed="))
        {
            seed = std::stoull(argument.substr(argument.find('=') + 1));
        }
        else if (argument.starts_with("-runs="))
        {
            runs = std::stoull(argument.substr(argument.find('=') + 1));
        }
        else
        {
            folder = argument;
        }
    }
    const auto seeds = read_seeds(folder);
    for (const auto& input : seeds)
    {
        run(input);
    }
    engine random{seed};
    for (std::uint64_t count = 0; count < runs; ++count)
    {
        std::string input = seeds[below(random, seeds.size())];
        for (std::size_t step = 1 + below(random, most_mutations); step > 0; --step)
        {
            mutate(input, seeds, random);
        }
        run(input);
    }
    std::printf("%zu seeds and %llu mutations, seed %llu\n", seeds.size(), static_cast<unsigned long long>(runs),
                static_cast<unsigned long long>(seed));
    return 0;
}
