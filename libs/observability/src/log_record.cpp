#include "poplarport/observability/log_record.hpp"

#include <array>  // array
#include <chrono> // system_clock
#include <ctime>  // gmtime_r, strftime

#include <log4cplus/consoleappender.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <nlohmann/json.hpp>

namespace poplarport::observability
{

namespace
{

constexpr const char* logger_name = "poplarport";

log4cplus::LogLevel to_library_level(log_level level) noexcept
{
    switch (level)
    {
    case log_level::debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case log_level::info:
        return log4cplus::INFO_LOG_LEVEL;
    case log_level::warning:
        return log4cplus::WARN_LOG_LEVEL;
    case log_level::error:
        break;
    }
    return log4cplus::ERROR_LOG_LEVEL;
}

const char* to_string(log_level level) noexcept
{
    constexpr std::array<const char*, 4> names{"debug", "info", "warning", "error"};
    return names.at(static_cast<std::size_t>(level));
}

std::string utc_time()
{
    const auto now = std::chrono::system_clock::now();
    const auto seconds = std::chrono::system_clock::to_time_t(now);
    const auto milliseconds =
        std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count() % 1000;
    std::tm parts{};
    ::gmtime_r(&seconds, &parts);
    std::array<char, 32> text{};
    const auto length = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    const auto fraction = std::to_string(1000 + milliseconds).substr(1);
    return std::string{text.data(), length} + "." + fraction + "Z";
}

} // namespace

struct log_record::state
{
    nlohmann::ordered_json fields;
};

void configure_log(log_level least)
{
    log4cplus::initialize();
    const bool log_to_standard_error = true;
    const bool immediate_flush = true;
    log4cplus::SharedAppenderPtr appender{new log4cplus::ConsoleAppender(log_to_standard_error, immediate_flush)};
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(LOG4CPLUS_TEXT("%m%n")));
    auto logger = log4cplus::Logger::getInstance(LOG4CPLUS_TEXT(logger_name));
    logger.removeAllAppenders();
    logger.setAdditivity(false);
    logger.addAppender(appender);
    logger.setLogLevel(to_library_level(least));
}

log_level log_level_from_string(std::string_view name) noexcept
{
    for (const auto candidate : {log_level::debug, log_level::info, log_level::warning, log_level::error})
    {
        if (name == to_string(candidate))
        {
            return candidate;
        }
    }
    return log_level::info;
}

log_record::log_record(std::string_view event) : data(std::make_unique<state>())
{
    this->data->fields["event"] = event;
}

log_record::~log_record() = default;

log_record& log_record::with(std::string_view name, std::string_view value)
{
    this->data->fields[std::string{name}] = value;
    return *this;
}

log_record& log_record::with(std::string_view name, std::int64_t value)
{
    this->data->fields[std::string{name}] = value;
    return *this;
}

std::string log_record::text() const
{
    // Bytes that are not UTF-8 are replaced, so that a damaged value cannot stop the record.
    return this->data->fields.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

void log_record::write(log_level level) const
{
    nlohmann::ordered_json record;
    record["time"] = utc_time();
    record["level"] = to_string(level);
    record.update(this->data->fields);
    const auto line = record.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
    auto logger = log4cplus::Logger::getInstance(LOG4CPLUS_TEXT(logger_name));
    logger.log(to_library_level(level), line);
}

} // namespace poplarport::observability
