#pragma once

#include "Configuration/ConfigurationLimits.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriadock {

// The platform's keys for versions. The head refers to the content in force. Content is stored under its own hash and
// never changes.
constexpr std::string_view configurationHeadKey = "configuration/head";
constexpr std::string_view configurationContentPrefix = "configuration/content/";

// The platform stores values of up to a megabyte, including the overhead of its encoding.
constexpr std::size_t maxContentPartBytes = 900'000;
constexpr std::size_t maxContentParts = (maxConfigurationBytes + maxContentPartBytes - 1) / maxContentPartBytes;

// The hash that identifies a content: 128 bits as 32 lower-case hexadecimal digits. It detects missing and truncated
// parts but is not cryptographic, so it does not protect against deliberate changes in the store.
std::string contentHashOf(std::string_view text);
bool isContentHash(std::string_view text);

// Splits a text into at least one part of at most maxContentPartBytes. Deterministic.
std::vector<std::string> splitContent(std::string_view text);
// The number of parts that splitContent() returns for a text of so many bytes.
std::size_t contentPartCount(std::size_t bytes);

// "configuration/content/<hash>/<index>", with the index counted from 0.
std::string contentPartKey(std::string_view contentHash, std::size_t index);

}
