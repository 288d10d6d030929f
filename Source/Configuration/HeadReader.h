#pragma once

#include "Configuration/ContentReader.h"
#include "Core/Error.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace wisteriadock {

// Why a head is not put in force. The version in force stays.
enum class HeadProblemKind {
    Malformed, // The head is no head, or of a newer format.
    OlderCopy, // The store went back: it holds an older version, or another content under the version in force.
    PartMissing, // A part of the content is not there (yet).
    Unreachable, // A part could not be read; read the head again later.
    WrongContent, // The content is not the one that the head names, or doesn't pass the check.
};

std::string_view nameOf(HeadProblemKind);

// Fetch this key, then call handlePart with what came.
struct FetchPart {
    std::string key;
};

// Put this version in force.
struct PutInForce {
    ConfigurationVersion version;
};

// The head names the version in force.
struct NothingNew { };

struct HeadProblem {
    HeadProblemKind kind = HeadProblemKind::Malformed;
    std::string detail;
};

using HeadAction = std::variant<FetchPart, PutInForce, NothingNew, HeadProblem>;

// Turns heads and parts of content, from the platform or from a peer, into verified versions that only rise. Used by
// every balancer; the caller fetches and puts in force.
class HeadReader {
public:
    // Takes the value of a head. A read that is still going on is given up for it.
    HeadAction handleHead(std::string_view value);

    // Takes the part that was asked for last.
    HeadAction handlePart(const Result<std::string>& part);

    // The newest version that was handed out, or nothing. Versions never go back below it.
    const std::optional<AppliedVersion>& inForce() const { return inForce_; }

private:
    std::optional<HeadAction> compareWithInForce(const AppliedVersion&) const;

    std::optional<AppliedVersion> inForce_;
    std::optional<ContentReader> reading_;
};

}
