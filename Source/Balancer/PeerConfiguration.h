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

// Reads the configuration from other balancers that say they have a newer one: one of them at a time, chosen at random
// with those of the own availability zone first. ConfigurationFeed calls poll() often.
class PeerConfiguration {
public:
    // Gets the head that a balancer serves, and where to fetch its parts.
    using Handler = std::function<void(const std::string& head, const ConfigurationFetch&)>;

    PeerConfiguration(boost::asio::io_context&, std::uint64_t seed, Handler);
    ~PeerConfiguration();
    PeerConfiguration(const PeerConfiguration&) = delete;
    PeerConfiguration& operator=(const PeerConfiguration&) = delete;

    // Asks a balancer when one has a version above the present one, and it is time.
    void poll(const MembersView&, std::uint64_t version, TimePoint now);
    // The read that followed the handler's call ended; without success the next one waits longer.
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
    // When a newer version was first seen, spread by chance, so that a fleet does not ask the first holder all at once.
    std::optional<TimePoint> nextAsk_;
    bool isAsking_ = false;
    std::unique_ptr<Http2Client> client_;
    std::uint64_t closedClientBytes_ = 0;
};

}
