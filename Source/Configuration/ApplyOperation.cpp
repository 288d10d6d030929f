#include "Configuration/ApplyOperation.h"

#include "Configuration/ConfigurationContent.h"
#include "Configuration/ConfigurationWriter.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace wisteriadock {

namespace {

    constexpr Duration minRetryDelay = std::chrono::milliseconds(50);
    constexpr Duration maxRetryDelay = std::chrono::milliseconds(1600);

    std::uint64_t versionOf(const std::optional<ConfigurationHead>& head) { return head ? head->applied.version : 0; }

    // Errors that a retry of the same call can't resolve.
    bool isPermanent(ErrorCode code)
    {
        return code == ErrorCode::InvalidArgument || code == ErrorCode::ResourceExhausted;
    }

}

ApplyOperation::ApplyOperation(ApplyRequest request)
    : request_(std::move(request))
{
    const std::string text = writeConfiguration(request_.configuration);
    contentHash_ = contentHashOf(text);
    parts_ = splitContent(text);
}

ApplyAction ApplyOperation::start(TimePoint now)
{
    now_ = now;
    // The canonical text writes every key out, so it can be longer than the operator's file.
    if (parts_.size() > maxContentParts)
        return refuse(ApplyRefusal::BadStore,
            { fmt::format("the canonical text is longer than {} bytes", maxConfigurationBytes) });
    return goTo(Step::ReadHead);
}

ApplyAction ApplyOperation::handle(const ApplyEvent& event, TimePoint now)
{
    now_ = now;
    if (const auto* got = std::get_if<GetEnded>(&event))
        return handleGet(got->result);
    if (const auto* swapped = std::get_if<CompareAndSwapEnded>(&event))
        return handleSwap(swapped->result);
    return actionFor(step_);
}

ApplyAction ApplyOperation::actionFor(Step step)
{
    switch (step) {
    case Step::ReadHead:
    case Step::RereadHead:
        return GetKey { std::string(configurationHeadKey) };
    case Step::ReadBase:
        return GetKey { baseReader_->nextKey() };
    case Step::WritePart:
        return CompareAndSwapKey { contentPartKey(contentHash_, partsWritten_), 0, parts_[partsWritten_] };
    case Step::ComparePart:
        return GetKey { contentPartKey(contentHash_, partsWritten_) };
    case Step::SwapHead:
        return CompareAndSwapKey { std::string(configurationHeadKey), headRevision_, newHead_->toJson() };
    }
    return concludeUnknown("internal error: invalid step");
}

ApplyAction ApplyOperation::goTo(Step step)
{
    step_ = step;
    failures_ = 0;
    return actionFor(step);
}

ApplyAction ApplyOperation::retry(const Error& error)
{
    lastFailure_ = error.toString();
    const Duration delay = std::min(maxRetryDelay, minRetryDelay * (1U << std::min(failures_, 10U)));
    ++failures_;
    if (now_ + delay >= request_.deadline)
        return giveUp();
    return WaitForRetry { delay };
}

ApplyAction ApplyOperation::giveUp()
{
    if (mayBeApplied_)
        return concludeUnknown(lastFailure_);
    ApplyOutcome outcome;
    outcome.status = ApplyStatus::Unavailable;
    outcome.applyId = request_.applyId;
    outcome.baseVersion = versionOf(base_);
    outcome.details = { "nothing was applied: " + lastFailure_ };
    return outcome;
}

ApplyAction ApplyOperation::handleGet(const Result<StoredValue>& result)
{
    const bool isMissing = !result && result.error().code == ErrorCode::NotFound;
    if (!result && !isMissing)
        return retry(result.error());
    const StoredValue* value = result ? &result.value() : nullptr;
    switch (step_) {
    case Step::ReadHead:
        return handleHead(value);
    case Step::ReadBase:
        return handleBasePart(value);
    case Step::ComparePart:
        return handleStoredPart(value);
    case Step::RereadHead:
        return handleRereadHead(value);
    case Step::WritePart:
    case Step::SwapHead:
        break;
    }
    return concludeUnknown("internal error: unexpected answer to a read");
}

ApplyAction ApplyOperation::handleSwap(const Result<std::uint64_t>& result)
{
    if (!result && isPermanent(result.error().code)) {
        if (mayBeApplied_)
            return concludeUnknown(result.error().toString());
        return refuse(ApplyRefusal::BadStore, { result.error().toString() });
    }
    return step_ == Step::WritePart ? handlePartSwap(result) : handleHeadSwap(result);
}

ApplyAction ApplyOperation::handleHead(const StoredValue* stored)
{
    if (stored) {
        auto head = ConfigurationHead::parse(stored->value);
        if (!head)
            return refuse(ApplyRefusal::UnreadableBase, { head.error().detail });
        base_ = std::move(head).value();
        headRevision_ = stored->revision;
        // An earlier run of this apply was accepted.
        if (const AppliedVersion* recorded = base_->findApply(request_.applyId))
            return concludeFromRecord(*recorded);
    }
    if (request_.baseVersion && *request_.baseVersion != versionOf(base_)) {
        if (base_)
            return refuseSuperseded(ApplyRefusal::WrongBase, *base_);
        return refuse(ApplyRefusal::WrongBase,
            { fmt::format("base version {} does not exist; there is no version yet", *request_.baseVersion) });
    }
    if (!base_)
        return checkAgainst(Configuration());

    isUnchanged_ = base_->applied.contentHash == contentHash_ && request_.aboveVersion <= base_->applied.version;
    // The parts are written even so, which restores a missing one.
    if (isUnchanged_)
        return goTo(Step::WritePart);
    baseReader_.emplace(*base_);
    return goTo(Step::ReadBase);
}

ApplyAction ApplyOperation::handleBasePart(const StoredValue* part)
{
    if (!part)
        return handleUnreadableBase(fmt::format("{} is missing", baseReader_->nextKey()));
    baseReader_->addPart(part->value);
    if (!baseReader_->isComplete())
        return goTo(Step::ReadBase);
    const auto version = baseReader_->finish();
    if (!version)
        return handleUnreadableBase(version.error().detail);
    return checkAgainst(version.value().configuration);
}

ApplyAction ApplyOperation::handleUnreadableBase(const std::string& cause)
{
    if (!request_.allowUnreadableBase)
        return refuse(ApplyRefusal::UnreadableBase,
            { cause,
                "the change can't be checked against the version in force; --allow_unreadable_base skips the check" });
    return checkAgainst(Configuration());
}

ApplyAction ApplyOperation::checkAgainst(const Configuration& base)
{
    auto broken = checkChange(base, request_.configuration, request_.allowed);
    if (!broken.empty())
        return refuse(ApplyRefusal::BrokenRule, std::move(broken));
    prepareHead();
    return goTo(Step::WritePart);
}

void ApplyOperation::prepareHead()
{
    ConfigurationHead head;
    head.applied
        = { std::max(versionOf(base_), request_.aboveVersion) + 1, request_.applyId, contentHash_, request_.author };
    head.baseVersion = versionOf(base_);
    head.contentParts = parts_.size();
    for (const std::string& part : parts_)
        head.contentBytes += part.size();
    if (base_)
        head.previousApplies = base_->appliesForNext();
    newHead_ = std::move(head);
}

// Stored content never changes, so on a conflict the existing part is compared with the one to be written.
ApplyAction ApplyOperation::handlePartSwap(const Result<std::uint64_t>& result)
{
    if (result)
        return writeNextPart();
    if (result.error().code == ErrorCode::Conflict)
        return goTo(Step::ComparePart);
    return retry(result.error());
}

ApplyAction ApplyOperation::handleStoredPart(const StoredValue* part)
{
    if (part && part->value == parts_[partsWritten_])
        return writeNextPart();
    return refuse(ApplyRefusal::BadStore,
        { fmt::format("the content stored under {} does not match the hash in its key",
            contentPartKey(contentHash_, partsWritten_)) });
}

ApplyAction ApplyOperation::writeNextPart()
{
    ++partsWritten_;
    if (partsWritten_ < parts_.size())
        return goTo(Step::WritePart);
    if (isUnchanged_)
        return accept(base_->applied.version, true);
    return goTo(Step::SwapHead);
}

ApplyAction ApplyOperation::handleHeadSwap(const Result<std::uint64_t>& result)
{
    if (result)
        return accept(newHead_->applied.version);
    if (result.error().code == ErrorCode::Unavailable)
        return retry(result.error());
    if (result.error().code != ErrorCode::Conflict)
        mayBeApplied_ = true;
    lastFailure_ = result.error().toString();
    // Not goTo(), which resets the retry delay: writes and reads of the head may alternate, and the delay must keep
    // growing.
    step_ = Step::RereadHead;
    return actionFor(step_);
}

ApplyAction ApplyOperation::handleRereadHead(const StoredValue* stored)
{
    const std::uint64_t revision = stored ? stored->revision : 0;
    std::optional<ConfigurationHead> head;
    if (stored) {
        auto parsed = ConfigurationHead::parse(stored->value);
        if (!parsed)
            return concludeUnknown(parsed.error().detail);
        head = std::move(parsed).value();
    }
    // The head is compared too, since a platform restored from an older copy may assign a revision again to another
    // value.
    if (revision == headRevision_ && head == base_) {
        // The write has not taken effect, or not yet. It can be repeated: both writes expect the same revision, so at
        // most one takes effect.
        step_ = Step::SwapHead;
        return retry({ ErrorCode::Unknown, "the head is unchanged after: " + lastFailure_ });
    }
    if (!head)
        return concludeUnknown("the head no longer exists");
    if (const AppliedVersion* recorded = head->findApply(request_.applyId))
        return concludeFromRecord(*recorded);
    if (!mayBeApplied_)
        return refuseSuperseded(ApplyRefusal::LostRace, *head);
    // A head that records all applies since the base but not this one proves that another version replaced the base, so
    // the write can no longer take effect. Any other head proves nothing.
    if (head->applied.version > versionOf(base_) && head->recordsAllSince(versionOf(base_)))
        return refuseSuperseded(ApplyRefusal::LostRace, *head);
    return concludeUnknown(fmt::format("the head, now version {}, no longer records the applies since base version {}",
        head->applied.version, versionOf(base_)));
}

ApplyAction ApplyOperation::concludeFromRecord(const AppliedVersion& recorded)
{
    if (recorded.contentHash == contentHash_)
        return accept(recorded.version);
    return refuse(ApplyRefusal::ReusedApplyId,
        { fmt::format("apply id {} was already used for version {}, which has different content", recorded.applyId,
            recorded.version) });
}

ApplyAction ApplyOperation::accept(std::uint64_t version, bool isUnchanged)
{
    ApplyOutcome outcome;
    outcome.status = ApplyStatus::Accepted;
    outcome.applyId = request_.applyId;
    outcome.version = version;
    outcome.baseVersion = versionOf(base_);
    outcome.isUnchanged = isUnchanged;
    return outcome;
}

ApplyAction ApplyOperation::refuse(ApplyRefusal reason, std::vector<std::string> details)
{
    ApplyOutcome outcome;
    outcome.status = ApplyStatus::Refused;
    outcome.reason = reason;
    outcome.applyId = request_.applyId;
    outcome.baseVersion = versionOf(base_);
    outcome.details = std::move(details);
    return outcome;
}

ApplyAction ApplyOperation::refuseSuperseded(ApplyRefusal reason, const ConfigurationHead& head)
{
    const std::uint64_t base = request_.baseVersion.value_or(versionOf(base_));
    const AppliedVersion* successor = head.successorOf(base);
    const AppliedVersion& winner = successor ? *successor : head.applied;
    ApplyAction action = refuse(reason,
        { fmt::format("against base version {}, version {} of {} (apply id {}) was accepted first; the newest version "
                      "is {}",
            base, winner.version, winner.author, winner.applyId, head.applied.version) });
    if (!head.recordsAllSince(base))
        std::get<ApplyOutcome>(action).details.push_back(fmt::format(
            "the head no longer records whether an earlier run with apply id {} was accepted", request_.applyId));
    std::get<ApplyOutcome>(action).winner = winner;
    std::get<ApplyOutcome>(action).baseVersion = base;
    return action;
}

ApplyAction ApplyOperation::concludeUnknown(const std::string& cause)
{
    ApplyOutcome outcome;
    outcome.status = ApplyStatus::Unknown;
    outcome.applyId = request_.applyId;
    outcome.baseVersion = versionOf(base_);
    outcome.details = { "it is unknown whether the version was accepted: " + cause,
        fmt::format("to find out, run the same command again with --apply_id {} --base_version {}; it "
                    "is applied at most once",
            request_.applyId, versionOf(base_)) };
    return outcome;
}

}
