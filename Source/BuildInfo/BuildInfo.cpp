#include "BuildInfo/BuildInfo.h"

#include "SourceDigest.h"

#include <fmt/format.h>

namespace wisteriadock {

std::string_view sourceDigest() { return WISTERIADOCK_SOURCE_DIGEST; }

std::string versionText(std::string_view program)
{
    return fmt::format("{} {} (sources {})\n", program, WISTERIADOCK_VERSION, sourceDigest());
}

}
