#include "service/Log.h"

#include <array>

namespace bulrushgap {

namespace internal {

TimePoint steadyNow()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

void appendQuoted(std::string &line, std::string_view value)
{
    constexpr std::string_view digits = "0123456789abcdef";
    line += '"';
    for (const char character : value) {
        const auto byte = static_cast<unsigned char>(character);
        if (character == '"' || character == '\\') {
            line += '\\';
            line += character;
        } else if (byte < 0x20 || byte == 0x7f) {
            line += "\\x";
            line += digits[byte >> 4];
            line += digits[byte & 0xf];
        } else {
            line += character;
        }
    }
    line += '"';
}

void appendValue(std::string &line, std::string_view value)
{
    const auto needsQuotes = [](char character) {
        const auto byte = static_cast<unsigned char>(character);
        return byte <= 0x20 || byte == 0x7f || character == '"' || character == '='
               || character == '\\';
    };
    bool quoted = value.empty();
    for (const char character : value)
        quoted = quoted || needsQuotes(character);
    if (quoted)
        appendQuoted(line, value);
    else
        line += value;
}

} // namespace internal

std::string formatLogLine(std::string_view event, LogFields fields)
{
    std::string line = "event=";
    internal::appendValue(line, event);
    for (const LogField &field : fields) {
        line += ' ';
        line += field.key;
        line += '=';
        internal::appendValue(line, field.value);
    }
    return line;
}

Log::Log(LogOptions options)
    : options(std::move(options))
{
    if (!this->options.clock)
        this->options.clock = internal::steadyNow;
}

void Log::write(LogLevel level, std::string_view event, LogFields fields)
{
    const TimePoint now = this->options.clock();
    RateWindow &rateWindow
        = this->rateWindows.try_emplace(std::string(event), RateWindow{now, 0, 0}).first->second;
    std::string line = formatLogLine(event, fields);
    if (now - rateWindow.start >= std::chrono::seconds(1)) {
        if (rateWindow.suppressed > 0)
            line += " suppressed=" + std::to_string(rateWindow.suppressed);
        rateWindow = RateWindow{now, 0, 0};
    }
    if (rateWindow.lines == this->options.linesPerSecond) {
        ++rateWindow.suppressed;
        return;
    }
    ++rateWindow.lines;
    this->options.sink(level, line);
}

void Log::debug(std::string_view event, LogFields fields)
{
    this->write(LogLevel::Debug, event, fields);
}

void Log::info(std::string_view event, LogFields fields)
{
    this->write(LogLevel::Info, event, fields);
}

void Log::warn(std::string_view event, LogFields fields)
{
    this->write(LogLevel::Warn, event, fields);
}

void Log::error(std::string_view event, LogFields fields)
{
    this->write(LogLevel::Error, event, fields);
}

} // namespace bulrushgap
