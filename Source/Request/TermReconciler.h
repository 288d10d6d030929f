#pragma once

#include "Core/Clock.h"
#include "Membership/Member.h"
#include "Request/ClaimTerm.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace wisteriadock {

// Write the record by compare-and-swap on this revision (0: the key must not exist), then call writeEnded.
struct WriteTerm {
    ClaimTerm term;
    std::uint64_t baseRevision = 0;
};

// Read the zone's record, then call learnRecord or learnAbsent.
struct ReadTerm { };

// The record is in force: give it to the RequestRunner and the RequestRouter, and to the other balancers.
struct AdoptTerm {
    ClaimTerm term;
};

using TermAction = std::variant<WriteTerm, ReadTerm, AdoptTerm>;

// How a compare-and-swap ended.
enum class TermWrite {
    Written,
    Conflict,
    Unreached, // Nothing was done.
    Unknown, // The answer was lost: it may have taken effect.
};

struct TermTimes {
    // How long the holders must look wrong before the record is written, so that one that flickers moves nothing.
    std::chrono::milliseconds debounce { 300 };
    // Added for each balancer of the zone that comes earlier in the order, so that one writes and the others see it.
    std::chrono::milliseconds rankDelay { 200 };
    std::chrono::milliseconds retry { 1000 };
    // A record is renewed at this age, so that tickets carry an epoch of about their age.
    std::chrono::minutes renewalInterval { 30 };
};

// Keeps the ownership record of one availability zone right: sees that its holders are the balancers that serve there.
// It writes a few times for each change of members, never for a request. While the platform is out, the record stays,
// and with it every owner whose backup answers.
class TermReconciler {
public:
    TermReconciler(std::string zone, BalancerId self, const TermTimes& times);

    void learnMembers(const MembersView&, TimePoint now);
    // What the platform holds now.
    void learnRecord(const ClaimTerm&, std::uint64_t revision, TimePoint now);
    void learnAbsent(TimePoint now);
    // What a peer says is in force; its revision is not known, so a write is preceded by a read.
    void learnFromPeer(const ClaimTerm&, TimePoint now);
    void writeEnded(TermWrite, std::uint64_t newRevision, TimePoint now);
    // A read failed; it is repeated.
    void readFailed(TimePoint now);
    void tick(TimePoint now);

    std::vector<TermAction> takeActions();
    const std::optional<ClaimTerm>& term() const { return term_; }

private:
    std::optional<ClaimTerm> desiredTerm(TimePoint now) const;
    std::size_t rankOf(const ClaimTerm& next) const;
    void adopt(const ClaimTerm&, TimePoint now);
    void read(TimePoint now);

    std::string zone_;
    BalancerId self_;
    TermTimes times_;
    MembersView view_;
    std::optional<ClaimTerm> term_;
    TimePoint adoptedAt_;
    // Revision of the platform's record; unset when it must be read first.
    std::optional<std::uint64_t> revision_;
    std::optional<ClaimTerm> writing_;
    bool isReading_ = false;
    TimePoint nextCallAt_;
    std::optional<TimePoint> mismatchSince_;
    std::vector<TermAction> actions_;
};

}
