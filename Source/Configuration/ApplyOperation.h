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

// The configuration that an operator applies, and the conditions of the apply.
struct ApplyRequest {
    Configuration configuration;
    // Identifies this apply; must satisfy isName(). Repeating an apply with the same id has no further effect.
    std::string applyId;
    std::string author;
    // If set, the apply is refused unless this is the newest version; 0 means that there is no version yet.
    std::optional<std::uint64_t> baseVersion;
    // The new version is also above this one. Needed after the platform was restored from an older copy; then it is the
    // highest version that any balancer has in force.
    std::uint64_t aboveVersion = 0;
    ChangeFlags allowed;
    // Apply even if the version in force can't be read, without checking the change against it.
    bool allowUnreadableBase = false;
    // When retrying ends.
    TimePoint deadline;
};

// A value of the platform's store with its revision.
struct StoredValue {
    std::string value;
    std::uint64_t revision = 0;
};

// Action: read this key from the platform.
struct GetKey {
    std::string key;
};

// Action: write the value by compare-and-swap.
struct CompareAndSwapKey {
    std::string key;
    // The expected revision; 0 if the key must not exist.
    std::uint64_t revision = 0;
    std::string value;
};

// Action: wait before the next attempt.
struct WaitForRetry {
    Duration delay {};
};

// The next action for the caller. An ApplyOutcome ends the operation.
using ApplyAction = std::variant<GetKey, CompareAndSwapKey, WaitForRetry, ApplyOutcome>;

// The results of the actions, with the errors of the PlatformService concept.
struct GetEnded {
    Result<StoredValue> result;
};

struct CompareAndSwapEnded {
    // The new revision.
    Result<std::uint64_t> result;
};

struct WaitEnded { };

using ApplyEvent = std::variant<GetEnded, CompareAndSwapEnded, WaitEnded>;

// Writes one configuration version to the platform. The content is written first, then the head that refers to it, by a
// single compare-and-swap. So a version is applied completely or not at all, and of two concurrent applies one
// succeeds. ctl runs it through ApplyRunner, which performs the actions and returns their results as events.
//
// The answer to the compare-and-swap of the head can be lost although it took effect. Repeating it would then conflict
// with the own write and report an accepted version as refused. So the operation reads the head again: if the head
// records the apply id, the apply was accepted. If the head is unchanged, the same write is repeated; both writes
// expect the same revision, so at most one of them takes effect.
class ApplyOperation {
public:
    explicit ApplyOperation(ApplyRequest);

    // Returns the first action.
    ApplyAction start(TimePoint now);
    // Handles the result of the last action and returns the next one.
    ApplyAction handle(const ApplyEvent&, TimePoint now);

private:
    // The call whose result is expected next.
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

    // The head as it was read first, and its revision; empty and 0 if there is no version yet.
    std::optional<ConfigurationHead> base_;
    std::uint64_t headRevision_ = 0;
    std::optional<ContentReader> baseReader_;
    std::size_t partsWritten_ = 0;
    std::optional<ConfigurationHead> newHead_;
    bool isUnchanged_ = false;
    // Whether an answer to a write of the head was lost.
    bool mayBeApplied_ = false;
};

}
