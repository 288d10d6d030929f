#pragma once

#include "Core/LogLevel.h"

#include <memory>
#include <string>
#include <string_view>

namespace wisteriadock {

// Sets up the log of the process on standard error, one line "TIME LEVEL [part] message" per message. Called once in
// main; later calls change only the level.
void configureLog(LogLevel);

// Writes the messages of one part of the program, which each line names. Copies share the logger.
class Log {
public:
    explicit Log(std::string_view part);

    void debug(const std::string& message) const;
    void info(const std::string& message) const;
    void warning(const std::string& message) const;
    void error(const std::string& message) const;

private:
    struct Implementation;
    std::shared_ptr<const Implementation> implementation_;
};

}
