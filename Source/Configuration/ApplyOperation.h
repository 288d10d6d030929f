#pragma once

#include "Configuration/ApplyOutcome.h"
#include "Configuration/ChangeRules.h"
#include "Configuration/Configuration.h"
#include "Configuration/ConfigurationHead.h"
#include "Configuration/ContentReader.h"
#include "Core/Clock.h"
#include "Core/Error.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace wisteriadock {

// What an operator wants applied.
struct ApplyRequest {
    Configuration configuration;
    // Names this apply; see isName(). Running the same apply again with the same id has the same effect as once.
    std::string applyId;
    std::string author;
    // Refuse unless this is the newest version; 0 for "there is none yet".
    std::optional<std::uint64_t> baseVersion;
    // The new version is above this one as well. For a platform that was restored from an older copy: the highest
    // version that any balancer has in force.
    std::uint64_t aboveVersion = 0;
    ChangeFlags allowed;
    // Apply although the version in force can't be read, without checking the change against it.
    bool allowUnreadableBase = false;
    // When to give up.
    TimePoint deadline;
};

// A value as the platform holds it.
struct StoredValue {
    std::string value;
    std::uint64_t revision = 0;
};

// Calls of the platform's that the operation asks for, one at a time.
struct GetKey {
    std::string key;
};

struct SwapKey {
    std::string key;
    std::uint64_t revision = 0;
    std::string value;
};

struct WaitForRetry {
    Duration delay {};
};

// What to do next; an outcome ends the operation.
using ApplyAction = std::variant<GetKey, SwapKey, WaitForRetry, ApplyOutcome>;

// The answers to those calls, with the errors of the PlatformService concept.
struct GetEnded {
    Result<StoredValue> result;
};

struct SwapEnded {
    Result<std::uint64_t> result;
};

struct WaitEnded { };

using ApplyEvent = std::variant<GetEnded, SwapEnded, WaitEnded>;

// Writes one version: the content first, which nobody reads yet, then the head, by one compare-and-swap that decides
// alone. So a version is applied whole or not at all, and of two operators one wins.
//
// The answer to that compare-and-swap can be lost after it took effect. Repeating it blindly would end in a conflict
// with itself, and ctl would tell an operator "refused" about a version in force. So the operation reads the head: if
// it remembers the apply id, the apply was accepted. If it is still the old one, the same write may safely go out
// again, as at most one of both can take effect.
class ApplyOperation {
public:
    explicit ApplyOperation(ApplyRequest);

    // The first action.
    ApplyAction start(TimePoint now);
    // The answer to the last action; gives the next one.
    ApplyAction handle(const ApplyEvent&, TimePoint now);

private:
    // What the answer that comes next is for.
    enum class Step {
        ReadHead,
        ReadBase,
        WritePart,
        ComparePart,
        SwapHead,
        RereadHead,
    };

    ApplyAction actionFor(Step);
    ApplyAction goTo(Step);
    ApplyAction retry(const Error&);
    ApplyAction giveUp();

    ApplyAction handleGet(const Result<StoredValue>&);
    ApplyAction handleSwap(const Result<std::uint64_t>&);

    ApplyAction handleHead(const StoredValue*);
    ApplyAction handleRereadHead(const StoredValue*);
    ApplyAction handleBasePart(const StoredValue*);
    ApplyAction handleStoredPart(const StoredValue*);
    ApplyAction handlePartSwap(const Result<std::uint64_t>&);
    ApplyAction handleHeadSwap(const Result<std::uint64_t>&);

    ApplyAction checkAgainst(const Configuration& base);
    ApplyAction handleUnreadableBase(const std::string& cause);
    ApplyAction writeNextPart();
    ApplyAction concludeFromRecord(const AppliedVersion&);
    void prepareHead();

    ApplyAction accept(std::uint64_t version, bool isUnchanged = false);
    ApplyAction refuse(ApplyRefusal, std::vector<std::string> details);
    ApplyAction refuseSuperseded(ApplyRefusal, const ConfigurationHead&);
    ApplyAction concludeUnknown(const std::string& cause);

    ApplyRequest request_;
    std::string contentHash_;
    std::vector<std::string> parts_;

    TimePoint now_;
    Step step_ = Step::ReadHead;
    unsigned failures_ = 0;
    std::string lastFailure_;

    // The head as it was read first, and its revision; none and 0 before the first version.
    std::optional<ConfigurationHead> base_;
    std::uint64_t headRevision_ = 0;
    std::optional<ContentReader> baseReader_;
    std::size_t partsWritten_ = 0;
    std::optional<ConfigurationHead> newHead_;
    bool isUnchanged_ = false;
    // Whether an answer to the deciding write was lost.
    bool mayBeApplied_ = false;
};

}
