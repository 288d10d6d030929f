#include "Membership/MembersPages.h"

#include "Wire/Compression.h"
#include "Wire/PeerMessageCodec.h"

#include <algorithm>
#include <utility>

namespace wisteriadock {

namespace {

    // The size of a page without its packed rows.
    constexpr std::size_t pageOverheadBytes = 24;
    constexpr std::size_t maxPackedBytes = maxPeerPayloadBytes - pageOverheadBytes;
    // Packed first; fewer rows are tried if these do not fit.
    constexpr std::size_t maxPackedRows = 96;
    // The largest unpacked size of maxPackedRows rows with the longest names.
    constexpr std::size_t maxUnpackedBytes = std::size_t(32) * 1024;

    std::string packedRows(const std::vector<MemberRow>& rows)
    {
        const std::vector<std::uint8_t> bytes = encodeMessage(rows);
        return compressBytes({ reinterpret_cast<const char*>(bytes.data()), bytes.size() });
    }

    MembersPageMessage packedPage(std::uint32_t after, const MemberTable& table)
    {
        MembersPageMessage page { after, false, false, {} };
        std::vector<MemberRow> rows = table.rowsAfter(after, maxPackedRows, page.last);
        page.packedRows = packedRows(rows);
        while (page.packedRows.size() > maxPackedBytes && rows.size() > 1) {
            // Slightly fewer rows than the ratio of the sizes suggests, since fewer rows compress less well.
            const std::size_t fitting = rows.size() * maxPackedBytes / page.packedRows.size();
            rows.resize(std::max<std::size_t>(1, std::min(rows.size() - 1, fitting * 15 / 16)));
            page.last = false;
            page.packedRows = packedRows(rows);
        }
        return page;
    }

}

MembersPageMessage pageFor(const MembersRequestMessage& request, const MemberTable& table)
{
    if (!request.ids.empty())
        return { request.after, true, false, table.rowsOf(request.ids) };
    if (request.takesPacked)
        return packedPage(request.after, table);
    MembersPageMessage page { request.after, false, false, {} };
    page.rows = table.page(request.after, page.last);
    return page;
}

Result<std::vector<MemberRow>> rowsOf(const MembersPageMessage& page)
{
    if (page.packedRows.empty())
        return page.rows;
    BOOST_OUTCOME_TRY(bytes, decompressBytes(page.packedRows, maxUnpackedBytes));
    return decodeMessage<std::vector<MemberRow>>(
        std::span(reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size()), maxUnpackedBytes);
}

}
