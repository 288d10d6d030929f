#include "Request/ClaimTable.h"

#include "Core/NameTable.h"

#include <algorithm>

namespace wisteriadock {

namespace {

    constexpr std::uint32_t bucketsExpiredPerCall = 8;

    constexpr auto stateNames = makeNameTable<ClaimState>({
        { ClaimState::Refused, "refused" },
        { ClaimState::Claimed, "claimed" },
        { ClaimState::Sent, "sent" },
        { ClaimState::Unknown, "unknown" },
        { ClaimState::Answered, "answered" },
    });

    std::size_t bytesOf(const SharedResponse& answer)
    {
        if (!answer)
            return 0;
        std::size_t bytes = answer->body.size();
        for (const HttpHeader& header : answer->headers)
            bytes += header.name.size() + header.value.size();
        return bytes;
    }

}

std::string_view nameOf(ClaimState state) { return stateNames.name(state); }

ClaimTable::ClaimTable(const ClaimLimits& limits)
    : limits_(limits)
    , buckets_(claimBucketCount)
{
}

const ClaimRecord* ClaimTable::find(std::uint32_t bucket, const KeyDigest& digest) const
{
    const auto found = buckets_[bucket].records.find(digest);
    return found == buckets_[bucket].records.end() ? nullptr : &found->second;
}

bool ClaimTable::put(std::uint32_t bucket, const KeyDigest& digest, ClaimRecord record)
{
    if (size_ >= limits_.claims && !find(bucket, digest))
        return false;
    store(bucket, digest, std::move(record));
    return true;
}

void ClaimTable::store(std::uint32_t bucket, const KeyDigest& digest, ClaimRecord record)
{
    const auto [entry, isNew] = buckets_[bucket].records.try_emplace(digest);
    if (isNew)
        ++size_;
    answerBytes_ -= bytesOf(entry->second.answer);
    dropLargeAnswer(record);
    answerBytes_ += bytesOf(record.answer);
    entry->second = std::move(record);
}

void ClaimTable::dropLargeAnswer(ClaimRecord& record)
{
    const std::size_t bytes = bytesOf(record.answer);
    if (bytes > limits_.maxKeptAnswerBytes || answerBytes_ + bytes > limits_.answerBytes)
        record.answer.reset();
}

void ClaimTable::erase(std::uint32_t bucket, const KeyDigest& digest)
{
    auto& records = buckets_[bucket].records;
    const auto found = records.find(digest);
    if (found == records.end())
        return;
    answerBytes_ -= bytesOf(found->second.answer);
    records.erase(found);
    --size_;
}

bool ClaimTable::mayHaveExpired(std::uint32_t bucket, const RequestKey& key) const
{
    return key.isTicket() && key.issuedEpoch < buckets_[bucket].expiredEpoch;
}

std::vector<ClaimCopy> ClaimTable::copy(std::uint32_t bucket, TimePoint now) const
{
    std::vector<ClaimCopy> copies;
    copies.reserve(buckets_[bucket].records.size());
    for (const auto& [digest, record] : buckets_[bucket].records)
        copies.push_back({ digest, record, now - record.since });
    // The order of a hash map differs from run to run; decisions must not.
    std::sort(copies.begin(), copies.end(),
        [](const ClaimCopy& first, const ClaimCopy& second) { return first.digest.low < second.digest.low; });
    return copies;
}

void ClaimTable::merge(std::uint32_t bucket, const BucketContents& contents, TimePoint now)
{
    buckets_[bucket].expiredEpoch = std::max(buckets_[bucket].expiredEpoch, contents.expiredEpoch);
    for (const ClaimCopy& copy : contents.claims) {
        const ClaimRecord* known = find(bucket, copy.digest);
        if (known && known->state >= copy.record.state)
            continue;
        ClaimRecord record = copy.record;
        record.since = now - copy.age;
        store(bucket, copy.digest, std::move(record));
    }
}

void ClaimTable::clear(std::uint32_t bucket)
{
    Bucket& cleared = buckets_[bucket];
    for (const auto& entry : cleared.records)
        answerBytes_ -= bytesOf(entry.second.answer);
    size_ -= cleared.records.size();
    cleared = Bucket();
}

void ClaimTable::expire(std::uint64_t currentEpoch, TimePoint now)
{
    for (std::uint32_t i = 0; i < bucketsExpiredPerCall; ++i) {
        expireBucket(buckets_[nextToExpire_], currentEpoch, now);
        nextToExpire_ = (nextToExpire_ + 1) % claimBucketCount;
    }
}

void ClaimTable::expireBucket(Bucket& bucket, std::uint64_t currentEpoch, TimePoint now)
{
    for (auto entry = bucket.records.begin(); entry != bucket.records.end();) {
        const ClaimRecord& record = entry->second;
        const bool isRefused = record.state == ClaimState::Refused;
        const bool isOld = isRefused ? now >= record.since : now - record.since >= limits_.retention;
        const bool mustStay = !isRefused && record.issuedEpoch >= currentEpoch;
        if (!isOld || mustStay) {
            ++entry;
            continue;
        }
        if (!isRefused && record.issuedEpoch != 0)
            bucket.expiredEpoch = std::max(bucket.expiredEpoch, record.issuedEpoch + 1);
        answerBytes_ -= bytesOf(record.answer);
        bucket.records.erase(entry++);
        --size_;
    }
}

}
