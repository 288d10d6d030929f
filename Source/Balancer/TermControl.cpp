#include "Balancer/TermControl.h"

#include "Balancer/ClaimTermText.h"
#include "Request/RequestRouter.h"

#include <fmt/format.h>

#include <chrono>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    constexpr auto platformTimeout = 2000ms;
    // Spreads the platform reads of balancers that miss the same record.
    constexpr std::int64_t readJitterMilliseconds = 200;
    constexpr auto digestPeriod = 500ms;
    // The number of random balancers to which a new record is sent.
    constexpr int gossipFanout = 4;

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
    , reconciler_(zone_, self.id, {})
{
}

void TermControl::applyMembers(const MembersView& view, TimePoint now)
{
    reconciler_.learnMembers(view, now);
    perform(now);
}

void TermControl::tick(TimePoint now)
{
    reconciler_.tick(now);
    perform(now);
    if (fallbackReadAt_ && now >= *fallbackReadAt_) {
        fallbackReadAt_.reset();
        if (ownEpoch() == epochAtFetch_ && !readAt_)
            readAt_ = now;
    }
    if (readAt_ && now >= *readAt_) {
        readAt_.reset();
        read(now);
    }
    if (now < nextDigest_)
        return;
    nextDigest_ = now + digestPeriod;
    if (const auto peer = randomPeer())
        sendDigest(*peer);
}

// Asks other balancers first to save calls to the platform.
void TermControl::fetchNewer(TimePoint now)
{
    for (int i = 0; i < 2; ++i) {
        if (const auto peer = randomPeer())
            sendDigest(*peer);
    }
    if (fallbackReadAt_)
        return;
    epochAtFetch_ = ownEpoch();
    fallbackReadAt_ = now + digestPeriod + std::chrono::milliseconds(random_() % readJitterMilliseconds);
}

void TermControl::sendDigest(const BalancerInstance& to) { transport_.send(to, digest()); }

void TermControl::learnTerm(const ClaimTerm& term, TimePoint now)
{
    if (term.zone == zone_) {
        reconciler_.learnFromPeer(term, now);
        perform(now);
        return;
    }
    if (router_.learnTerm(term))
        gossip(term);
}

void TermControl::compareDigest(const BalancerInstance& from, const TermDigest& peerDigest)
{
    bool isBehind = false;
    for (const std::string& zone : router_.zones()) {
        const ClaimTerm* own = router_.termOf(zone);
        const std::uint64_t ownEpoch = own ? own->epoch : 0;
        std::uint64_t epoch = 0;
        for (const TermDigest::Row& row : peerDigest.rows)
            epoch = row.zone == zone ? row.epoch : epoch;
        if (ownEpoch > epoch)
            transport_.send(from, RequestMessage(TermUpdate { *own }));
        isBehind = isBehind || epoch > ownEpoch;
    }
    if (isBehind)
        sendDigest(from);
}

void TermControl::perform(TimePoint now)
{
    for (const TermAction& action : reconciler_.takeActions()) {
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
    gossip(term);
    onAdopted_(term);
}

void TermControl::gossip(const ClaimTerm& term)
{
    for (int i = 0; i < gossipFanout; ++i) {
        if (const auto peer = randomPeer())
            transport_.send(*peer, RequestMessage(TermUpdate { term }));
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
    reconciler_.learnEra(platform_.era());
    if (revision)
        reconciler_.writeEnded(TermWrite::Written, revision.value(), now);
    else if (revision.error().code == ErrorCode::Conflict)
        reconciler_.writeEnded(TermWrite::Conflict, 0, now);
    else if (revision.error().code == ErrorCode::Unknown || revision.error().code == ErrorCode::DeadlineExceeded)
        reconciler_.writeEnded(TermWrite::Unknown, 0, now);
    else
        reconciler_.writeEnded(TermWrite::Unreached, 0, now);
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
    reconciler_.learnEra(platform_.era());
    if (!entry && entry.error().code == ErrorCode::NotFound) {
        reconciler_.learnAbsent(now);
    } else if (!entry) {
        reconciler_.readFailed(now);
    } else if (const auto term = readClaimTerm(entry.value().value); term && term.value().zone == zone_) {
        reconciler_.learnRecord(term.value(), entry.value().revision, now);
    } else {
        log_.error(fmt::format("{} does not hold an ownership record of {}", entry.value().key, zone_));
        reconciler_.readFailed(now);
    }
    perform(now);
}

std::optional<BalancerInstance> TermControl::randomPeer()
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
