#include "service/LogPipe.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <cstdio>
#include <ctime>

namespace bulrushgap {

namespace internal {

constexpr std::chrono::milliseconds flushInterval{250};
/** PIPE_BUF: writes to a pipe up to this size are atomic, so lines of several writers do not mix.
 */
constexpr std::size_t maxWriteBytes = 4'096;
constexpr std::size_t maxBufferedBytes = 64UL * 1024;

std::string_view levelName(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return "DEBUG";
    case LogLevel::Info:
        return "INFO";
    case LogLevel::Warn:
        return "WARN";
    case LogLevel::Error:
        return "ERROR";
    }
    return "INFO";
}

/** \returns the current time in UTC, for example "2026-01-31T08:15:00.123Z". */
std::string formatUtcNow()
{
    constexpr long nanosecondsPerMillisecond = 1'000'000;
    timespec now{};
    ::clock_gettime(CLOCK_REALTIME, &now);
    std::tm parts{};
    ::gmtime_r(&now.tv_sec, &parts);
    std::array<char, 32> text{};
    const std::size_t length = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    std::array<char, 8> fraction{};
    std::snprintf(fraction.data(), fraction.size(), ".%03dZ",
                  static_cast<int>(now.tv_nsec / nanosecondsPerMillisecond));
    return std::string(text.data(), length) + fraction.data();
}

} // namespace internal

LogPipe::LogPipe(boost::asio::io_context &context, int descriptor)
    : timer(context)
    , descriptor(descriptor)
{
    const int flags = ::fcntl(descriptor, F_GETFL);
    if (flags >= 0)
        ::fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
}

LogPipe::~LogPipe()
{
    this->flush();
}

void LogPipe::write(std::string_view module, LogLevel level, std::string_view line)
{
    if (this->buffer.size() + line.size() > internal::maxBufferedBytes) {
        ++this->unreportedDrops;
        ++this->totalDrops;
        return;
    }
    if (this->unreportedDrops > 0) {
        const std::string report
            = formatLogLine("log_lines_dropped", {{"lines", this->unreportedDrops}});
        this->unreportedDrops = 0;
        this->append("log", LogLevel::Warn, report);
    }
    this->append(module, level, line);
    this->scheduleFlush();
}

void LogPipe::append(std::string_view module, LogLevel level, std::string_view line)
{
    this->buffer += "time=";
    this->buffer += internal::formatUtcNow();
    this->buffer += " level=";
    this->buffer += internal::levelName(level);
    this->buffer += " module=";
    this->buffer += module;
    this->buffer += ' ';
    this->buffer += line;
    this->buffer += '\n';
}

void LogPipe::flush()
{
    while (!this->buffer.empty()) {
        const ssize_t written
            = ::write(this->descriptor, this->buffer.data(), this->nextWriteBytes());
        if (written <= 0)
            return;
        this->buffer.erase(0, static_cast<std::size_t>(written));
    }
}

std::size_t LogPipe::nextWriteBytes() const
{
    if (this->buffer.size() <= internal::maxWriteBytes)
        return this->buffer.size();
    const std::size_t lineEnd = this->buffer.rfind('\n', internal::maxWriteBytes - 1);
    return lineEnd == std::string::npos ? internal::maxWriteBytes : lineEnd + 1;
}

void LogPipe::scheduleFlush()
{
    if (std::exchange(this->flushPending, true))
        return;
    this->timer.expires_after(internal::flushInterval);
    this->timer.async_wait([this](boost::system::error_code error) {
        if (error)
            return;
        this->flushPending = false;
        this->flush();
        if (!this->buffer.empty())
            this->scheduleFlush();
    });
}

} // namespace bulrushgap
