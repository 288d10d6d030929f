#include "StoreSync/CompressedValue.h"
#include "StoreSync/StoreReplica.h"

#include <gtest/gtest.h>

#include <fmt/format.h>

#include <map>
#include <random>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    // A large value. Each version differs from the one before in a few lines.
    std::string textOf(std::uint64_t version, int lines = 400)
    {
        std::string text = fmt::format("version {}\n", version);
        for (int line = 0; line < lines; ++line)
            text += fmt::format(
                "route {:x} to service {}\n", line * 7919, line % 37 == static_cast<int>(version % 37) ? version : 1);
        return text;
    }

    StoreUpdate itemOf(std::uint64_t revision, std::string text)
    {
        StoreUpdate item { "configuration", std::move(text), revision, false };
        compressValue(item);
        return item;
    }

    StoreDelta storeDelta(std::uint64_t from, std::uint64_t to, const std::string& text)
    {
        return { from, to, from == 0, false, { itemOf(to, text) } };
    }

    TEST(ValuePatchTest, PatchIsSmallAndRestoresTheValue)
    {
        const std::string former = textOf(1, 10000);
        const std::string value = textOf(2, 10000);
        const auto bytes = patchBytes(former, value);
        ASSERT_TRUE(bytes);
        EXPECT_LT(bytes->size(), value.size() / 100);
        const ValuePatch patch { "configuration", 1, 2, *bytes };
        EXPECT_EQ(applyPatch(former, patch).value(), value);
        {
            SCOPED_TRACE("a patch for another value is rejected by its checksum");
            EXPECT_FALSE(applyPatch(textOf(3, 10000), patch));
            EXPECT_FALSE(applyPatch("", patch));
        }
    }

    TEST(ValuePatchTest, CorruptBytesAreRejected)
    {
        const std::string former = textOf(1);
        const std::string value = textOf(2);
        const ValuePatch good { "configuration", 1, 2, patchBytes(former, value).value() };
        std::mt19937 random(5);
        for (int round = 0; round < 5000; ++round) {
            ValuePatch patch = good;
            patch.bytes[random() % patch.bytes.size()] ^= static_cast<char>(1 + random() % 255);
            if (random() % 4 == 0)
                patch.bytes.resize(random() % patch.bytes.size());
            const auto patched = applyPatch(former, patch);
            EXPECT_TRUE(!patched || patched.value() == value);
        }
    }

    TEST(ValuePatchTest, UnrelatedValuesHaveNoPatch)
    {
        std::mt19937 random(3);
        std::string noise(5000, ' ');
        for (char& byte : noise)
            byte = static_cast<char>(random());
        EXPECT_FALSE(patchBytes(textOf(1), noise));
    }

    TEST(ValuePatchTest, HolderOfAnEarlierVersionGetsPatches)
    {
        const TimePoint now = ManualClock().now();
        StoreReplica sender;
        StoreReplica receiver;
        sender.mergeFromStore(storeDelta(0, 1, textOf(1)), now);
        receiver.merge(sender.deltaSince(0, now, StoreReplica::Encoding::Patched), now);
        for (std::uint64_t revision = 2; revision <= 5; ++revision)
            sender.mergeFromStore(storeDelta(revision - 1, revision, textOf(revision)), now);
        const StoreDelta delta = sender.deltaSince(1, now, StoreReplica::Encoding::Patched);
        EXPECT_TRUE(delta.items.empty());
        EXPECT_EQ(delta.patches.size(), 4U);
        {
            SCOPED_TRACE("several versions are one update");
            const auto changed = receiver.merge(delta, now);
            ASSERT_EQ(changed.size(), 1U);
            EXPECT_EQ(changed.front().value, textOf(5));
            EXPECT_EQ(receiver.completeTo(), 5U);
        }
        {
            SCOPED_TRACE("the receiver can send the patches on, or the whole value");
            EXPECT_EQ(receiver.deltaSince(3, now, StoreReplica::Encoding::Patched).patches.size(), 2U);
            const StoreDelta full = receiver.deltaSince(3, now);
            ASSERT_EQ(full.items.size(), 1U);
            EXPECT_EQ(plainValue(full.items.front()).value(), textOf(5));
        }
        {
            SCOPED_TRACE("patches without their base value change and complete nothing");
            StoreReplica other;
            other.merge(storeDelta(0, 2, "another text"), now);
            EXPECT_TRUE(other.merge(delta, now).empty());
            EXPECT_TRUE(other.lacksPatchBase());
            EXPECT_EQ(other.completeTo(), 2U);
            other.merge(sender.deltaSince(2, now), now);
            EXPECT_FALSE(other.lacksPatchBase());
            EXPECT_EQ(other.completeTo(), 5U);
        }
    }

    // Guards against patches missing for all but the last version when one answer of the store holds several.
    TEST(ValuePatchTest, EachVersionOfOneAnswerHasItsPatch)
    {
        const TimePoint now = ManualClock().now();
        StoreReplica replica;
        replica.mergeFromStore(storeDelta(0, 1, textOf(1)), now);
        StoreDelta answer { 1, 3, false, false, { itemOf(2, textOf(2)), itemOf(3, textOf(3)) } };
        replica.mergeFromStore(answer, now);
        for (const std::uint64_t revision : { 2U, 3U }) {
            const ValuePatch* patch = replica.patchTo("configuration", revision);
            ASSERT_NE(patch, nullptr) << revision;
            EXPECT_EQ(patch->base, revision - 1);
        }
        EXPECT_EQ(replica.patchTo("configuration", 1), nullptr);
        EXPECT_EQ(replica.patchTo("another", 3), nullptr);
    }

    TEST(ValuePatchTest, PatchesTakeNoMoreMemoryThanTheirValue)
    {
        const TimePoint now = ManualClock().now();
        StoreReplica replica;
        std::uint64_t revision = 1;
        replica.mergeFromStore(storeDelta(0, revision, textOf(1)), now);
        std::mt19937 random(9);
        for (; revision < 40; ++revision) {
            // A third of the value changes each time.
            std::string text = textOf(1);
            for (std::size_t at = 0; at < text.size() / 3; ++at)
                text[at] = static_cast<char>('a' + random() % 26);
            replica.mergeFromStore(storeDelta(revision, revision + 1, text), now);
        }
        std::size_t bytes = 0;
        for (std::uint64_t to = 1; to <= revision; ++to) {
            if (const ValuePatch* patch = replica.patchTo("configuration", to))
                bytes += patch->bytes.size();
        }
        EXPECT_GT(bytes, 0U);
        EXPECT_LE(bytes, textOf(1).size());
    }

    // Guards against wrong, incomplete or outdated values when deltas are late, repeated, reordered or lost.
    TEST(ValuePatchTest, NoReplicaHoldsAValueThatWasNeverWritten)
    {
        for (std::uint32_t seed = 1; seed <= 20; ++seed) {
            SCOPED_TRACE(seed);
            std::mt19937 random(seed);
            const TimePoint now = ManualClock().now();
            std::map<std::uint64_t, std::string> written { { 1, textOf(1) } };
            std::vector<StoreReplica> replicas(6);
            std::vector<StoreDelta> late;
            constexpr std::size_t watchers = 2;
            for (StoreReplica& replica : replicas)
                replica.mergeFromStore(storeDelta(0, 1, textOf(1)), now);
            const auto check = [&](const StoreReplica& replica) {
                for (const StoreUpdate& item : replica.deltaSince(0, now).items) {
                    ASSERT_EQ(plainValue(item).value(), written.at(item.revision));
                    ASSERT_GE(item.revision, std::prev(written.upper_bound(replica.completeTo()))->first);
                }
            };
            const auto ask = [&](StoreReplica& replica, const StoreReplica& other) {
                const auto encoding
                    = replica.lacksPatchBase() ? StoreReplica::Encoding::Full : StoreReplica::Encoding::Patched;
                return other.deltaSince(replica.completeTo(), now, encoding);
            };
            std::uint64_t revision = 1;
            for (int step = 0; step < 300; ++step) {
                revision += 1 + random() % 3;
                if (random() % 2 == 0)
                    written[revision] = textOf(random() % 50);
                const std::uint64_t newest = written.rbegin()->first;
                StoreReplica& watcher = replicas[random() % watchers];
                StoreDelta update { watcher.completeTo(), revision, false, false, {} };
                if (newest > watcher.completeTo())
                    update.items.push_back(itemOf(newest, written.at(newest)));
                watcher.mergeFromStore(update, now);
                StoreReplica& asking = replicas[random() % replicas.size()];
                StoreDelta answer = ask(asking, replicas[random() % replicas.size()]);
                if (random() % 3 == 0)
                    late.push_back(answer);
                else if (random() % 3 != 0)
                    asking.merge(answer, now);
                if (!late.empty() && random() % 2 == 0)
                    replicas[random() % replicas.size()].merge(late[random() % late.size()], now);
                for (const StoreReplica& replica : replicas)
                    check(replica);
            }
            const StoreReplica& ahead = replicas[replicas[0].completeTo() > replicas[1].completeTo() ? 0 : 1];
            for (StoreReplica& replica : replicas) {
                replica.merge(ask(replica, ahead), now);
                replica.merge(ask(replica, ahead), now);
                EXPECT_EQ(replica.completeTo(), ahead.completeTo());
            }
        }
    }

}

}
