#include "Configuration/ContentReader.h"

#include "Configuration/ConfigurationContent.h"
#include "Configuration/ConfigurationParser.h"

#include <fmt/format.h>

#include <utility>

namespace wisteriadock {

ContentReader::ContentReader(ConfigurationHead head)
    : head_(std::move(head))
{
}

std::string ContentReader::nextKey() const { return contentPartKey(head_.applied.contentHash, partsRead_); }

void ContentReader::addPart(std::string_view part)
{
    ++partsRead_;
    // A text that is too long is refused by finish(), so the rest is not stored.
    if (text_.size() <= head_.contentBytes)
        text_ += part;
}

// Parts may be truncated or belong to other content. Without the check of the hash, a balancer would put an incomplete
// configuration in force, from which services are missing.
Result<ConfigurationVersion> ContentReader::finish()
{
    const std::string place = fmt::format("configuration version {}", head_.applied.version);
    const std::string hash = contentHashOf(text_);
    if (text_.size() != head_.contentBytes || hash != head_.applied.contentHash)
        return Error { ErrorCode::InvalidArgument,
            fmt::format("{}: the stored content has {} bytes and the hash {}; expected {} bytes and the hash {}", place,
                text_.size(), hash, head_.contentBytes, head_.applied.contentHash) };
    auto configuration = parseConfiguration(place, text_);
    if (!configuration)
        return configuration.error().toError();
    return ConfigurationVersion { std::move(head_), std::move(configuration).value(), std::move(text_) };
}

}
