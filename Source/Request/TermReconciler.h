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

// Read the zone's record, then call learnRecord, learnAbsent or readFailed.
struct ReadTerm { };

// The record is in force: pass it to the RequestRunner, the RequestRouter and the other balancers.
struct AdoptTerm {
    ClaimTerm term;
};

using TermAction = std::variant<WriteTerm, ReadTerm, AdoptTerm>;

// The result of a compare-and-swap.
enum class TermWrite {
    Written,
    Conflict,
    Unreached, // Nothing was written.
    Unknown, // The reply was lost; the write may have taken effect.
};

struct TermTimes {
    // How long the holders must differ from the serving balancers before a record is written, so that short outages
    // change nothing.
    std::chrono::milliseconds debounce { 300 };
    // Added for each balancer of the zone that comes earlier in the order, so that one balancer writes and the others
    // see it.
    std::chrono::milliseconds rankDelay { 200 };
    std::chrono::milliseconds retry { 1000 };
    // A record is renewed at this age, so that a ticket's epoch tells its approximate age.
    std::chrono::minutes renewalInterval { 30 };
};

// Reconciles the ownership record of one availability zone with the balancers that serve there. It writes only when
// members change and at renewals, never for a request. While the platform is unavailable, the record stays in force.
// Makes the decisions for TermControl, which executes takeActions().
class TermReconciler {
public:
    TermReconciler(std::string zone, BalancerId self, const TermTimes& times);

    void learnMembers(const MembersView&, TimePoint now);
    // Reports the era of the platform's store, which rises when the store is restored from an older copy. Records that
    // were written since the copy was made are lost, and their epochs must not be given to other holders. So epochs
    // begin anew with each era, above all earlier ones.
    void learnEra(std::uint64_t era);
    // Reports the record that the platform holds now.
    void learnRecord(const ClaimTerm&, std::uint64_t revision, TimePoint now);
    void learnAbsent(TimePoint now);
    // Reports a record that a peer has adopted. Its revision is unknown, so a write is preceded by a read.
    void learnFromPeer(const ClaimTerm&, TimePoint now);
    void writeEnded(TermWrite, std::uint64_t newRevision, TimePoint now);
    // Reports a failed read, which is repeated.
    void readFailed(TimePoint now);
    void tick(TimePoint now);

    std::vector<TermAction> takeActions();
    const std::optional<ClaimTerm>& term() const { return term_; }

private:
    std::optional<ClaimTerm> desiredTerm(TimePoint now) const;
    std::size_t rankOf(const ClaimTerm& next) const;
    ClaimTerm inEra(ClaimTerm next) const;
    void adopt(const ClaimTerm&, TimePoint now);
    void read(TimePoint now);

    std::string zone_;
    BalancerId self_;
    TermTimes times_;
    MembersView view_;
    std::optional<ClaimTerm> term_;
    TimePoint adoptedAt_;
    std::uint64_t era_ = 0;
    // Revision of the platform's record; unset when the record must be read first.
    std::optional<std::uint64_t> revision_;
    std::optional<ClaimTerm> writing_;
    bool isReading_ = false;
    TimePoint nextCallAt_;
    std::optional<TimePoint> mismatchSince_;
    std::vector<TermAction> actions_;
};

}
