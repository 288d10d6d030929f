#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace wisteriadock {

// Tells the answers of one route that reject a request from those that serve it, by their sizes. Servers reject with
// one short message, so its exact size recurs, and it is far below what the route's served answers have. OpenFlowTable
// feeds it with the sizes that callers acknowledge.
class AnswerSizes {
public:
    // Notes a complete answer, and returns whether it was a rejection.
    bool note(std::uint32_t bytes);
    // An answer of at least this size is no rejection, so its outcome is known before it is complete.
    bool isServed(std::uint32_t bytes) const
    {
        return known_ + 1 < minRecurrences || static_cast<float>(bytes) >= usual_ / 2;
    }

private:
    // A size recurs if it has at least this many of the last answers, which is a tenth of them.
    static constexpr std::size_t lastAnswers = 40;
    static constexpr std::size_t minRecurrences = 4;

    bool recurs(std::uint32_t bytes) const;

    // The mean size of served answers.
    float usual_ = 0;
    // How many answers were noted, up to lastAnswers.
    std::size_t known_ = 0;
    std::size_t next_ = 0;
    std::array<std::uint32_t, lastAnswers> last_ {};
};

}
