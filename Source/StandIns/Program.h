#pragma once

#include "Core/Endpoint.h"
#include "Core/Error.h"

#include <boost/asio/io_context.hpp>

#include <concepts>
#include <functional>
#include <string>
#include <string_view>

namespace wisteriadock {

// What the programs of the stand-ins share: flags, lines on standard output, and the way they end.

// Reads the Abseil flags, with --help and --version. Exits on a flag that is unknown or malformed.
void parseProgramFlags(int argc, char** argv, const std::string& usage);

// "listening WHAT ADDRESS": tells whoever started the program that it is ready.
void printListening(std::string_view what, const Endpoint&);

// "NAME VALUE", as the final rows stand.
void printRow(std::string_view name, std::integral auto value);
void printRowText(std::string_view name, const std::string& value);

// Prints the error on standard error and returns the exit code of a program that could not start.
int reportStartFailure(const Error&);

// Runs the context until SIGTERM, SIGINT or context.stop().
void runUntilStopped(boost::asio::io_context&);

void printRow(std::string_view name, std::integral auto value) { printRowText(name, std::to_string(value)); }

}
