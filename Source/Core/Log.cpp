#include "Core/Log.h"

#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

namespace wisteriadock {

namespace {

    log4cxx::LevelPtr toLog4cxx(LogLevel level)
    {
        switch (level) {
        case LogLevel::Debug:
            return log4cxx::Level::getDebug();
        case LogLevel::Info:
            return log4cxx::Level::getInfo();
        case LogLevel::Warning:
            return log4cxx::Level::getWarn();
        case LogLevel::Error:
            return log4cxx::Level::getError();
        }
        return log4cxx::Level::getInfo();
    }

}

void configureLog(LogLevel level)
{
    const auto root = log4cxx::Logger::getRootLogger();
    if (root->getAllAppenders().empty()) {
        const auto layout = std::make_shared<log4cxx::PatternLayout>("%d{yyyy-MM-dd HH:mm:ss.SSS} %p [%c] %m%n");
        const auto appender = std::make_shared<log4cxx::ConsoleAppender>(layout, "System.err");
        root->addAppender(appender);
    }
    root->setLevel(toLog4cxx(level));
}

struct Log::Implementation {
    log4cxx::LoggerPtr logger;
};

Log::Log(std::string_view part)
    : implementation_(
        std::make_shared<const Implementation>(Implementation { log4cxx::Logger::getLogger(std::string(part)) }))
{
}

void Log::debug(const std::string& message) const { LOG4CXX_DEBUG(implementation_->logger, message); }

void Log::info(const std::string& message) const { LOG4CXX_INFO(implementation_->logger, message); }

void Log::warning(const std::string& message) const { LOG4CXX_WARN(implementation_->logger, message); }

void Log::error(const std::string& message) const { LOG4CXX_ERROR(implementation_->logger, message); }

}
