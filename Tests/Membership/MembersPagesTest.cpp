#include "Membership/MembersPages.h"

#include "Wire/PeerMessageCodec.h"

#include <gtest/gtest.h>

#include <fmt/format.h>

#include <set>
#include <string>

namespace wisteriadock {
namespace {

    class MembersPagesTest : public testing::Test {
    protected:
        void fill(std::size_t members, std::size_t nameBytes)
        {
            for (std::size_t i = 1; i < members; ++i) {
                MemberRecord record;
                record.member = memberNamed(fmt::format("{:x>{}}-{}", "", nameBytes, i));
                table_.merge(rowOf(record, true), TimePoint());
            }
        }

        static Member memberNamed(const std::string& name)
        {
            const BalancerId id = balancerIdOf(name);
            const Endpoint address { id.value, 7000 };
            return { id, name, "walu", address, address, address, std::uint64_t(1'790'000'000'000) + id.value % 100'000,
                MemberState::Serving, 0 };
        }

        // Reads all pages as a joining balancer does.
        std::set<std::uint32_t> readAll(bool acceptsCompressed, std::size_t& pages)
        {
            std::set<std::uint32_t> ids;
            std::uint32_t after = 0;
            for (pages = 1;; ++pages) {
                const MembersPageMessage page = pageFor({ after, {}, acceptsCompressed }, table_);
                EXPECT_LE(encodeMessage(page).size(), maxPeerPayloadBytes);
                EXPECT_EQ(page.compressedRows.empty(), !acceptsCompressed);
                const auto rows = rowsOf(page);
                if (!rows || rows.value().empty())
                    return ids;
                for (const MemberRow& row : rows.value())
                    ids.insert(row.id);
                if (page.last)
                    return ids;
                after = rows.value().back().id;
            }
        }

        MembershipSettings settings_;
        MemberTable table_ { settings_, memberNamed("self"), TimePoint() };
    };

    TEST_F(MembersPagesTest, CompressedPagesNeedFewerDatagrams)
    {
        fill(300, 8);
        std::size_t plain = 0;
        std::size_t compressed = 0;
        EXPECT_EQ(readAll(false, plain).size(), 300U);
        EXPECT_EQ(readAll(true, compressed).size(), 300U);
        EXPECT_LE(compressed * 3, plain);
    }

    TEST_F(MembersPagesTest, LongNamesDoNotExceedTheDatagramSize)
    {
        fill(100, 60);
        std::size_t pages = 0;
        EXPECT_EQ(readAll(true, pages).size(), 100U);
    }

    TEST_F(MembersPagesTest, UnreadableRowsAreRefused)
    {
        fill(100, 8);
        MembersPageMessage page = pageFor({ 0, {}, true }, table_);
        page.compressedRows.resize(page.compressedRows.size() / 2);
        EXPECT_FALSE(rowsOf(page));
        page.compressedRows = "no rows";
        EXPECT_FALSE(rowsOf(page));
    }

}
}
