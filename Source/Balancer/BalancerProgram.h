#pragma once

#include <string>

namespace wisteriadock {

// Exit codes of wisteriadock-balancer.
enum class BalancerExit : int {
    Done = 0, // Stopped on request, or the settings are valid.
    BadSettings = 1, // The settings can't be read or are invalid; all problems are on standard error.
    CannotStart = 2, // An address can't be bound.
};

// Checks a settings file and prints all problems in it. Returns the exit code.
int checkBalancerSettings(const std::string& path);

// Runs a balancer until a signal has stopped it. Returns the exit code.
int runBalancer(const std::string& path);

}
