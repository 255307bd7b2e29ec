#include "measure.hpp"

#include <cstddef> // size_t
#include <cstdio>  // printf
#include <cstdlib> // strtod
#include <fstream> // ifstream
#include <sstream> // istringstream

#include <sys/utsname.h>
#include <unistd.h>

namespace poplarport::bench
{

namespace
{

constexpr double kb_per_gb = 1024.0 * 1024.0;

double read_number(const std::string& file, const std::string& key)
{
    std::ifstream input{file};
    for (std::string line; std::getline(input, line);)
    {
        if (line.rfind(key, 0) == 0)
        {
            return std::strtod(line.c_str() + key.size(), nullptr);
        }
    }
    return 0.0;
}

} // namespace

line_fit fit(const std::vector<std::pair<double, double>>& points)
{
    const auto count = static_cast<double>(points.size());
    double mean_x = 0.0;
    double mean_y = 0.0;
    for (const auto& [x, y] : points)
    {
        mean_x += x / count;
        mean_y += y / count;
    }
    double sum_xx = 0.0;
    double sum_xy = 0.0;
    double sum_yy = 0.0;
    for (const auto& [x, y] : points)
    {
        sum_xx += (x - mean_x) * (x - mean_x);
        sum_xy += (x - mean_x) * (y - mean_y);
        sum_yy += (y - mean_y) * (y - mean_y);
    }
    line_fit result;
    result.slope = sum_xx > 0.0 ? sum_xy / sum_xx : 0.0;
    result.intercept = mean_y - result.slope * mean_x;
    result.r_squared = sum_xx > 0.0 && sum_yy > 0.0 ? sum_xy * sum_xy / (sum_xx * sum_yy) : 0.0;
    return result;
}

double resident_kb(pid_t process)
{
    return read_number("/proc/" + std::to_string(process) + "/status", "VmRSS:");
}

double processor_seconds(pid_t process)
{
    std::ifstream input{"/proc/" + std::to_string(process) + "/stat"};
    std::string text;
    std::getline(input, text);
    const auto name_end = text.rfind(')');
    if (name_end == std::string::npos)
    {
        return 0.0;
    }
    std::istringstream fields{text.substr(name_end + 1)};
    // utime and stime are the 12th and 13th fields after the name.
    constexpr int fields_before = 11;
    std::string skipped;
    for (int index = 0; index < fields_before; ++index)
    {
        fields >> skipped;
    }
    double user = 0.0;
    double system = 0.0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

double load_average()
{
    std::ifstream input{"/proc/loadavg"};
    double average = 0.0;
    input >> average;
    return average;
}

void print_machine()
{
    utsname system{};
    ::uname(&system);
    std::printf("machine: %ld cores, %.0f GB, %s %s, load average %.2f\n", ::sysconf(_SC_NPROCESSORS_ONLN),
                read_number("/proc/meminfo", "MemTotal:") / kb_per_gb, system.sysname, system.release, load_average());
}

void print_fit(const std::string& name, const std::string& unit, const std::vector<std::pair<double, double>>& points)
{
    const auto line = fit(points);
    std::printf("  %s: %.3f + %.4f x %s, R2 %.3f; points", name.c_str(), line.intercept, line.slope, unit.c_str(),
                line.r_squared);
    for (const auto& [x, y] : points)
    {
        std::printf(" %g:%.3f", x, y);
    }
    std::printf("\n");
    std::fflush(stdout);
}

double metric(const std::string& text, const std::string& name)
{
    std::istringstream lines{text};
    for (std::string line; std::getline(lines, line);)
    {
        if (line.rfind(name + " ", 0) == 0)
        {
            return std::strtod(line.c_str() + name.size(), nullptr);
        }
    }
    return 0.0;
}

} // namespace poplarport::bench
