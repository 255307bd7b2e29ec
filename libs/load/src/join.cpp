#include "poplarport/load/join.hpp"

#include <algorithm>  // count_if, any_of, sort
#include <functional> // function
#include <iomanip>    // fixed, setprecision
#include <istream>    // getline, istream
#include <ostream>    // ostream
#include <sstream>    // ostringstream
#include <stdexcept>  // invalid_argument

#include <nlohmann/json.hpp>

#include "poplarport/load/percentiles.hpp"

namespace poplarport::load
{

namespace
{

using nlohmann::json;

struct ledger_line
{
    json object;
    std::string text;
};

[[noreturn]] void reject_line(const std::string& name, std::size_t number, const std::string& fault)
{
    throw std::invalid_argument(name + ":" + std::to_string(number) + ": " + fault);
}

// Passes each line to `process_line`, which throws json::exception if a key is missing or has a wrong type.
void read_lines(std::istream& input, const std::string& name,
                const std::function<void(const ledger_line&)>& process_line)
{
    ledger_line line;
    for (std::size_t number = 1; std::getline(input, line.text); ++number)
    {
        const bool has_end = !input.eof();
        line.object = json::parse(line.text, nullptr, false);
        if (!line.object.is_object() && !has_end)
        {
            return;
        }
        if (!line.object.is_object())
        {
            reject_line(name, number, "not a JSON object");
        }
        try
        {
            process_line(line);
        }
        catch (const json::exception& fault)
        {
            reject_line(name, number, fault.what());
        }
        catch (const std::invalid_argument& fault)
        {
            reject_line(name, number, fault.what());
        }
    }
}

} // namespace

bool join_summary::is_clean() const noexcept
{
    return this->lost.empty() && this->doubled.empty() && this->crossed.empty() && this->false_not_run.empty();
}

void ledger_join::add_load(std::istream& input, const std::string& name)
{
    read_lines(input, name,
               [this](const ledger_line& line)
               {
                   auto& entry = this->calls[line.object.at("key").get<std::string>()];
                   entry.lines.push_back(line.text);
                   entry.repeatable = line.object.at("repeatable").get<bool>();
                   const auto event = line.object.at("event").get<std::string>();
                   if (event == "sent")
                   {
                       // The ledgers of the upstreams cannot distinguish two calls with one key.
                       if (entry.sent)
                       {
                           throw std::invalid_argument("the key was sent before; use different names for the runs");
                       }
                       entry.sent = true;
                       return;
                   }
                   const auto text = line.object.at("outcome").get<std::string>();
                   entry.outcome = call_outcome_from_string(text);
                   if (event != "outcome" || !entry.outcome)
                   {
                       throw std::invalid_argument("unknown event or outcome: " + event + ", " + text);
                   }
                   const auto& matched = line.object.at("body_matched");
                   entry.body_matched = matched.is_null() || matched.get<bool>();
                   entry.latency = std::chrono::microseconds{line.object.at("latency_us").get<std::int64_t>()};
               });
}

void ledger_join::add_upstream(std::istream& input, const std::string& name)
{
    read_lines(input, name,
               [this](const ledger_line& line)
               {
                   const auto event = line.object.at("event").get<std::string>();
                   auto& entry = this->calls[line.object.at("key").get<std::string>()];
                   entry.lines.push_back(line.text);
                   const auto number = line.object.at("run").get<std::uint64_t>();
                   const auto upstream = line.object.at("upstream").get<std::string>();
                   auto& started = entry.runs[upstream + "/" + std::to_string(number)];
                   if (event == "end")
                   {
                       started.completed = line.object.at("completed").get<bool>();
                       started.refused = line.object.at("refused").get<bool>();
                   }
                   else if (event != "start")
                   {
                       throw std::invalid_argument("unknown event: " + event);
                   }
               });
}

join_summary ledger_join::summary() const
{
    join_summary result;
    std::vector<std::chrono::microseconds> latencies;
    for (const auto& [key, joined] : this->calls)
    {
        if (!joined.sent)
        {
            continue;
        }
        this->evaluate_call(key, joined, result);
        if (joined.outcome == call_outcome::answered)
        {
            latencies.push_back(joined.latency);
        }
    }
    constexpr double median = 0.5;
    constexpr double tail = 0.99;
    std::sort(latencies.begin(), latencies.end());
    result.p50 = percentile(latencies, median);
    result.p99 = percentile(latencies, tail);
    return result;
}

void ledger_join::evaluate_call(const std::string& key, const call& joined, join_summary& result) const
{
    const auto starts =
        std::count_if(joined.runs.begin(), joined.runs.end(), [](const auto& entry) { return !entry.second.refused; });
    const bool completed =
        std::any_of(joined.runs.begin(), joined.runs.end(), [](const auto& entry) { return entry.second.completed; });
    const bool answered = joined.outcome == call_outcome::answered;
    const bool not_run = joined.outcome == call_outcome::not_run;
    ++result.sent;
    result.answered += answered ? 1 : 0;
    result.not_run += not_run ? 1 : 0;
    result.unknown += joined.outcome == call_outcome::unknown ? 1 : 0;
    result.refused += joined.outcome == call_outcome::refused ? 1 : 0;
    if (!joined.outcome || (answered && !completed))
    {
        result.lost.push_back(key);
    }
    if (!joined.repeatable && starts > 1)
    {
        result.doubled.push_back(key);
    }
    if (answered && !joined.body_matched)
    {
        result.crossed.push_back(key);
    }
    if (not_run && starts > 0)
    {
        result.false_not_run.push_back(key);
    }
}

void ledger_join::explain(const std::string& key, std::ostream& output) const
{
    const auto entry = this->calls.find(key);
    if (entry == this->calls.end())
    {
        return;
    }
    for (const auto& line : entry->second.lines)
    {
        output << "  " << line << '\n';
    }
}

std::string to_line(const join_summary& result)
{
    using fractional_milliseconds = std::chrono::duration<double, std::milli>;
    std::ostringstream text;
    text << "sent=" << result.sent << " answered=" << result.answered << " not_run=" << result.not_run
         << " unknown=" << result.unknown << " lost=" << result.lost.size() << " doubled=" << result.doubled.size()
         << " crossed=" << result.crossed.size() << " false_not_run=" << result.false_not_run.size();
    text << std::fixed << std::setprecision(3) << " p50_ms=" << fractional_milliseconds{result.p50}.count()
         << " p99_ms=" << fractional_milliseconds{result.p99}.count();
    return text.str();
}

} // namespace poplarport::load
