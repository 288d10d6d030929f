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

// The client of the platform over HTTP/2 and JSON (docs/design/platform.md), used by balancers and the operators' ctl.
// Calls are not retried, since only the caller knows whether a write of unknown outcome may be repeated.
//
// Not thread-safe: calls must be made on the thread that runs the io_context. Each callback runs exactly once on that
// thread, never inside the call, and at the latest when the client is destroyed.
class PlatformClient {
public:
    template <typename Value> using Callback = std::function<void(Result<Value>)>;

    PlatformClient(boost::asio::io_context&, Endpoint platform, Http2Limits = {});
    PlatformClient(const PlatformClient&) = delete;
    PlatformClient& operator=(const PlatformClient&) = delete;

    void get(const std::string& key, TimePoint deadline, Callback<PlatformEntry>);
    // Fails without a request for a value larger than platformValueLimit (ResourceExhausted) or not UTF-8
    // (InvalidArgument). Fails with NotFound if the lease has expired. A write without a lease detaches the key from
    // its previous lease.
    void compareAndSwap(const std::string& key, std::uint64_t revision, const std::string& value,
        std::optional<std::uint64_t> lease, TimePoint deadline, Callback<std::uint64_t>);
    // Fails with NotFound if the key gets no newer value in time or, at once, if the key is deleted. Fails with
    // DeadlineExceeded if the platform does not answer.
    void watch(const std::string& key, std::uint64_t revision, TimePoint deadline, Callback<PlatformEntry>);
    void grantLease(std::chrono::milliseconds timeToLive, TimePoint deadline, Callback<PlatformLease>);
    // Fails with NotFound if the lease has expired.
    void keepAlive(std::uint64_t lease, TimePoint deadline, Callback<PlatformLease>);
    void listVms(TimePoint deadline, Callback<std::vector<Vm>>);

    // The highest era in an answer so far; see PlatformCodec::eraOf().
    std::uint64_t era() const { return client_.era(); }
    // Bytes sent and received, for the metrics of control traffic.
    std::uint64_t bytesTransferred() const { return client_.http().bytesTransferred(); }

private:
    KeyValueClient<Http2Client, PlatformCodec> client_;
};

static_assert(PlatformService<PlatformClient>);

}
