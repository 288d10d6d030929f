#pragma once

#include "Core/LogLevel.h"

#include <memory>
#include <string>
#include <string_view>

namespace wisteriadock {

// Sets the process's log up: one line a message on standard error, "TIME LEVEL [part] message". Call it once in main;
// calling it again changes only the level.
void configureLog(LogLevel);

// Writes short sentences for one part of the program, under that part's fixed prefix. Copies share the logger.
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
