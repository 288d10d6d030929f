#pragma once

#include "Configuration/ContentReader.h"
#include "Core/Error.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace wisteriadock {

// Why the version of a head is not put in force. The version in force is kept.
enum class HeadProblemKind {
    Malformed, // The head can't be parsed, or has a newer format.
    OlderCopy, // The store was restored from an older copy: its version is older, or the same with other content.
    PartMissing, // A part of the content does not exist, or not yet.
    Unreachable, // A part could not be read; the caller reads the head again later.
    WrongContent, // The content does not match the head, or is no valid configuration.
};

std::string_view nameOf(HeadProblemKind);

// Action: fetch this key, then call handlePart() with the result.
struct FetchPart {
    std::string key;
};

// Action: put this version in force.
struct PutInForce {
    ConfigurationVersion version;
};

// No action: the head names the version in force.
struct NothingNew { };

struct HeadProblem {
    HeadProblemKind kind = HeadProblemKind::Malformed;
    std::string detail;
};

using HeadAction = std::variant<FetchPart, PutInForce, NothingNew, HeadProblem>;

// Reads configuration versions from heads and parts of content that the caller fetches from the platform or from a
// peer. Verifies them and returns only versions newer than the one in force. Used by balancers and by ctl.
class HeadReader {
public:
    // Handles the value of a head. Cancels a read in progress.
    HeadAction handleHead(std::string_view value);

    // Handles the result of the last FetchPart.
    HeadAction handlePart(const Result<std::string>& part);

    // The last version returned by PutInForce, or nothing. Only higher versions replace it.
    const std::optional<AppliedVersion>& inForce() const { return inForce_; }

private:
    std::optional<HeadAction> compareWithInForce(const AppliedVersion&) const;

    std::optional<AppliedVersion> inForce_;
    std::optional<ContentReader> reading_;
};

}
