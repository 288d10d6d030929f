#include "Settings/SettingsFile.h"

#include <fmt/format.h>

#include <fstream>

namespace wisteriadock {

Result<std::string> readFile(const std::string& path, std::size_t maxBytes)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return Error { ErrorCode::NotFound, fmt::format("{}: can't be opened", path) };

    // Reads at most one block beyond the limit. The size is not queried first, since the path may be a pipe.
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
