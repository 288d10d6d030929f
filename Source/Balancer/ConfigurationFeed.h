#pragma once

#include "Balancer/ConfigurationDownload.h"
#include "Balancer/PeerConfiguration.h"
#include "Balancer/PlatformWatch.h"
#include "Core/Log.h"
#include "KeyValue/PlatformClient.h"
#include "Membership/Member.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace wisteriadock {

// Obtains the operators' configuration and passes each newer version to the handler, never an older one. A few
// balancers of each availability zone watch the platform; the others fetch from them, and all balancers fetch from each
// other while the platform is unreachable. BalancerDaemon owns it. Everything runs on the thread of the io_context.
class ConfigurationFeed {
public:
    using Handler = std::function<void(const ConfigurationVersion&)>;

    // The platform client must outlive the feed.
    ConfigurationFeed(boost::asio::io_context&, PlatformClient&, std::uint64_t seed);
    ConfigurationFeed(const ConfigurationFeed&) = delete;
    ConfigurationFeed& operator=(const ConfigurationFeed&) = delete;

    // The handler runs for each version that comes into force.
    void start(std::shared_ptr<const MembersView>, Handler);
    void applyMembers(std::shared_ptr<const MembersView>);

    const std::optional<ConfigurationVersion>& inForce() const { return inForce_; }
    std::uint64_t version() const { return inForce_ ? inForce_->head.applied.version : 0; }
    // Bytes sent to and received from other balancers.
    std::uint64_t peerBytes() const { return peers_.bytesTransferred(); }

private:
    void schedulePoll();
    void poll();
    void downloadFromPlatform(const PlatformEntry&);
    void downloadFromPeer(const std::string& head, const ConfigurationFetch&);
    // Returns whether the download yielded a version, or showed that there is no newer one.
    bool finish(HeadAction, std::string_view source);
    void warnAboutMissingConfiguration(TimePoint now);

    Log log_ { "configuration" };
    boost::asio::steady_timer timer_;
    PlatformClient& platform_;
    ConfigurationDownload download_;
    // Whether the current download, if any, is from another balancer.
    bool downloadsFromPeer_ = false;
    Handler onVersion_;
    std::shared_ptr<const MembersView> view_;
    std::optional<ConfigurationVersion> inForce_;
    std::optional<TimePoint> nextWarning_;
    std::string lastProblem_;
    // Destroyed first: their destructors end open requests, whose callbacks use the members above.
    PlatformWatch watch_;
    PeerConfiguration peers_;
};

}
