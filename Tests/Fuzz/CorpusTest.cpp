#include "Fuzz/FuzzTargets.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <random>
#include <string>
#include <vector>

namespace wisteriadock {

namespace {

    std::vector<std::uint8_t> bytesOf(const std::filesystem::path& path)
    {
        std::ifstream file(path, std::ios::binary);
        return { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
    }

    // Everything that was found worth keeping, and random changes of it, is taken or refused.
    TEST(CorpusTest, eachTargetTakesOrRefusesItsCorpus)
    {
        constexpr int changesOfEach = 300;
        std::mt19937 random(17);
        for (const FuzzTarget& target : fuzzTargets()) {
            SCOPED_TRACE(target.name);
            int inputs = 0;
            for (const auto& entry :
                std::filesystem::directory_iterator(std::filesystem::path(WISTERIADOCK_CORPUS) / target.name)) {
                ++inputs;
                const std::vector<std::uint8_t> bytes = bytesOf(entry.path());
                target.run(bytes);
                for (int i = 0; i < changesOfEach && !bytes.empty(); ++i) {
                    std::vector<std::uint8_t> changed = bytes;
                    for (std::uint32_t n = random() % 4; n > 0; --n)
                        changed[random() % changed.size()] = static_cast<std::uint8_t>(random());
                    if (random() % 8 == 0)
                        changed.resize(random() % changed.size());
                    target.run(changed);
                }
            }
            EXPECT_GT(inputs, 0);
        }
    }

}

}
