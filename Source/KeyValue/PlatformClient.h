#pragma once

#include "Core/Endpoint.h"
#include "KeyValue/KeyValueClient.h"
#include "KeyValue/Platform.h"
#include "KeyValue/PlatformCodec.h"
#include "Net/Http2Client.h"

#include <boost/asio/io_context.hpp>

#include <string>
#include <vector>

namespace wisteriadock {

// The platform over HTTP/2 and JSON (docs/design/platform.md), for balancers and the operators' ctl. It sends every
// call once and never again on its own: whether a write of unknown outcome may be repeated only its caller can tell.
// Not thread-safe: all calls and callbacks happen on the one thread that runs the io_context. Callbacks run exactly
// once, never inside the call, and at the latest when the client is destroyed.
class PlatformClient {
public:
    template <typename Value> using Callback = std::function<void(Result<Value>)>;

    PlatformClient(boost::asio::io_context&, Endpoint platform, Http2Limits = {});
    PlatformClient(const PlatformClient&) = delete;
    PlatformClient& operator=(const PlatformClient&) = delete;

    void get(const std::string& key, TimePoint deadline, Callback<PlatformEntry>);
    // A value over platformValueLimit ends with ResourceExhausted, one that is not UTF-8 with InvalidArgument; neither
    // is sent. A lease that has lapsed ends with NotFound. No lease unties the key from the one that it had.
    void compareAndSwap(const std::string& key, std::uint64_t revision, const std::string& value,
        std::optional<std::uint64_t> lease, TimePoint deadline, Callback<std::uint64_t>);
    // NotFound is the platform's word that the key has no newer value; DeadlineExceeded means that it said nothing.
    // A key that is deleted ends the watch with NotFound at once.
    void watch(const std::string& key, std::uint64_t revision, TimePoint deadline, Callback<PlatformEntry>);
    void grantLease(std::chrono::milliseconds timeToLive, TimePoint deadline, Callback<PlatformLease>);
    // NotFound when the lease has lapsed.
    void keepAlive(std::uint64_t lease, TimePoint deadline, Callback<PlatformLease>);
    void listVms(TimePoint deadline, Callback<std::vector<Vm>>);

    // For the control-traffic metrics.
    std::uint64_t bytesTransferred() const { return client_.http().bytesTransferred(); }

private:
    KeyValueClient<Http2Client, PlatformCodec> client_;
};

static_assert(PlatformService<PlatformClient>);

}
