#pragma once

#include <string>  // string
#include <utility> // pair
#include <vector>  // vector

#include <sys/types.h>

namespace poplarport::bench
{

/// @brief A straight line through measured points.
struct line_fit
{
    double intercept{0.0};
    double slope{0.0};
    double r_squared{0.0};
};

/// @return the least-squares line through points (x, y)
[[nodiscard]] line_fit fit(const std::vector<std::pair<double, double>>& points);

/// @return VmRSS of a process in KB, from /proc/PID/status
[[nodiscard]] double resident_kb(pid_t process);

/// @return user and system time of a process in seconds, from /proc/PID/stat
[[nodiscard]] double processor_seconds(pid_t process);

/// @return the load average over one minute
[[nodiscard]] double load_average();

/// @brief Prints cores, memory, kernel and load average.
void print_machine();

/// @brief Prints a slope with its fit.
void print_fit(const std::string& name, const std::string& unit, const std::vector<std::pair<double, double>>& points);

/// @return the value of a metric without labels in the Prometheus text format; zero if there is none
[[nodiscard]] double metric(const std::string& text, const std::string& name);

} // namespace poplarport::bench
