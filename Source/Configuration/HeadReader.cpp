#include "Configuration/HeadReader.h"

#include "Core/NameTable.h"

#include <fmt/format.h>

#include <utility>

namespace wisteriadock {

namespace {

    constexpr auto headProblemKindNames = makeNameTable<HeadProblemKind>({
        { HeadProblemKind::Malformed, "malformed" },
        { HeadProblemKind::OlderCopy, "older_copy" },
        { HeadProblemKind::PartMissing, "part_missing" },
        { HeadProblemKind::Unreachable, "unreachable" },
        { HeadProblemKind::WrongContent, "wrong_content" },
    });

}

std::string_view nameOf(HeadProblemKind kind) { return headProblemKindNames.name(kind); }

HeadAction HeadReader::handleHead(std::string_view value)
{
    reading_.reset();
    auto head = ConfigurationHead::parse(value);
    if (!head)
        return HeadProblem { HeadProblemKind::Malformed, head.error().detail };
    if (auto action = compareWithInForce(head.value().applied))
        return std::move(*action);
    reading_.emplace(std::move(head).value());
    return FetchPart { reading_->nextKey() };
}

// A platform restored from an older copy offers replaced versions and may assign a version number again. Balancers must
// not follow it, as that would revert accepted changes. Operators see the restore as older_copy in the balancers' logs,
// and as a head below the balancers' versions in ctl status.
std::optional<HeadAction> HeadReader::compareWithInForce(const AppliedVersion& applied) const
{
    if (!inForce_ || applied.version > inForce_->version)
        return std::nullopt;
    if (applied.version == inForce_->version && applied.contentHash == inForce_->contentHash)
        return NothingNew {};
    return HeadProblem { HeadProblemKind::OlderCopy,
        fmt::format("the head names version {} with content {}, but version {} with content {} is in force",
            applied.version, applied.contentHash, inForce_->version, inForce_->contentHash) };
}

HeadAction HeadReader::handlePart(const Result<std::string>& part)
{
    // The result belongs to a read that was cancelled.
    if (!reading_)
        return NothingNew {};
    if (!part) {
        const std::string detail = fmt::format("{}: {}", reading_->nextKey(), part.error().toString());
        reading_.reset();
        const bool isMissing = part.error().code == ErrorCode::NotFound;
        return HeadProblem { isMissing ? HeadProblemKind::PartMissing : HeadProblemKind::Unreachable, detail };
    }
    reading_->addPart(part.value());
    if (!reading_->isComplete())
        return FetchPart { reading_->nextKey() };

    auto version = std::exchange(reading_, std::nullopt)->finish();
    if (!version)
        return HeadProblem { HeadProblemKind::WrongContent, version.error().detail };
    inForce_ = version.value().head.applied;
    return PutInForce { std::move(version).value() };
}

}
