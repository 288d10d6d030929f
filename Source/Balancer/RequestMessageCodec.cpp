#include "Balancer/RequestMessageCodec.h"

#include "Balancer/ByteArchive.h"

#include <concepts>
#include <optional>
#include <type_traits>
#include <utility>

namespace wisteriadock {

namespace {

    constexpr std::uint64_t codecVersion = 1;
    constexpr std::size_t messageKinds = std::variant_size_v<RequestMessage>;

    template <typename T> struct IsVector : std::false_type {
    };
    template <typename T> struct IsVector<std::vector<T>> : std::true_type {
    };
    template <typename T> struct IsOptional : std::false_type {
    };
    template <typename T> struct IsOptional<std::optional<T>> : std::true_type {
    };

    template <typename Archive, typename... Fields> void fields(Archive&, Fields&...);

    // The members of each type, in their order on the wire.
    void describe(auto& archive, BalancerInstance& value) { fields(archive, value.id.value, value.incarnation); }
    void describe(auto& archive, ServiceId& value) { fields(archive, value.value); }
    void describe(auto& archive, BackendServerId& value) { fields(archive, value.value); }
    void describe(auto& archive, KeyDigest& value) { fields(archive, value.high, value.low); }
    void describe(auto& archive, ForwardToken& value) { fields(archive, value.entry, value.number); }
    void describe(auto& archive, ClaimPair& value) { fields(archive, value.epoch, value.owner, value.backup); }
    void describe(auto& archive, PastTerm& value) { fields(archive, value.epoch, value.holders); }
    void describe(auto& archive, ClaimTerm& value)
    {
        fields(archive, value.zone, value.epoch, value.holders, value.previous, value.isHistoryComplete);
    }
    void describe(auto& archive, HttpHeader& value) { fields(archive, value.name, value.value); }
    void describe(auto& archive, HttpResponse& value) { fields(archive, value.status, value.headers, value.body); }
    // The time is left out because the clocks differ; ClaimCopy carries the age instead.
    void describe(auto& archive, ClaimRecord& value)
    {
        fields(archive, value.fingerprint, value.issuedEpoch, value.sequence, value.runner, value.state, value.answer);
    }
    void describe(auto& archive, ClaimCopy& value) { fields(archive, value.digest, value.record, value.age); }
    void describe(auto& archive, LostClaims& value)
    {
        fields(archive, value.floorEpoch, value.pairs, value.isHistoryComplete, value.remaining);
    }
    void describe(auto& archive, BucketContents& value)
    {
        fields(archive, value.claims, value.expiredEpoch, value.lost);
    }

    void describe(auto& archive, RecoverBucket& value) { fields(archive, value.epoch, value.bucket); }
    void describe(auto& archive, BucketSnapshot& value)
    {
        fields(archive, value.epoch, value.bucket, value.installedEpoch, value.contents);
    }
    void describe(auto& archive, InstallBucket& value)
    {
        fields(archive, value.epoch, value.bucket, value.baseEpoch, value.hasContents, value.contents);
    }
    void describe(auto& archive, BucketInstalled& value) { fields(archive, value.epoch, value.bucket, value.accepted); }
    void describe(auto& archive, ClaimKey& value)
    {
        fields(archive, value.epoch, value.bucket, value.sequence, value.digest, value.fingerprint, value.issuedEpoch);
    }
    void describe(auto& archive, ClaimReply& value) { fields(archive, value.epoch, value.sequence, value.accepted); }
    void describe(auto& archive, WithdrawClaim& value) { fields(archive, value.bucket, value.digest, value.sequence); }
    void describe(auto& archive, ClaimOutcome& value)
    {
        fields(archive, value.bucket, value.digest, value.sequence, value.isAnswered, value.answer);
    }
    void describe(auto& archive, CheckEpoch& value) { fields(archive, value.epoch, value.nonce); }
    void describe(auto& archive, EpochChecked& value) { fields(archive, value.epoch, value.nonce, value.accepted); }
    void describe(auto& archive, TermUpdate& value) { fields(archive, value.term); }
    void describe(auto& archive, BorrowSlot& value) { fields(archive, value.service, value.nonce); }
    void describe(auto& archive, SlotReply& value) { fields(archive, value.nonce, value.isLent, value.server); }
    void describe(auto& archive, ReturnSlot& value) { fields(archive, value.nonce, value.server); }
    void describe(auto& archive, AttemptReceived& value) { fields(archive, value.token); }
    void describe(auto& archive, TermDigest::Row& value) { fields(archive, value.zone, value.epoch); }
    void describe(auto& archive, TermDigest& value) { fields(archive, value.rows); }

    template <typename Integer> void integer(ByteWriter& writer, Integer& value)
    {
        writer.number(static_cast<std::uint64_t>(value), sizeof(Integer));
    }
    template <typename Integer> void integer(ByteReader& reader, Integer& value)
    {
        value = static_cast<Integer>(reader.number(sizeof(Integer)));
    }

    void text(ByteWriter& writer, std::string& value)
    {
        writer.number(value.size(), 4);
        writer.raw(value.data(), value.size());
    }
    void text(ByteReader& reader, std::string& value)
    {
        const auto bytes = reader.raw(reader.number(4));
        value.assign(bytes.begin(), bytes.end());
    }

    void flag(ByteWriter& writer, bool& value) { writer.number(value ? 1 : 0, 1); }
    void flag(ByteReader& reader, bool& value)
    {
        const std::uint64_t byte = reader.number(1);
        if (byte > 1)
            reader.fail();
        value = byte == 1;
    }

    void claimState(ByteWriter& writer, ClaimState& value) { integer(writer, value); }
    void claimState(ByteReader& reader, ClaimState& value)
    {
        integer(reader, value);
        if (value > ClaimState::Answered)
            reader.fail();
    }

    template <typename Archive> void sharedResponse(Archive& archive, SharedResponse& value)
    {
        bool isPresent = value != nullptr;
        flag(archive, isPresent);
        if (!isPresent)
            return;
        HttpResponse response = value ? *value : HttpResponse {};
        describe(archive, response);
        if constexpr (Archive::isReader)
            value = std::make_shared<const HttpResponse>(std::move(response));
    }

    template <typename Archive, typename Element> void list(Archive& archive, std::vector<Element>& values)
    {
        if constexpr (Archive::isReader) {
            const std::size_t count = archive.number(4);
            if (!archive.require(count))
                return;
            for (std::size_t i = 0; i < count && !archive.hasFailed(); ++i)
                fields(archive, values.emplace_back());
        } else {
            archive.number(values.size(), 4);
            for (Element& value : values)
                fields(archive, value);
        }
    }

    template <typename Archive, typename Value> void optionalValue(Archive& archive, std::optional<Value>& value)
    {
        bool isPresent = value.has_value();
        flag(archive, isPresent);
        if (!isPresent)
            return;
        if (!value)
            value.emplace();
        fields(archive, *value);
    }

    template <typename Archive, typename Field> void field(Archive& archive, Field& value)
    {
        if constexpr (std::same_as<Field, bool>)
            flag(archive, value);
        else if constexpr (std::integral<Field>)
            integer(archive, value);
        else if constexpr (std::same_as<Field, std::string>)
            text(archive, value);
        else if constexpr (std::same_as<Field, ClaimState>)
            claimState(archive, value);
        else if constexpr (std::same_as<Field, SharedResponse>)
            sharedResponse(archive, value);
        else if constexpr (std::same_as<Field, Duration>) {
            std::int64_t count = value.count();
            integer(archive, count);
            value = Duration(count);
        } else if constexpr (IsVector<Field>::value)
            list(archive, value);
        else if constexpr (IsOptional<Field>::value)
            optionalValue(archive, value);
        else
            describe(archive, value);
    }

    template <typename Archive, typename... Fields> void fields(Archive& archive, Fields&... values)
    {
        (field(archive, values), ...);
    }

    // Numbers the kinds by their index in RequestMessage, followed by AttemptReceived and TermDigest.
    std::uint64_t kindOf(const BalancerMessage& message)
    {
        if (const auto* request = std::get_if<RequestMessage>(&message))
            return request->index();
        return messageKinds + message.index() - 1;
    }

    template <std::size_t Index = 0> RequestMessage emptyMessage(std::size_t kind)
    {
        if constexpr (Index + 1 < messageKinds) {
            if (kind != Index)
                return emptyMessage<Index + 1>(kind);
        }
        return RequestMessage(std::in_place_index<Index>);
    }

    BalancerMessage emptyOf(std::uint64_t kind)
    {
        if (kind < messageKinds)
            return emptyMessage(kind);
        return kind == messageKinds ? BalancerMessage(AttemptReceived {}) : BalancerMessage(TermDigest {});
    }

    template <typename Archive> void contents(Archive& archive, BalancerMessage& message)
    {
        const auto describeOne = [&](auto& content) { describe(archive, content); };
        if (auto* request = std::get_if<RequestMessage>(&message))
            std::visit(describeOne, *request);
        else if (auto* received = std::get_if<AttemptReceived>(&message))
            describeOne(*received);
        else
            describeOne(std::get<TermDigest>(message));
    }

}

std::vector<std::uint8_t> encodeRequestMessage(AddressedMessage addressed)
{
    ByteWriter writer;
    writer.number(codecVersion, 1);
    writer.number(kindOf(addressed.message), 1);
    writer.number(addressed.receiverIncarnation, 8);
    contents(writer, addressed.message);
    return writer.take();
}

Result<AddressedMessage> decodeRequestMessage(std::span<const std::uint8_t> bytes)
{
    ByteReader reader(bytes);
    const std::uint64_t version = reader.number(1);
    const std::uint64_t kind = reader.number(1);
    if (version != codecVersion || kind > messageKinds + 1) {
        return Error { ErrorCode::InvalidArgument,
            "unsupported request message of version " + std::to_string(version) + " and kind " + std::to_string(kind) };
    }
    AddressedMessage addressed;
    addressed.receiverIncarnation = reader.number(8);
    addressed.message = emptyOf(kind);
    contents(reader, addressed.message);
    if (reader.hasFailed() || !reader.isAtEnd())
        return Error { ErrorCode::InvalidArgument, "request message is truncated or has trailing bytes" };
    return addressed;
}

}
