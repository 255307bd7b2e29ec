#include <algorithm> // max
#include <cmath>     // ceil, floor, log10, pow
#include <iomanip>   // fixed, setprecision
#include <sstream>   // ostringstream

#include "poplarport/load/percentiles.hpp"
#include "poplarport/load/report.hpp"

namespace poplarport::load
{

namespace
{

using fractional_milliseconds = std::chrono::duration<double, std::milli>;

constexpr double panel_width = 720.0;
constexpr double panel_height = 240.0;
constexpr double margin_left = 70.0;
constexpr double margin_top = 50.0;
constexpr double panel_gap = 90.0;
constexpr double margin_right = 30.0;

double to_ms(std::chrono::microseconds duration)
{
    return fractional_milliseconds{duration}.count();
}

struct point
{
    double x;
    double y;
};

// Logarithmic latency axis of both panels, from the decade below the minimum to the decade above the maximum.
class latency_axis
{
  public:
    explicit latency_axis(const std::vector<double>& values_ms)
    {
        constexpr double min_latency_ms = 0.01;
        double lowest_ms = 1e9;
        double highest_ms = min_latency_ms;
        for (const double value : values_ms)
        {
            lowest_ms = std::min(lowest_ms, std::max(value, min_latency_ms));
            highest_ms = std::max(highest_ms, value);
        }
        this->low_exponent = std::floor(std::log10(std::min(lowest_ms, highest_ms)));
        this->high_exponent = std::max(std::ceil(std::log10(highest_ms)), this->low_exponent + 1.0);
    }

    [[nodiscard]] double position(double value_ms) const
    {
        const double exponent = std::log10(std::max(value_ms, std::pow(10.0, this->low_exponent)));
        return panel_height * (1.0 - (exponent - this->low_exponent) / (this->high_exponent - this->low_exponent));
    }

    void draw(std::ostringstream& svg) const
    {
        for (double exponent = this->low_exponent; exponent <= this->high_exponent; exponent += 1.0)
        {
            const double value = std::pow(10.0, exponent);
            const double y = this->position(value);
            svg << "<line class='grid' x1='0' y1='" << y << "' x2='" << panel_width << "' y2='" << y << "'/>"
                << "<text class='left' x='-8' y='" << y + 4.0 << "'>" << std::defaultfloat << value << std::fixed
                << " ms</text>\n";
        }
    }

  private:
    double low_exponent{0.0};
    double high_exponent{1.0};
};

void draw_line(std::ostringstream& svg, const char* style, const std::vector<point>& points)
{
    svg << "<polyline class='" << style << "' points='";
    for (const auto& vertex : points)
    {
        svg << vertex.x << ',' << vertex.y << ' ';
    }
    svg << "'/>\n";
}

void draw_percentiles(std::ostringstream& svg, const report& run_report, const latency_axis& axis)
{
    // The horizontal axis shows the number of nines: 0, 90, 99, 99.9 and 99.99 per cent.
    constexpr double nines = 4.0;
    constexpr int steps = 200;
    std::vector<point> points;
    for (int step = 0; step <= steps; ++step)
    {
        const double nine_count = nines * step / steps;
        const double fraction = 1.0 - std::pow(10.0, -nine_count);
        const double latency = to_ms(percentile(run_report.total.latencies, fraction));
        points.push_back({panel_width * nine_count / nines, axis.position(latency)});
    }
    const char* const labels[]{"0 %", "90 %", "99 %", "99.9 %", "99.99 %"};
    for (int index = 0; index <= static_cast<int>(nines); ++index)
    {
        svg << "<text class='below' x='" << panel_width * index / nines << "' y='" << panel_height + 20.0 << "'>"
            << labels[index] << "</text>\n";
    }
    draw_line(svg, "p99", points);
}

void draw_time_line(std::ostringstream& svg, const report& run_report, const latency_axis& axis)
{
    const double last =
        run_report.seconds.empty() ? 1.0 : std::max(static_cast<double>(run_report.seconds.back().second), 1.0);
    std::vector<point> medians;
    std::vector<point> tails;
    for (const auto& entry : run_report.seconds)
    {
        if (entry.answered == 0)
        {
            continue;
        }
        const double x = panel_width * static_cast<double>(entry.second) / last;
        medians.push_back({x, axis.position(to_ms(entry.p50))});
        tails.push_back({x, axis.position(to_ms(entry.p99))});
    }
    draw_line(svg, "p50", medians);
    draw_line(svg, "p99", tails);
    svg << "<text class='below' x='0' y='" << panel_height + 20.0 << "'>0 s</text>\n"
        << "<text class='below' x='" << panel_width << "' y='" << panel_height + 20.0 << "'>" << last << " s</text>\n"
        << "<text class='name50' x='" << panel_width - 90.0 << "' y='-8'>p50</text>\n"
        << "<text class='name99' x='" << panel_width - 40.0 << "' y='-8'>p99</text>\n";
}

void begin_panel(std::ostringstream& svg, double top, const char* title, const latency_axis& axis)
{
    svg << "<g transform='translate(" << margin_left << ',' << top << ")'>\n"
        << "<text x='0' y='-8'>" << title << "</text>\n";
    axis.draw(svg);
}

// Strings from the settings may contain characters that are special in XML.
std::string escape(const std::string& text)
{
    std::string result;
    for (const char character : text)
    {
        switch (character)
        {
        case '&':
            result += "&amp;";
            break;
        case '<':
            result += "&lt;";
            break;
        case '>':
            result += "&gt;";
            break;
        default:
            result += character;
        }
    }
    return result;
}

} // namespace

std::string to_svg(const report& run_report)
{
    std::vector<double> shown_latencies_ms;
    for (const auto& entry : run_report.seconds)
    {
        shown_latencies_ms.push_back(to_ms(entry.p50));
    }
    constexpr double max_fraction = 0.9999;
    shown_latencies_ms.push_back(to_ms(percentile(run_report.total.latencies, 0.0)));
    shown_latencies_ms.push_back(to_ms(percentile(run_report.total.latencies, max_fraction)));
    shown_latencies_ms.push_back(run_report.total.latencies.empty() ? 0.0 : to_ms(run_report.total.latencies.back()));
    const latency_axis axis{shown_latencies_ms};
    const double width = margin_left + panel_width + margin_right;
    const double height = margin_top + 2.0 * panel_height + panel_gap + 40.0;
    std::ostringstream svg;
    svg << std::fixed << std::setprecision(1);
    svg << "<svg xmlns='http://www.w3.org/2000/svg' width='" << width << "' height='" << height << "'>\n"
        << "<style>text{font:12px sans-serif}.left{text-anchor:end}.below{text-anchor:middle}"
           ".grid{stroke:#ddd}polyline{fill:none;stroke-width:1.5}.p50{stroke:#26734d}.p99{stroke:#b3261e}"
           ".name50{fill:#26734d}.name99{fill:#b3261e}</style>\n"
        << "<rect width='100%' height='100%' fill='white'/>\n"
        << "<text x='" << margin_left << "' y='18'>" << escape(run_report.name) << ": " << run_report.total.calls()
        << " calls, " << run_report.total.answered << " answered</text>\n";
    begin_panel(svg, margin_top, "latency by percentile", axis);
    draw_percentiles(svg, run_report, axis);
    svg << "</g>\n";
    begin_panel(svg, margin_top + panel_height + panel_gap, "latency by scheduled second", axis);
    draw_time_line(svg, run_report, axis);
    svg << "</g>\n</svg>\n";
    return svg.str();
}

} // namespace poplarport::load
