#pragma once

#include "Configuration/Configuration.h"
#include "Configuration/ConfigurationHead.h"
#include "Core/Error.h"

#include <string>
#include <string_view>

namespace wisteriadock {

// One complete and verified version.
struct ConfigurationVersion {
    ConfigurationHead head;
    Configuration configuration;
    // The canonical text with the head's content hash, which is sent to other balancers.
    std::string text;
};

// Assembles the content of one head from its parts, which the caller fetches one after the other. Used by HeadReader
// and ApplyOperation.
class ContentReader {
public:
    explicit ContentReader(ConfigurationHead);

    const ConfigurationHead& head() const { return head_; }
    bool isComplete() const { return partsRead_ == head_.contentParts; }
    // The key of the part to fetch next. Call only if not complete.
    std::string nextKey() const;
    void addPart(std::string_view part);

    // Returns the version; call once complete. Fails with InvalidArgument if the text does not match the head's hash
    // and size, or is no valid configuration.
    Result<ConfigurationVersion> finish();

private:
    ConfigurationHead head_;
    std::size_t partsRead_ = 0;
    std::string text_;
};

}
