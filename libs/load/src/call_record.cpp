#include "poplarport/load/call_record.hpp"

#include <array>        // array
#include <system_error> // generic_category, system_error

#include <nlohmann/json.hpp>

namespace poplarport::load
{

std::string_view to_string(call_outcome outcome) noexcept
{
    switch (outcome)
    {
    case call_outcome::answered:
        return "answered";
    case call_outcome::not_run:
        return "not_run";
    case call_outcome::refused:
        return "refused";
    case call_outcome::unknown:
        break;
    }
    return "unknown";
}

std::optional<call_outcome> call_outcome_from_string(std::string_view text) noexcept
{
    for (const auto candidate :
         {call_outcome::answered, call_outcome::not_run, call_outcome::unknown, call_outcome::refused})
    {
        if (text == to_string(candidate))
        {
            return candidate;
        }
    }
    return std::nullopt;
}

std::string_view to_string(evidence source) noexcept
{
    switch (source)
    {
    case evidence::field:
        return "field";
    case evidence::upstream:
        return "upstream";
    case evidence::http:
        return "http";
    case evidence::connection:
        return "connection";
    case evidence::timeout:
        return "timeout";
    case evidence::not_sent:
        break;
    }
    return "not_sent";
}

namespace
{

nlohmann::json to_object(const sent_call& call, const char* event)
{
    return {{"event", event},
            {"key", call.key},
            {"target", call.target},
            {"tenant", call.tenant},
            {"call", call.kind},
            {"phase", call.phase},
            {"repeatable", call.repeatable},
            {"scheduled_at_us", call.scheduled_at.count()}};
}

std::string to_line(const nlohmann::json& object)
{
    return object.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

call_ledger::call_ledger(const std::filesystem::path& file)
{
    if (file.empty())
    {
        return;
    }
    this->output.open(file, std::ios::app);
    if (!this->output)
    {
        throw std::system_error(errno, std::generic_category(), file.string());
    }
}

void call_ledger::write_sent(const sent_call& call)
{
    this->write(to_line(to_object(call, "sent")));
}

void call_ledger::write_ended(const sent_call& call, const ended_call& end)
{
    auto object = to_object(call, "outcome");
    object["outcome"] = to_string(end.outcome);
    object["told_by"] = to_string(end.based_on);
    object["status"] = end.status;
    object["code"] = end.code;
    object["latency_us"] = end.latency.count();
    object["body_matched"] = end.body_matched ? nlohmann::json(*end.body_matched) : nlohmann::json(nullptr);
    this->write(to_line(object));
}

void call_ledger::write(const std::string& line)
{
    if (this->output.is_open())
    {
        this->output << line << '\n' << std::flush;
    }
}

} // namespace poplarport::load
