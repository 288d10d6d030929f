#include "Membership/MembersPages.h"

#include "Wire/Compression.h"
#include "Wire/PeerMessageCodec.h"

#include <algorithm>
#include <utility>

namespace wisteriadock {

namespace {

    // The size of a page without its compressed rows.
    constexpr std::size_t pageOverheadBytes = 24;
    constexpr std::size_t maxCompressedBytes = maxPeerPayloadBytes - pageOverheadBytes;
    // The first attempt; fewer rows are tried if these do not fit.
    constexpr std::size_t maxCompressedRows = 96;
    // The largest decompressed size of maxCompressedRows rows with the longest names.
    constexpr std::size_t maxDecompressedBytes = std::size_t(32) * 1024;

    std::string compressedRows(const std::vector<MemberRow>& rows)
    {
        const std::vector<std::uint8_t> bytes = encodeMessage(rows);
        return compressBytes({ reinterpret_cast<const char*>(bytes.data()), bytes.size() });
    }

    MembersPageMessage compressedPage(std::uint32_t after, const MemberTable& table)
    {
        MembersPageMessage page { after, false, false, {} };
        std::vector<MemberRow> rows = table.rowsAfter(after, maxCompressedRows, page.last);
        page.compressedRows = compressedRows(rows);
        while (page.compressedRows.size() > maxCompressedBytes && rows.size() > 1) {
            // Slightly fewer rows than the ratio of the sizes suggests, since fewer rows compress less well.
            const std::size_t fitting = rows.size() * maxCompressedBytes / page.compressedRows.size();
            rows.resize(std::max<std::size_t>(1, std::min(rows.size() - 1, fitting * 15 / 16)));
            page.last = false;
            page.compressedRows = compressedRows(rows);
        }
        return page;
    }

}

MembersPageMessage pageFor(const MembersRequestMessage& request, const MemberTable& table)
{
    if (!request.ids.empty())
        return { request.after, true, false, table.rowsOf(request.ids) };
    if (request.acceptsCompressed)
        return compressedPage(request.after, table);
    MembersPageMessage page { request.after, false, false, {} };
    page.rows = table.page(request.after, page.last);
    return page;
}

Result<std::vector<MemberRow>> rowsOf(const MembersPageMessage& page)
{
    if (page.compressedRows.empty())
        return page.rows;
    BOOST_OUTCOME_TRY(bytes, decompressBytes(page.compressedRows, maxDecompressedBytes));
    return decodeMessage<std::vector<MemberRow>>(
        std::span(reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size()), maxDecompressedBytes);
}

}
