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

    // Guards against crashes of the decoders on the corpus and on random mutations of it.
    TEST(CorpusTest, EachTargetSurvivesItsMutatedCorpus)
    {
        constexpr int mutationsPerInput = 300;
        std::mt19937 random(17);
        for (const FuzzTarget& target : fuzzTargets()) {
            SCOPED_TRACE(target.name);
            int inputs = 0;
            for (const auto& entry :
                std::filesystem::directory_iterator(std::filesystem::path(WISTERIADOCK_CORPUS) / target.name)) {
                ++inputs;
                const std::vector<std::uint8_t> bytes = bytesOf(entry.path());
                target.run(bytes);
                for (int i = 0; i < mutationsPerInput && !bytes.empty(); ++i) {
                    std::vector<std::uint8_t> mutated = bytes;
                    for (std::uint32_t n = random() % 4; n > 0; --n)
                        mutated[random() % mutated.size()] = static_cast<std::uint8_t>(random());
                    if (random() % 8 == 0)
                        mutated.resize(random() % mutated.size());
                    target.run(mutated);
                }
            }
            EXPECT_GT(inputs, 0);
        }
    }

}

}
