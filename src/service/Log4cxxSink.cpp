#include "service/Log.h"

#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <memory>
#include <utility>

namespace bulrushgap {

namespace internal {

log4cxx::LevelPtr levelOf(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return log4cxx::Level::getDebug();
    case LogLevel::Info:
        return log4cxx::Level::getInfo();
    case LogLevel::Warn:
        return log4cxx::Level::getWarn();
    case LogLevel::Error:
        return log4cxx::Level::getError();
    }
    return log4cxx::Level::getInfo();
}

LogOptions withLog4cxxSink(std::string_view name, LogOptions options)
{
    if (options.sink)
        return options;
    const log4cxx::LoggerPtr logger = log4cxx::Logger::getLogger(std::string(name));
    options.sink = [logger](LogLevel level, const std::string &line) {
        logger->log(levelOf(level), line);
    };
    return options;
}

} // namespace internal

Log::Log(std::string_view name, LogOptions options)
    : Log(internal::withLog4cxxSink(name, std::move(options)))
{}

void Log::configure(std::string_view level)
{
    const auto layout = std::make_shared<log4cxx::PatternLayout>(
        "time=%d{yyyy-MM-dd}{GMT}T%d{HH:mm:ss.SSS}{GMT}Z level=%p module=%c %m%n");
    const auto appender = std::make_shared<log4cxx::ConsoleAppender>(
        layout, log4cxx::ConsoleAppender::getSystemErr());
    const log4cxx::LoggerPtr root = log4cxx::Logger::getRootLogger();
    root->removeAllAppenders();
    root->addAppender(appender);
    root->setLevel(log4cxx::Level::toLevel(std::string(level)));
}

} // namespace bulrushgap
