#pragma once

#include "Core/Clock.h"
#include "KeyValue/PlatformClient.h"
#include "Membership/Member.h"
#include "Membership/Membership.h"
#include "Peers/Backoff.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace wisteriadock {

// Reads the platform's VM list periodically: often while this balancer knows no other, rarely otherwise to save calls
// to the platform. The seeds of the settings are added to every list, and reported alone while the platform is
// unreachable. BalancerDaemon calls it.
class VmListFeed {
public:
    using Handler = std::function<void(const std::vector<ListedVm>&)>;

    // The platform client must outlive the feed.
    VmListFeed(PlatformClient&, const std::vector<Endpoint>& seeds, std::uint64_t seed);
    VmListFeed(const VmListFeed&) = delete;
    VmListFeed& operator=(const VmListFeed&) = delete;

    void start(Handler);
    // Must be called periodically; reads the list when it is due.
    void poll(const MembersView&, TimePoint now);

private:
    void finish(const Result<std::vector<Vm>>&);

    PlatformClient& platform_;
    std::vector<ListedVm> seeds_;
    Handler onList_;
    Backoff searchingBackoff_;
    Backoff settledBackoff_;
    TimePoint nextCall_;
    bool isWaiting_ = false;
    bool knowsOthers_ = false;
    // Callbacks hold it weakly: the platform may answer after this object is destroyed.
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}
