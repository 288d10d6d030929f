#pragma once

#include "Configuration/Configuration.h"
#include "Configuration/ConfigurationHead.h"
#include "Core/Error.h"

#include <string>
#include <string_view>

namespace wisteriadock {

// One version, read whole and verified.
struct ConfigurationVersion {
    ConfigurationHead head;
    Configuration configuration;
    // The canonical text that the head's content hash names, for handing it on to other balancers.
    std::string text;
};

// Puts the content of one head together out of its parts, which the caller fetches one after the other.
class ContentReader {
public:
    explicit ContentReader(ConfigurationHead);

    const ConfigurationHead& head() const { return head_; }
    bool isComplete() const { return partsRead_ == head_.contentParts; }
    // The key of the part to fetch now; only while not complete.
    std::string nextKey() const;
    void addPart(std::string_view part);

    // The version, once complete. Fails with InvalidArgument when the text is not the one that the head names, or when
    // it doesn't pass the check.
    Result<ConfigurationVersion> finish();

private:
    ConfigurationHead head_;
    std::size_t partsRead_ = 0;
    std::string text_;
};

}
