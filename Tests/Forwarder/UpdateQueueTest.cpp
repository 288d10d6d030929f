#include "Forwarder/UpdateQueue.h"

#include <gtest/gtest.h>

namespace wisteriadock {

namespace {

    ReplicaChanged changeOf(std::size_t count, std::uint64_t firstRevision, const std::string& source)
    {
        ReplicaChanged changed { {}, false, source, {}, firstRevision + count - 1 };
        for (std::size_t i = 0; i < count; ++i)
            changed.items.push_back({ "key", "value", firstRevision + i });
        return changed;
    }

    // Guards against packets that wait until the entries of thousands of servers have been applied.
    TEST(UpdateQueueTest, ManyUpdatesComeInSlicesAndInOrder)
    {
        constexpr std::size_t many = UpdateQueue::sliceSize * 2 + 1;
        UpdateQueue queue;
        EXPECT_TRUE(queue.isEmpty());
        queue.push(changeOf(many, 1, "vm-1"));
        queue.push(changeOf(1, many + 1, "vm-2"));
        std::uint64_t revision = 0;
        for (const std::size_t expected : { UpdateQueue::sliceSize, UpdateQueue::sliceSize, std::size_t(1) }) {
            SCOPED_TRACE(revision);
            ASSERT_FALSE(queue.isEmpty());
            const ReplicaChanged slice = queue.pop();
            EXPECT_EQ(slice.items.size(), expected);
            EXPECT_EQ(slice.source, "vm-1");
            EXPECT_EQ(slice.revision, many);
            for (const StoreUpdate& item : slice.items) {
                EXPECT_EQ(item.revision, ++revision);
                EXPECT_EQ(item.value, "value");
            }
        }
        EXPECT_EQ(queue.pop().source, "vm-2");
        EXPECT_TRUE(queue.isEmpty());
    }

    TEST(UpdateQueueTest, ChangeWithoutUpdatesIsReturnedToo)
    {
        UpdateQueue queue;
        queue.push(ReplicaChanged { {}, false, "store", {}, 7 });
        EXPECT_EQ(queue.pop().revision, 7U);
        EXPECT_TRUE(queue.isEmpty());
    }

}

}
