#pragma once

#include "base/Time.h"

#include <concepts>
#include <functional>
#include <initializer_list>
#include <map>
#include <string>
#include <string_view>

namespace bulrushgap {

enum class LogLevel { Debug, Info, Warn, Error };

/** \brief One key=value pair of a log line. */
struct LogField
{
    LogField(std::string_view key, std::string_view value)
        : key(key)
        , value(value)
    {}
    LogField(std::string_view key, const char *value)
        : LogField(key, std::string_view(value))
    {}
    LogField(std::string_view key, const std::string &value)
        : LogField(key, std::string_view(value))
    {}
    template <typename Number>
    requires std::integral<Number> || std::floating_point<Number> LogField(std::string_view key,
                                                                           Number value)
        : key(key)
        , value(std::to_string(value))
    {}

    std::string_view key;
    std::string value;
};

using LogFields = std::initializer_list<LogField>;

/** \brief Rate limit, clock and sink of a Log; the clock defaults to the steady clock. */
struct LogOptions
{
    /** Limit per event name; lines above it are dropped and counted in the field "suppressed". */
    unsigned linesPerSecond = 20;
    std::function<TimePoint()> clock;
    std::function<void(LogLevel level, const std::string &line)> sink;
};

/** \brief Logger of a module; writes one line of key=value pairs per event. */
class Log
{
public:
    /** \brief Writes to the sink of \a options, or to the log4cxx logger \a name if it has none. */
    explicit Log(std::string_view name, LogOptions options = {});

    /** \brief Writes to the sink of \a options. */
    explicit Log(LogOptions options);

    void debug(std::string_view event, LogFields fields = {});
    void info(std::string_view event, LogFields fields = {});
    void warn(std::string_view event, LogFields fields = {});
    void error(std::string_view event, LogFields fields = {});

    void setLinesPerSecond(unsigned lines) { this->options.linesPerSecond = lines; }

    /** \brief Logs lines of \a level ("debug", "info", "warn", "error") or above to stderr. */
    static void configure(std::string_view level);

private:
    /** \brief Lines of an event name within one second. */
    struct RateWindow
    {
        TimePoint start;
        unsigned lines = 0;
        unsigned suppressed = 0;
    };

    void write(LogLevel level, std::string_view event, LogFields fields);

    LogOptions options;
    std::map<std::string, RateWindow, std::less<>> rateWindows;
};

/** \returns the line "event=NAME key=value ..."; values are quoted and escaped if necessary. */
[[nodiscard]] std::string formatLogLine(std::string_view event, LogFields fields);

} // namespace bulrushgap
