#include "LoadReports/LoadMessages.h"

#include "Wire/PeerMessageCodec.h"

#include <algorithm>
#include <cmath>

namespace wisteriadock {

namespace {

    // Far above any load of one balancer, and exact as a float.
    constexpr float maxWireValue = 16'000'000;

    std::uint32_t toWire(float value, float factor)
    {
        return static_cast<std::uint32_t>(std::lround(std::clamp(value * factor, 0.0F, maxWireValue)));
    }

    float fromWire(std::uint32_t value, float factor) { return static_cast<float>(value) / factor; }

    std::uint32_t wholeMilliseconds(Duration duration)
    {
        const auto milliseconds = std::chrono::round<std::chrono::milliseconds>(duration).count();
        return static_cast<std::uint32_t>(std::clamp<std::int64_t>(milliseconds, 0, maxWireValue));
    }

    std::uint32_t indexOf(std::vector<std::string>& names, const std::string& name)
    {
        const auto found = std::ranges::find(names, name);
        const auto index = static_cast<std::uint32_t>(found - names.begin());
        if (found == names.end())
            names.push_back(name);
        return index;
    }

    LoadRowMessage messageOf(const ObservedLoad& row, std::vector<std::string>& names)
    {
        const RequestLoad& load = row.load;
        return { indexOf(names, row.service), row.priority, indexOf(names, row.serverZone),
            toWire(load.inProgress, 100), toWire(load.begun, 10), toWire(load.served, 10), toWire(load.rejected, 10),
            toWire(load.unanswered, 10), wholeMilliseconds(load.answerTime) };
    }

    std::vector<ObservedLoad> rowsOf(const std::vector<LoadRowMessage>& messages, const std::vector<std::string>& names)
    {
        std::vector<ObservedLoad> rows;
        for (const LoadRowMessage& message : messages) {
            if (message.service >= names.size() || message.serverZone >= names.size())
                continue;
            RequestLoad load;
            load.inProgress = fromWire(message.inProgressHundredths, 100);
            load.begun = fromWire(message.begunTenths, 10);
            load.served = fromWire(message.servedTenths, 10);
            load.rejected = fromWire(message.rejectedTenths, 10);
            load.unanswered = fromWire(message.unansweredTenths, 10);
            load.answerTime = std::chrono::milliseconds(message.answerMilliseconds);
            rows.push_back({ names[message.service], names[message.serverZone], message.priority, load });
        }
        return rows;
    }

}

std::vector<std::uint8_t> encodeReport(std::uint32_t sequence, std::vector<ObservedLoad> rows)
{
    std::ranges::sort(
        rows, std::greater {}, [](const ObservedLoad& row) { return row.load.inProgress + row.load.begun; });
    for (;;) {
        LoadReportMessage message;
        message.sequence = sequence;
        for (const ObservedLoad& row : rows)
            message.rows.push_back(messageOf(row, message.names));
        std::vector<std::uint8_t> bytes = encodeMessage(message);
        if (bytes.size() <= maxPeerPayloadBytes || rows.empty())
            return bytes;
        rows.resize(std::min(rows.size() - 1, rows.size() * maxPeerPayloadBytes / bytes.size()));
    }
}

std::vector<ObservedLoad> rowsOf(const LoadReportMessage& message) { return rowsOf(message.rows, message.names); }

LoadDigestMessage digestOf(BalancerId origin, std::span<const ZoneLoad> zones, TimePoint now)
{
    LoadDigestMessage message;
    message.origin = origin.value;
    for (const ZoneLoad& zone : zones) {
        ZoneLoadMessage& entry = message.zones.emplace_back();
        entry.zone = indexOf(message.names, zone.zone);
        entry.aggregator = zone.aggregator.value;
        entry.incarnation = zone.incarnation;
        entry.sequence = zone.sequence;
        entry.covered = zone.covered;
        entry.alive = zone.alive;
        entry.ageMilliseconds = wholeMilliseconds(now - zone.madeAt);
        for (const ObservedLoad& row : zone.rows)
            entry.rows.push_back(messageOf(row, message.names));
    }
    return message;
}

std::vector<ZoneLoad> zonesOf(const LoadDigestMessage& message, TimePoint now)
{
    std::vector<ZoneLoad> zones;
    for (const ZoneLoadMessage& entry : message.zones) {
        if (entry.zone >= message.names.size())
            continue;
        zones.push_back({ message.names[entry.zone], BalancerId { entry.aggregator }, entry.incarnation, entry.sequence,
            entry.covered, entry.alive, now - std::chrono::milliseconds(entry.ageMilliseconds),
            rowsOf(entry.rows, message.names) });
    }
    return zones;
}

}
