#include "Settings/SettingsFile.h"

#include <fmt/format.h>

#include <fstream>

namespace wisteriadock {

Result<std::string> readFile(const std::string& path, std::size_t maxBytes)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return Error { ErrorCode::NotFound, fmt::format("{}: can't be opened", path) };

    // One byte more than allowed, to tell a file at the limit from one above it. Reading in blocks keeps the memory at
    // the size of the file; a pipe has no size to ask for.
    std::string text;
    char block[16 * 1024];
    while (text.size() <= maxBytes && (file.read(block, sizeof(block)) || file.gcount() > 0))
        text.append(block, static_cast<std::size_t>(file.gcount()));
    if (file.bad())
        return Error { ErrorCode::NotFound, fmt::format("{}: can't be read", path) };
    if (text.size() > maxBytes)
        return Error { ErrorCode::ResourceExhausted, fmt::format("{}: larger than {} bytes", path, maxBytes) };
    return text;
}

}
