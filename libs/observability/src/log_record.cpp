#include "poplarport/observability/log_record.hpp"

#include <array>  // array
#include <chrono> // steady_clock, system_clock
#include <ctime>  // gmtime_r, strftime

#include "poplarport/observability/request_log_limit.hpp"

#include <log4cplus/appender.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <unistd.h>

namespace poplarport::observability
{

namespace
{

constexpr const char* logger_name = "poplarport";

log4cplus::LogLevel to_log4cplus_level(log_level level) noexcept
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
    std::tm calendar_time{};
    ::gmtime_r(&seconds, &calendar_time);
    std::array<char, 32> text{};
    const auto length = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &calendar_time);
    const auto fraction = std::to_string(1000 + milliseconds).substr(1);
    return std::string{text.data(), length} + "." + fraction + "Z";
}

std::uint64_t dropped_count{0};

log_level active_min_level{log_level::info};

// Writes each line with one system call, and drops it when the reader of the descriptor is too slow.
class descriptor_appender final : public log4cplus::Appender
{
  public:
    explicit descriptor_appender(int opened_descriptor) : descriptor(opened_descriptor)
    {
    }

    ~descriptor_appender() override
    {
        this->destructorImpl();
    }

    descriptor_appender(const descriptor_appender&) = delete;
    descriptor_appender& operator=(const descriptor_appender&) = delete;

    void close() override
    {
        this->closed = true;
    }

  protected:
    void append(const log4cplus::spi::InternalLoggingEvent& event) override
    {
        const auto& line = this->formatEvent(event);
        pollfd state{this->descriptor, POLLOUT, 0};
        const bool is_writable = ::poll(&state, 1, 0) == 1 && (state.revents & POLLOUT) != 0;
        if (!is_writable || ::write(this->descriptor, line.data(), line.size()) < 0)
        {
            ++dropped_count;
        }
    }

  private:
    int descriptor;
};

} // namespace

struct log_record::state
{
    nlohmann::ordered_json fields;
};

void set_log_level(log_level min_level)
{
    active_min_level = min_level;
    log4cplus::Logger::getInstance(LOG4CPLUS_TEXT(logger_name)).setLogLevel(to_log4cplus_level(min_level));
}

bool is_logged(log_level level) noexcept
{
    return active_min_level <= level;
}

bool is_request_logged(log_level level, std::string_view id) noexcept
{
    static request_log_limit limit;
    if (!is_logged(level))
    {
        return false;
    }
    const bool is_admitted = limit.admits(id, std::chrono::steady_clock::now());
    dropped_count += is_admitted ? 0 : 1;
    return is_admitted;
}

std::uint64_t dropped_records() noexcept
{
    return dropped_count;
}

void configure_log(log_level min_level, log_target target)
{
    log4cplus::initialize();
    const int descriptor = target == log_target::standard_output ? STDOUT_FILENO : STDERR_FILENO;
    log4cplus::SharedAppenderPtr appender{new descriptor_appender(descriptor)};
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(LOG4CPLUS_TEXT("%m%n")));
    auto logger = log4cplus::Logger::getInstance(LOG4CPLUS_TEXT(logger_name));
    logger.removeAllAppenders();
    logger.setAdditivity(false);
    logger.addAppender(appender);
    set_log_level(min_level);
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

log_record& log_record::with(std::string_view name, std::chrono::nanoseconds value)
{
    return this->with(name, std::chrono::duration_cast<std::chrono::microseconds>(value).count());
}

std::string log_record::text() const
{
    // Bytes that are not UTF-8 are replaced, so that a malformed value cannot prevent the record.
    return this->data->fields.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

void log_record::write(log_level level) const
{
    auto logger = log4cplus::Logger::getInstance(LOG4CPLUS_TEXT(logger_name));
    if (!logger.isEnabledFor(to_log4cplus_level(level)))
    {
        return;
    }
    nlohmann::ordered_json record;
    record["time"] = utc_time();
    record["level"] = to_string(level);
    record.update(this->data->fields);
    const auto line = record.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
    logger.log(to_log4cplus_level(level), line);
}

} // namespace poplarport::observability
