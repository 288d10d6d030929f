#pragma once

#include "LoadReports/ZoneLoad.h"
#include "StoreSync/RelayTree.h"

#include <msgpack.hpp>

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace wisteriadock {

// One row of a report or digest. Services and zones are indexes of the message's names. Whole numbers take one to three
// bytes on the wire, so loads are in hundredths of a request and rates in tenths of a request per second.
struct LoadRowMessage {
    std::uint32_t service = 0;
    std::uint32_t priority = 0;
    std::uint32_t serverZone = 0;
    std::uint32_t inProgressHundredths = 0;
    std::uint32_t begunTenths = 0;
    std::uint32_t servedTenths = 0;
    std::uint32_t rejectedTenths = 0;
    std::uint32_t unansweredTenths = 0;
    std::uint32_t answerMilliseconds = 0;

    MSGPACK_DEFINE_ARRAY(service, priority, serverZone, inProgressHundredths, begunTenths, servedTenths, rejectedTenths,
        unansweredTenths, answerMilliseconds);
};

// What one balancer saw in one interval. Payload of PeerMessageKind::LoadReport.
struct LoadReportMessage {
    // Counts the reports of the sender's process.
    std::uint32_t sequence = 0;
    std::vector<std::string> names;
    std::vector<LoadRowMessage> rows;

    MSGPACK_DEFINE_ARRAY(sequence, names, rows);
};

// See ZoneLoad.
struct ZoneLoadMessage {
    std::uint32_t zone = 0;
    std::uint32_t aggregator = 0;
    std::uint64_t incarnation = 0;
    std::uint32_t sequence = 0;
    std::uint32_t covered = 0;
    std::uint32_t alive = 0;
    std::uint32_t ageMilliseconds = 0;
    std::vector<LoadRowMessage> rows;

    MSGPACK_DEFINE_ARRAY(zone, aggregator, incarnation, sequence, covered, alive, ageMilliseconds, rows);
};

// The loads of one or more zones. Payload of PeerMessageKind::LoadDigest. The receiver passes it on to the members of
// its zone from first to last; see RelayRange.
struct LoadDigestMessage {
    std::uint32_t origin = 0;
    std::uint32_t first = 1;
    std::uint32_t last = 0;
    std::vector<std::string> names;
    std::vector<ZoneLoadMessage> zones;

    MSGPACK_DEFINE_ARRAY(origin, first, last, names, zones);
};

// Rows that don't fit into a datagram are left out, those with the least load first.
std::vector<std::uint8_t> encodeReport(std::uint32_t sequence, std::vector<ObservedLoad> rows);
// Rows with an unknown name are left out.
std::vector<ObservedLoad> rowsOf(const LoadReportMessage&);

LoadDigestMessage digestOf(BalancerId origin, std::span<const ZoneLoad>, TimePoint now);
std::vector<ZoneLoad> zonesOf(const LoadDigestMessage&, TimePoint now);

}
