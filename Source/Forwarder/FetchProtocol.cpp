#include "Forwarder/FetchProtocol.h"

#include "Wire/Compression.h"
#include "Wire/PeerMessageCodec.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <optional>
#include <span>
#include <string_view>

namespace wisteriadock {

namespace {

    // A fetch requests this path followed by the revision after which changes are wanted.
    constexpr std::string_view deltaPath = "/news/";
    // Sent by balancers that accept patches of large values, and by those that want the updates of their zone only.
    // Earlier versions neither send nor read them, nor the encodings, and answer with everything.
    constexpr const char* acceptsPatchesHeader = "wisteriadock-takes-patches";
    constexpr const char* ownZoneHeader = "wisteriadock-own-zone";
    constexpr const char* acceptEncodingHeader = "accept-encoding";
    constexpr const char* contentEncodingHeader = "content-encoding";
    constexpr const char* zstdEncoding = "zstd";

    std::optional<std::uint64_t> revisionIn(std::string_view path)
    {
        if (!path.starts_with(deltaPath))
            return std::nullopt;
        path.remove_prefix(deltaPath.size());
        std::uint64_t after = 0;
        const char* end = path.data() + path.size();
        const auto parsed = std::from_chars(path.data(), end, after);
        return parsed.ec == std::errc() && parsed.ptr == end ? std::optional(after) : std::nullopt;
    }

    std::string encodedBody(const StoreDelta& delta, bool isCompressed)
    {
        const std::vector<std::uint8_t> bytes = encodeMessage(delta);
        std::string body(bytes.begin(), bytes.end());
        return isCompressed ? compressBytes(body) : body;
    }

}

HttpRequest fetchRequest(const FetchDelta& fetch)
{
    HttpRequest request;
    request.path = fmt::format("{}{}", deltaPath, fetch.after);
    request.authority = fetch.address.toString();
    request.headers.push_back({ acceptEncodingHeader, zstdEncoding });
    if (fetch.encoding == StoreReplica::Encoding::Patched)
        request.headers.push_back({ acceptsPatchesHeader, "1" });
    if (fetch.scope == FetchScope::OwnZone)
        request.headers.push_back({ ownZoneHeader, "1" });
    return request;
}

Result<StoreDelta> deltaOf(const HttpResponse& response)
{
    if (response.status != 200)
        return Error { ErrorCode::Unavailable, fmt::format("status {}", response.status) };
    const auto decode = [](const std::string& body) {
        return decodeMessage<StoreDelta>(
            std::span(reinterpret_cast<const std::uint8_t*>(body.data()), body.size()), maxDeltaBytes);
    };
    if (response.header(contentEncodingHeader) != zstdEncoding)
        return decode(response.content());
    BOOST_OUTCOME_TRY(plain, decompressBytes(response.content(), maxDeltaBytes));
    return decode(plain);
}

HttpResponse FetchAnswers::answer(const HttpRequest& request, TimePoint now)
{
    HttpResponse response;
    const auto after = revisionIn(request.path);
    if (!after) {
        response.status = 404;
        return response;
    }
    const Kind kind = kindOf(request, *after);
    response.sharedBody = bodyOf(kind, now);
    if (kind.isCompressed)
        response.headers.push_back({ contentEncodingHeader, zstdEncoding });
    return response;
}

FetchAnswers::Kind FetchAnswers::kindOf(const HttpRequest& request, std::uint64_t after) const
{
    Kind kind { after, replica_.completeTo() };
    if (!request.header(acceptsPatchesHeader).empty())
        kind.encoding = StoreReplica::Encoding::Patched;
    if (!request.header(ownZoneHeader).empty() && after == 0 && replica_.size() >= minEntriesForScopes)
        kind.scope = FetchScope::OwnZone;
    kind.isCompressed = request.header(acceptEncodingHeader) == zstdEncoding;
    return kind;
}

std::shared_ptr<const std::string> FetchAnswers::bodyOf(const Kind& kind, TimePoint now)
{
    tick(now);
    const auto found = std::ranges::find(answers_, kind, &Answer::kind);
    if (found != answers_.end())
        return found->body;
    if (answers_.size() == maxAnswers)
        answers_.erase(answers_.begin());
    const StoreDelta delta = kind.scope == FetchScope::OwnZone ? replica_.excerpt(isOfOwnZone_, now)
                                                               : replica_.deltaSince(kind.after, now, kind.encoding);
    answers_.push_back({ kind, std::make_shared<const std::string>(encodedBody(delta, kind.isCompressed)), now });
    return answers_.back().body;
}

void FetchAnswers::tick(TimePoint now)
{
    std::erase_if(answers_, [&](const Answer& answer) { return now - answer.madeAt > lifetime; });
}

}
