#pragma once

#include "Balancer/ConfigurationDownload.h"
#include "Core/Clock.h"
#include "Core/Log.h"
#include "Membership/Member.h"
#include "Net/Http2Client.h"
#include "Peers/Backoff.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <memory>
#include <random>

namespace wisteriadock {

// Fetches the configuration from a balancer that advertises a newer version: from one at a time, chosen at random,
// those of the own availability zone first. ConfigurationFeed calls poll() periodically.
class PeerConfiguration {
public:
    // Receives the head that a balancer serves and the function that fetches its parts.
    using Handler = std::function<void(const std::string& head, const ConfigurationFetch&)>;

    PeerConfiguration(boost::asio::io_context&, std::uint64_t seed, Handler);
    ~PeerConfiguration();
    PeerConfiguration(const PeerConfiguration&) = delete;
    PeerConfiguration& operator=(const PeerConfiguration&) = delete;

    // Sends a request if a member has a version above the given one and the next request is due.
    void poll(const MembersView&, std::uint64_t version, TimePoint now);
    // Must be called when the download that the handler started has ended. After a failure the next request waits
    // longer.
    void finish(bool isSuccess, TimePoint now);

    std::uint64_t bytesTransferred() const;

private:
    const Member* choose(const MembersView&, std::uint64_t version);
    void ask(const Member&);
    void fetch(const std::string& key, std::function<void(Result<std::string>)>);

    Log log_ { "configuration" };
    boost::asio::io_context& context_;
    Handler onHead_;
    Backoff backoff_;
    std::mt19937_64 random_;
    // When the next request is due; set while a newer version is known. Jittered, so that the balancers of a fleet do
    // not all ask the first one that has the version at the same time.
    std::optional<TimePoint> nextAsk_;
    bool isAsking_ = false;
    std::unique_ptr<Http2Client> client_;
    std::uint64_t closedClientBytes_ = 0;
};

}
