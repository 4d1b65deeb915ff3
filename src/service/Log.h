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

/** \brief Hooks and limit of a Log; the defaults write through log4cxx. */
struct LogOptions
{
    /** Lines of one event name per second; more are counted and reported as "suppressed". */
    unsigned linesPerSecond = 20;
    std::function<TimePoint()> clock;
    std::function<void(LogLevel level, const std::string &line)> sink;
};

/** \brief Logger of one part of the program: one line of key=value pairs per event. */
class Log
{
public:
    /** \brief Writes through log4cxx unless \a options has a sink. */
    explicit Log(std::string_view name, LogOptions options = {});

    /** \brief Writes to the sink of \a options. */
    explicit Log(LogOptions options);

    void debug(std::string_view event, LogFields fields = {});
    void info(std::string_view event, LogFields fields = {});
    void warn(std::string_view event, LogFields fields = {});
    void error(std::string_view event, LogFields fields = {});

    void setLinesPerSecond(unsigned lines) { this->options.linesPerSecond = lines; }

    /** \brief Sends all lines from \a level ("debug", "info", "warn", "error") on to stderr. */
    static void configure(std::string_view level);

private:
    struct Window
    {
        TimePoint start;
        unsigned lines = 0;
        unsigned suppressed = 0;
    };

    void write(LogLevel level, std::string_view event, LogFields fields);

    LogOptions options;
    std::map<std::string, Window, std::less<>> windows;
};

/** \returns the line "event=NAME key=value ...", values quoted when they need it. */
[[nodiscard]] std::string formatLogLine(std::string_view event, LogFields fields);

} // namespace bulrushgap
