#include "KeyValue/PlatformClient.h"

#include "KeyValue/PlatformJson.h"

#include <algorithm>
#include <utility>

namespace wisteriadock {

namespace {

    // Returns how long the platform may hold a watch. The platform must answer shortly before the deadline, or an
    // unchanged key could end with DeadlineExceeded instead of NotFound.
    std::chrono::milliseconds watchTime(TimePoint deadline)
    {
        constexpr std::chrono::milliseconds maxMargin { 200 };
        constexpr int marginDivisor = 10;
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - Clock::now());
        const auto margin = std::min(left / marginDivisor, maxMargin);
        return std::clamp(left - margin, std::chrono::milliseconds(0), platformTimeLimit);
    }

}

PlatformClient::PlatformClient(boost::asio::io_context& context, Endpoint platform, Http2Limits limits)
    : client_(context, platform, limits)
{
}

void PlatformClient::get(const std::string& key, TimePoint deadline, Callback<PlatformEntry> callback)
{
    client_.send(GetCall { key }, deadline, std::move(callback));
}

void PlatformClient::compareAndSwap(const std::string& key, std::uint64_t revision, const std::string& value,
    std::optional<std::uint64_t> lease, TimePoint deadline, Callback<std::uint64_t> callback)
{
    client_.send(CompareAndSwapCall { key, revision, value, lease }, deadline, std::move(callback));
}

void PlatformClient::watch(
    const std::string& key, std::uint64_t revision, TimePoint deadline, Callback<PlatformEntry> callback)
{
    client_.send(WatchCall { key, revision, watchTime(deadline) }, deadline, std::move(callback));
}

void PlatformClient::grantLease(
    std::chrono::milliseconds timeToLive, TimePoint deadline, Callback<PlatformLease> callback)
{
    client_.send(GrantLeaseCall { timeToLive }, deadline, std::move(callback));
}

void PlatformClient::keepAlive(std::uint64_t lease, TimePoint deadline, Callback<PlatformLease> callback)
{
    client_.send(KeepAliveCall { lease }, deadline, std::move(callback));
}

void PlatformClient::listVms(TimePoint deadline, Callback<std::vector<Vm>> callback)
{
    client_.send(ListVmsCall {}, deadline, std::move(callback));
}

}
