#pragma once

#include "Core/Endpoint.h"
#include "Core/Error.h"

#include <boost/asio/io_context.hpp>

#include <concepts>
#include <functional>
#include <string>
#include <string_view>

namespace wisteriadock {

// Functions shared by the main programs of the stand-ins: flags, lines on standard output, start and stop.

// Parses the Abseil flags, including --help and --version. Exits when a flag is unknown or malformed.
void parseProgramFlags(int argc, char** argv, const std::string& usage);

// Prints "listening WHAT ADDRESS", which tells the process that started the program that it is ready.
void printListening(std::string_view what, const Endpoint&);

// Prints a line "NAME VALUE" with one of the final counts.
void printCount(std::string_view name, std::integral auto value);
void printNameAndValue(std::string_view name, const std::string& value);

// Prints the error to standard error and returns the exit code for a failed start.
int reportStartFailure(const Error&);

// Runs the context until SIGTERM, SIGINT or context.stop().
void runUntilStopped(boost::asio::io_context&);

void printCount(std::string_view name, std::integral auto value) { printNameAndValue(name, std::to_string(value)); }

}
