#include "Balancer/VmListFeed.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    constexpr auto callTimeout = 2000ms;
    // Backoff spreads each pause over half to all of its length.
    constexpr auto searchingPause = 1000ms;
    constexpr auto maxSearchingPause = 8000ms;
    constexpr auto settledPause = 120'000ms;

    bool hasOthers(const MembersView& view)
    {
        return std::ranges::any_of(view.members,
            [&](const Member& member) { return member.id != view.self && member.state != MemberState::Dead; });
    }

}

VmListFeed::VmListFeed(PlatformClient& platform, const std::vector<Endpoint>& seeds, std::uint64_t seed)
    : platform_(platform)
    , searchingBackoff_(searchingPause, maxSearchingPause, seed)
    , settledBackoff_(settledPause, settledPause, seed)
{
    for (const Endpoint address : seeds)
        seeds_.push_back({ .peerAddress = address });
}

void VmListFeed::start(Handler onList)
{
    onList_ = std::move(onList);
    onList_(seeds_);
}

void VmListFeed::poll(const MembersView& view, TimePoint now)
{
    const bool knowsOthers = hasOthers(view) && !view.isolated;
    // A balancer that has just lost contact with all others reads the list immediately.
    if (std::exchange(knowsOthers_, knowsOthers) && !knowsOthers) {
        searchingBackoff_.reset();
        nextCall_ = now;
    }
    if (isWaiting_ || now < nextCall_)
        return;
    isWaiting_ = true;
    const std::weak_ptr<int> alive = alive_;
    platform_.listVms(now + callTimeout, [this, alive](const Result<std::vector<Vm>>& vms) {
        if (!alive.expired())
            finish(vms);
    });
}

void VmListFeed::finish(const Result<std::vector<Vm>>& vms)
{
    isWaiting_ = false;
    nextCall_ = Clock::now() + (knowsOthers_ ? settledBackoff_ : searchingBackoff_).next();
    std::vector<ListedVm> listed = seeds_;
    if (vms) {
        for (const Vm& vm : vms.value()) {
            // Entries that can't be parsed are skipped.
            if (const auto address = Endpoint::parse(vm.peerAddress))
                listed.push_back({ .peerAddress = address.value(), .isLeaving = vm.state == VmState::Leaving });
        }
    }
    onList_(listed);
}

}
