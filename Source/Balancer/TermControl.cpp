#include "Balancer/TermControl.h"

#include "Balancer/ClaimTermText.h"
#include "Request/RequestRouter.h"

#include <fmt/format.h>

#include <chrono>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    constexpr auto platformTimeout = 2000ms;
    // Balancers that miss the same record must not read it in one moment.
    constexpr std::int64_t readJitterMilliseconds = 200;
    constexpr auto comparisonPeriod = 500ms;
    // To how many random balancers news goes on; with 4, all but a few in a hundred hear of it before the comparisons.
    constexpr int newsReceivers = 4;

}

TermControl::TermControl(PlatformClient& platform, RequestRouter& router, RequestMessageTransport& transport,
    std::string zone, const BalancerInstance& self, std::uint64_t seed, AdoptHandler onAdopted)
    : platform_(platform)
    , router_(router)
    , transport_(transport)
    , zone_(std::move(zone))
    , self_(self)
    , random_(seed)
    , onAdopted_(std::move(onAdopted))
    , keeper_(zone_, self.id, {})
{
}

void TermControl::applyMembers(const MembersView& view, TimePoint now)
{
    keeper_.learnMembers(view, now);
    perform(now);
}

void TermControl::tick(TimePoint now)
{
    keeper_.tick(now);
    perform(now);
    if (lookAt_ && now >= *lookAt_) {
        lookAt_.reset();
        if (ownEpoch() == missedEpoch_ && !readAt_)
            readAt_ = now;
    }
    if (readAt_ && now >= *readAt_) {
        readAt_.reset();
        read(now);
    }
    if (now < nextComparison_)
        return;
    nextComparison_ = now + comparisonPeriod;
    if (const auto other = randomOther())
        ask(*other);
}

// Peers first: they have the record, and the platform counts every call.
void TermControl::want(TimePoint now)
{
    for (int i = 0; i < 2; ++i) {
        if (const auto other = randomOther())
            ask(*other);
    }
    if (lookAt_)
        return;
    missedEpoch_ = ownEpoch();
    lookAt_ = now + comparisonPeriod + std::chrono::milliseconds(random_() % readJitterMilliseconds);
}

void TermControl::ask(const BalancerInstance& to) { transport_.send(to, digest()); }

void TermControl::learn(const ClaimTerm& term, TimePoint now)
{
    if (term.zone == zone_) {
        keeper_.learnFromPeer(term, now);
        perform(now);
        return;
    }
    if (router_.learnTerm(term))
        spread(term);
}

void TermControl::compare(const BalancerInstance& from, const TermDigest& theirs)
{
    bool isBehind = false;
    for (const std::string& zone : router_.zones()) {
        const ClaimTerm* own = router_.termOf(zone);
        const std::uint64_t ownEpoch = own ? own->epoch : 0;
        std::uint64_t epoch = 0;
        for (const TermDigest::Row& row : theirs.rows)
            epoch = row.zone == zone ? row.epoch : epoch;
        if (ownEpoch > epoch)
            transport_.send(from, RequestMessage(TermUpdate { *own }));
        isBehind = isBehind || epoch > ownEpoch;
    }
    if (isBehind)
        ask(from);
}

void TermControl::perform(TimePoint now)
{
    for (const TermAction& action : keeper_.takeActions()) {
        if (const auto* wanted = std::get_if<WriteTerm>(&action))
            write(*wanted, now);
        else if (const auto* adopted = std::get_if<AdoptTerm>(&action))
            adopt(adopted->term);
        else
            readAt_ = now + std::chrono::milliseconds(random_() % readJitterMilliseconds);
    }
}

void TermControl::adopt(const ClaimTerm& term)
{
    log_.info(fmt::format("epoch {} of {} has {} holders", term.epoch, term.zone, term.holders.size()));
    router_.learnTerm(term);
    spread(term);
    onAdopted_(term);
}

void TermControl::spread(const ClaimTerm& term)
{
    for (int i = 0; i < newsReceivers; ++i) {
        if (const auto other = randomOther())
            transport_.send(*other, RequestMessage(TermUpdate { term }));
    }
}

void TermControl::write(const WriteTerm& wanted, TimePoint now)
{
    const std::weak_ptr<int> alive = alive_;
    platform_.compareAndSwap(claimTermKey(zone_), wanted.baseRevision, writeClaimTerm(wanted.term), {},
        now + platformTimeout, [this, alive](const Result<std::uint64_t>& revision) {
            if (!alive.expired())
                finishWrite(revision);
        });
}

void TermControl::finishWrite(const Result<std::uint64_t>& revision)
{
    const TimePoint now = Clock::now();
    if (revision)
        keeper_.writeEnded(TermWrite::Written, revision.value(), now);
    else if (revision.error().code == ErrorCode::Conflict)
        keeper_.writeEnded(TermWrite::Conflict, 0, now);
    else if (revision.error().code == ErrorCode::Unknown || revision.error().code == ErrorCode::DeadlineExceeded)
        keeper_.writeEnded(TermWrite::Unknown, 0, now);
    else
        keeper_.writeEnded(TermWrite::Unreached, 0, now);
    perform(now);
}

void TermControl::read(TimePoint now)
{
    const std::weak_ptr<int> alive = alive_;
    platform_.get(claimTermKey(zone_), now + platformTimeout, [this, alive](const Result<PlatformEntry>& entry) {
        if (!alive.expired())
            finishRead(entry);
    });
}

void TermControl::finishRead(const Result<PlatformEntry>& entry)
{
    const TimePoint now = Clock::now();
    if (!entry && entry.error().code == ErrorCode::NotFound) {
        keeper_.learnAbsent(now);
    } else if (!entry) {
        keeper_.readFailed(now);
    } else if (const auto term = readClaimTerm(entry.value().value); term && term.value().zone == zone_) {
        keeper_.learnRecord(term.value(), entry.value().revision, now);
    } else {
        log_.error(fmt::format("{} holds no ownership record of {}", entry.value().key, zone_));
        keeper_.readFailed(now);
    }
    perform(now);
}

std::optional<BalancerInstance> TermControl::randomOther()
{
    std::optional<BalancerInstance> chosen;
    std::uint64_t seen = 0;
    for (const Member& member : transport_.view()->members) {
        if (member.id != self_.id && member.state != MemberState::Dead && random_() % ++seen == 0)
            chosen = BalancerInstance { member.id, member.incarnation };
    }
    return chosen;
}

std::uint64_t TermControl::ownEpoch() const
{
    const ClaimTerm* term = router_.termOf(zone_);
    return term ? term->epoch : 0;
}

TermDigest TermControl::digest() const
{
    TermDigest digest;
    for (const std::string& zone : router_.zones()) {
        if (const ClaimTerm* term = router_.termOf(zone))
            digest.rows.push_back({ zone, term->epoch });
    }
    return digest;
}

}
