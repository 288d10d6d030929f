#include "Flow/FlowParts.h"

#include <algorithm>
#include <utility>

namespace wisteriadock {

namespace {

    constexpr std::size_t overheadBytes = 90; // Envelope, header fields and UDP/IP headers.
    constexpr std::size_t bytesPerGroup = 9;
    constexpr std::size_t bytesPerFlow = 9;

}

std::shared_ptr<const FlowParts> splitIntoParts(const std::vector<KnownFlow>& flows)
{
    std::vector<KnownFlow> sorted = flows;
    std::sort(sorted.begin(), sorted.end(),
        [](const KnownFlow& a, const KnownFlow& b) { return std::pair(a.server, a.key) < std::pair(b.server, b.key); });
    auto parts = std::make_shared<FlowParts>(1);
    std::size_t flowsInPart = 0;
    for (const KnownFlow& flow : sorted) {
        if (flowsInPart == flowsPerMessage) {
            parts->emplace_back();
            flowsInPart = 0;
        }
        std::vector<FlowGroup>& groups = parts->back();
        if (groups.empty() || groups.back().backendServer != flow.server.value)
            groups.push_back({ flow.server.value, {} });
        groups.back().flows.push_back(flow.key);
        ++flowsInPart;
    }
    return parts;
}

std::vector<KnownFlow> flowsOf(const std::vector<FlowGroup>& groups)
{
    std::vector<KnownFlow> flows;
    for (const FlowGroup& group : groups) {
        for (const FlowKey key : group.flows)
            flows.push_back({ key, { group.backendServer } });
    }
    return flows;
}

std::size_t estimatedBytes(const std::vector<FlowGroup>& groups)
{
    std::size_t bytes = overheadBytes;
    for (const FlowGroup& group : groups)
        bytes += bytesPerGroup + group.flows.size() * bytesPerFlow;
    return bytes;
}

SendBudget::SendBudget(std::uint32_t bytesPerSecond, TimePoint now)
    : bytesPerSecond_(bytesPerSecond)
    , available_(bytesPerSecond)
    , refilledAt_(now)
{
}

void SendBudget::refill(TimePoint now)
{
    const double seconds = std::chrono::duration<double>(now - refilledAt_).count();
    refilledAt_ = now;
    available_ = std::min(bytesPerSecond_, available_ + seconds * bytesPerSecond_);
}

bool SendBudget::take(std::size_t bytes)
{
    if (available_ <= 0)
        return false;
    available_ -= double(bytes);
    return true;
}

PartSender::PartSender(std::shared_ptr<const FlowParts> parts, TimePoint now)
    : parts_(std::move(parts))
    , listId_(static_cast<std::uint64_t>(now.time_since_epoch().count()))
    , progress_(parts_->size())
    , unacknowledged_(parts_->size())
{
}

std::optional<std::uint32_t> PartSender::nextDue(TimePoint now, Duration retryInterval) const
{
    for (std::uint32_t part = 0; part < progress_.size(); ++part) {
        const Progress& progress = progress_[part];
        if (progress.acknowledged)
            continue;
        if (!progress.sentAt || now - *progress.sentAt >= retryInterval)
            return part;
    }
    return std::nullopt;
}

void PartSender::markSent(std::uint32_t part, TimePoint now) { progress_[part].sentAt = now; }

void PartSender::fill(FlowMessage& message, std::uint32_t part) const
{
    message.listId = listId_;
    message.part = part;
    message.partCount = static_cast<std::uint32_t>(parts_->size());
    message.groups = (*parts_)[part];
}

void PartSender::acknowledge(std::uint64_t listId, std::uint32_t part)
{
    if (listId != listId_ || part >= progress_.size() || progress_[part].acknowledged)
        return;
    progress_[part].acknowledged = true;
    --unacknowledged_;
}

bool PartReceiver::accept(const FlowMessage& message)
{
    if (message.partCount == 0 || message.partCount > maxParts || message.part >= message.partCount)
        return false;
    if (message.listId < listId_)
        return false;
    if (seen_.empty() || message.listId > listId_) {
        listId_ = message.listId;
        seen_.assign(message.partCount, false);
        missing_ = message.partCount;
    }
    if (seen_.size() != message.partCount || seen_[message.part])
        return false;
    seen_[message.part] = true;
    --missing_;
    return true;
}

}
