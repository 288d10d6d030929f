#include "Experiment/ResultRows.h"

#include <gtest/gtest.h>

namespace wisteriadock {
namespace {

    TEST(ResultRowsTest, PrintsOneRowPerLineInOrderOfFirstUse)
    {
        ResultRows rows;
        rows.set("seed", std::uint64_t(7));
        rows.set("imbalance_max_over_mean", 1.25);
        rows.set("policy", "default");
        rows.set("seed", std::uint64_t(8));

        EXPECT_EQ(rows.toString(), "seed 8\nimbalance_max_over_mean 1.25\npolicy default\n");
        EXPECT_EQ(rows.value("seed"), "8");
        EXPECT_EQ(rows.value("absent"), "");
    }

}
}
