#include "mustardrouter/Runtime/log.h"

#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

#include <mutex>

namespace mustardrouter
{

namespace
{

void configureOnce()
{
    static std::once_flag configured;
    std::call_once(configured, [] {
        const auto layout = std::make_shared<log4cxx::PatternLayout>("%d{yyyy-MM-ddTHH:mm:ss.SSSZ} level=%p component=%c %m%n");
        const auto appender = std::make_shared<log4cxx::ConsoleAppender>(layout, log4cxx::ConsoleAppender::getSystemErr());
        const log4cxx::LoggerPtr root = log4cxx::Logger::getRootLogger();
        root->addAppender(appender);
        root->setLevel(log4cxx::Level::getInfo());
    });
}

log4cxx::LevelPtr toLevel(log_level level)
{
    switch (level) {
    case log_level::debug:
        return log4cxx::Level::getDebug();
    case log_level::info:
        return log4cxx::Level::getInfo();
    case log_level::warning:
        return log4cxx::Level::getWarn();
    case log_level::error:
        return log4cxx::Level::getError();
    }
    return log4cxx::Level::getError();
}

/// Quotes a value and replaces control characters, so that it cannot break the line or the name=value format.
std::string quote(std::string_view value)
{
    std::string quoted = "\"";
    for (const char character : value) {
        if (character == '"' || character == '\\') {
            quoted += '\\';
        }
        const bool control = static_cast<unsigned char>(character) < ' ';
        quoted += control ? ' ' : character;
    }
    return quoted + "\"";
}

} // namespace

bool setLogLevel(std::string_view level)
{
    configureOnce();
    const log4cxx::LoggerPtr root = log4cxx::Logger::getRootLogger();
    if (level == "debug") {
        root->setLevel(log4cxx::Level::getDebug());
    } else if (level == "info") {
        root->setLevel(log4cxx::Level::getInfo());
    } else if (level == "warning") {
        root->setLevel(log4cxx::Level::getWarn());
    } else if (level == "error") {
        root->setLevel(log4cxx::Level::getError());
    } else {
        return false;
    }
    return true;
}

void writeLog(log_level level, const char *component, std::string_view message, std::initializer_list<log_field> fields)
{
    configureOnce();
    const log4cxx::LoggerPtr logger = log4cxx::Logger::getLogger(component);
    const log4cxx::LevelPtr severity = toLevel(level);
    if (!logger->isEnabledFor(severity)) {
        return;
    }
    std::string line = "message=" + quote(message);
    for (const log_field &field : fields) {
        line += ' ';
        line += field.name;
        line += '=';
        line += quote(field.value);
    }
    logger->forcedLog(severity, line, log4cxx::spi::LocationInfo::getLocationUnavailable());
}

} // namespace mustardrouter
