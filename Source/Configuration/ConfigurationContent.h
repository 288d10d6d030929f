#pragma once

#include "Configuration/ConfigurationLimits.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriadock {

// Where the platform keeps versions: the head names the content in force, the content lies beside it, named by its own
// hash and never changed.
constexpr std::string_view configurationHeadKey = "configuration/head";
constexpr std::string_view configurationContentPrefix = "configuration/content/";

// The platform holds values up to a megabyte; the headroom is for what its own encoding may add.
constexpr std::size_t maxContentPartBytes = 900'000;
constexpr std::size_t maxContentParts = (maxConfigurationBytes + maxContentPartBytes - 1) / maxContentPartBytes;

// The hash that names a content: 128 bits as 32 lower-case hexadecimal digits. It guards against accidents (a missing
// part, a torn copy), not against people who may write to the platform anyway.
std::string contentHashOf(std::string_view text);
bool isContentHash(std::string_view text);

// Cuts a text into parts that the platform can hold; at least one. The same text always gives the same parts.
std::vector<std::string> splitContent(std::string_view text);
std::size_t contentPartCount(std::size_t bytes);

// "configuration/content/<hash>/<index>", the index counted from 0.
std::string contentPartKey(std::string_view contentHash, std::size_t index);

}
