#include "StoreSync/DeltaPieces.h"

#include "Wire/Compression.h"
#include "Wire/PeerMessageCodec.h"

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>

namespace wisteriadock {

namespace {

    // Largest overhead of msgpack, in bytes: for a delta, and for each item.
    constexpr std::size_t deltaOverhead = 32;
    constexpr std::size_t itemOverhead = 24;

    // Bounds the memory that a malformed datagram can take.
    constexpr std::size_t maxPlainPieceBytes = std::size_t(64) * 1024;

    // Entries of servers compress to about a quarter. Pieces are filled beyond this only if they compress better.
    constexpr std::size_t expectedRatio = 4;
    // How much smaller than its last result suggests a piece is made, so that few have to be made again.
    constexpr double fillMargin = 0.9;

    std::size_t encodedSize(const StoreUpdate& item) { return item.key.size() + item.value.size() + itemOverhead; }

    StoreDelta emptyPiece(const StoreDelta& delta, std::uint64_t from)
    {
        StoreDelta piece;
        piece.from = from;
        piece.patchedFrom = from;
        piece.isInDoubt = delta.isInDoubt;
        piece.isFresh = delta.isFresh;
        piece.digest = delta.digest;
        return piece;
    }

    // An indivisible part of a delta: an update, or the patch that replaces it.
    struct Part {
        std::uint64_t revision = 0;
        std::size_t size = 0;
        const StoreUpdate* item = nullptr;
        const ValuePatch* patch = nullptr;
    };

    Part partOf(const ValuePatch& patch)
    {
        return { patch.revision, patch.key.size() + patch.bytes.size() + itemOverhead, nullptr, &patch };
    }

    Part partOf(const StoreUpdate& item, const StoreReplica& replica, std::size_t maxBytes)
    {
        const Part full { item.revision, encodedSize(item), &item, nullptr };
        const ValuePatch* patch
            = deltaOverhead + full.size > maxBytes ? replica.patchTo(item.key, item.revision) : nullptr;
        return patch ? partOf(*patch) : full;
    }

    std::vector<Part> partsOf(const StoreDelta& delta, const StoreReplica& replica, std::size_t maxBytes)
    {
        std::vector<Part> parts;
        for (const StoreUpdate& item : delta.items)
            parts.push_back(partOf(item, replica, maxBytes));
        for (const ValuePatch& patch : delta.patches)
            parts.push_back(partOf(patch));
        std::ranges::sort(parts, {}, &Part::revision);
        return parts;
    }

    // One piece, and where the next one begins.
    struct Cut {
        StoreDelta piece;
        std::size_t nextPart = 0;
        std::uint64_t nextFrom = 0;
    };

    // Cuts a delta's parts into pieces, one after the other.
    class Splitter {
    public:
        Splitter(const StoreDelta& delta, const StoreReplica& replica, std::size_t maxBytes)
            : delta_(delta)
            , maxBytes_(maxBytes)
            , parts_(partsOf(delta, replica, maxBytes))
            , from_(delta.from)
        {
        }

        bool isDone() const { return isDone_; }

        std::shared_ptr<const DeltaPiece> next()
        {
            Cut cut = cutPiece(plainBytes_);
            auto piece = encode(cut.piece);
            while (piece->bytes.size() > maxBytes_ && plainBytes_ > maxBytes_) {
                plainBytes_ = std::max(maxBytes_, sizeFor(*piece, cut));
                cut = cutPiece(plainBytes_);
                piece = encode(cut.piece);
            }
            if (piece->isCompressed)
                plainBytes_ = std::max(maxBytes_, sizeFor(*piece, cut));
            nextPart_ = cut.nextPart;
            from_ = cut.nextFrom;
            isDone_ = nextPart_ == parts_.size();
            return piece;
        }

    private:
        // The uncompressed size of a piece that would fill a datagram if it compressed as this one does.
        std::size_t sizeFor(const DeltaPiece& piece, const Cut& cut) const
        {
            std::size_t plain = deltaOverhead;
            for (std::size_t i = nextPart_; i < cut.nextPart; ++i)
                plain += parts_[i].size;
            const double scale = static_cast<double>(maxBytes_) / static_cast<double>(piece.bytes.size());
            const auto size = static_cast<std::size_t>(fillMargin * scale * static_cast<double>(plain));
            return std::min(size, maxPlainPieceBytes / 2);
        }

        std::shared_ptr<const DeltaPiece> encode(const StoreDelta& delta) const
        {
            auto piece = std::make_shared<DeltaPiece>(DeltaPiece { delta, encodeMessage(delta) });
            if (piece->bytes.size() <= maxBytes_)
                return piece;
            const std::string compressed
                = compressBytes({ reinterpret_cast<const char*>(piece->bytes.data()), piece->bytes.size() });
            if (!compressed.empty()) {
                piece->bytes.assign(compressed.begin(), compressed.end());
                piece->isCompressed = true;
            }
            return piece;
        }

        Cut cutPiece(std::size_t plainBytes) const
        {
            Cut cut { emptyPiece(delta_, from_), nextPart_, delta_.to };
            std::size_t size = deltaOverhead;
            std::optional<std::uint64_t> lastRevision;
            for (; cut.nextPart < parts_.size(); ++cut.nextPart) {
                const Part& part = parts_[cut.nextPart];
                const bool isTooLarge = deltaOverhead + part.size > maxBytes_;
                const bool isFull = size + part.size > plainBytes;
                if (lastRevision && (isTooLarge || isFull)) {
                    // A piece with only some of the items of a revision must not make the receiver complete up to it.
                    const bool splitsRevision = *lastRevision == part.revision;
                    cut.piece.to = std::min(part.revision - 1, delta_.to);
                    cut.nextFrom = std::min(splitsRevision ? part.revision : part.revision - 1, delta_.to);
                    return cut;
                }
                // A receiver that does not support patches lacks the item. The delta is complete up to its revision
                // without items beyond it, which a replica has after a gap or from a newer page of a listing.
                const bool isNeeded = part.revision <= delta_.to;
                if (isNeeded && (isTooLarge || part.patch))
                    cut.piece.from = std::max(cut.piece.from, part.revision);
                if (isTooLarge) {
                    if (isNeeded)
                        cut.piece.patchedFrom = cut.piece.from;
                    continue;
                }
                size += part.size;
                lastRevision = part.revision;
                if (part.patch)
                    cut.piece.patches.push_back(*part.patch);
                else
                    cut.piece.items.push_back(*part.item);
            }
            cut.piece.to = delta_.to;
            return cut;
        }

        const StoreDelta& delta_;
        const std::size_t maxBytes_;
        const std::vector<Part> parts_;
        // The uncompressed size up to which the next piece is filled.
        std::size_t plainBytes_ = expectedRatio * maxBytes_;
        std::size_t nextPart_ = 0;
        std::uint64_t from_ = 0;
        bool isDone_ = false;
    };

}

std::shared_ptr<const DeltaPiece> pieceOf(StoreDelta delta)
{
    auto piece = std::make_shared<DeltaPiece>();
    piece->bytes = encodeMessage(delta);
    piece->delta = std::move(delta);
    return piece;
}

Result<StoreDelta> decodePiece(std::span<const std::uint8_t> bytes, bool isCompressed)
{
    if (!isCompressed)
        return decodeMessage<StoreDelta>(bytes);
    BOOST_OUTCOME_TRY(
        plain, decompressBytes({ reinterpret_cast<const char*>(bytes.data()), bytes.size() }, maxPlainPieceBytes));
    return decodeMessage<StoreDelta>(
        std::span(reinterpret_cast<const std::uint8_t*>(plain.data()), plain.size()), maxPlainPieceBytes);
}

std::optional<DeltaPieces> splitDelta(
    const StoreDelta& delta, const StoreReplica& replica, std::size_t maxBytes, std::size_t maxPieces)
{
    DeltaPieces pieces;
    Splitter splitter(delta, replica, maxBytes);
    while (!splitter.isDone()) {
        if (pieces.size() == maxPieces)
            return std::nullopt;
        pieces.push_back(splitter.next());
    }
    return pieces;
}

}
