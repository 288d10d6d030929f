#pragma once

#include <string>

namespace wisteriadock {

// Exit codes of wisteriadock-balancer.
enum class BalancerExit : int {
    Done = 0, // It stopped as asked, or the settings are right.
    BadSettings = 1, // The settings can't be read or are wrong; all problems are on standard error.
    CannotStart = 2, // An address can't be bound.
};

// Checks a settings file. Returns the exit code.
int checkBalancerSettings(const std::string& path);

// Runs a balancer until it is told to stop. Returns the exit code.
int runBalancer(const std::string& path);

}
