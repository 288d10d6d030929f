#pragma once

#include "Core/Error.h"
#include "StoreSync/StoreDelta.h"
#include "StoreSync/StoreReplica.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace wisteriadock {

// A delta that fits into one datagram, encoded once for all its receivers.
struct DeltaPiece {
    StoreDelta delta;
    // The output of encodeMessage() for the delta, compressed (zstd) if isCompressed.
    std::vector<std::uint8_t> bytes;
    bool isCompressed = false;
};

using DeltaPieces = std::vector<std::shared_ptr<const DeltaPiece>>;

// Encodes the delta as one piece without compression, however large it is.
std::shared_ptr<const DeltaPiece> pieceOf(StoreDelta);

// Decodes the bytes of a piece. Fails with InvalidArgument when they are malformed or too large.
Result<StoreDelta> decodePiece(std::span<const std::uint8_t> bytes, bool isCompressed);

// Splits the delta into pieces of at most maxBytes each, compressed where one piece would not hold everything. Each is
// complete for a receiver that has all pieces before it. An item larger than maxBytes is replaced by the replica's
// patch for it. Where that is too large as well, it is omitted, and the next piece is complete only for receivers that
// have the item already. Returns none if there would be more than maxPieces.
std::optional<DeltaPieces> splitDelta(
    const StoreDelta&, const StoreReplica&, std::size_t maxBytes, std::size_t maxPieces);

}
