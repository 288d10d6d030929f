#pragma once

#include "Core/Error.h"

#include <cstddef>
#include <string>
#include <vector>

namespace wisteriadock {

// How many problems of one file are kept; later ones are only counted, so that a garbage file can't fill the memory.
constexpr std::size_t maxSettingsProblems = 200;

// One thing that is wrong with a settings or configuration file, for the person who has to mend it.
struct SettingsProblem {
    std::string file;
    // Counted from 1; 0 when the problem has no line, such as a missing section.
    std::size_t line = 0;
    // Empty when the problem stands outside of any section.
    std::string section;
    // Empty when the problem is about a whole section or line.
    std::string key;
    // The offending text.
    std::string value;
    // What should have stood there.
    std::string expected;

    // "FILE:LINE: [section] key = value: expected …", without the parts that are absent.
    std::string toString() const;

    bool operator==(const SettingsProblem&) const = default;
};

// Collects the problems of one file, so that all of them are reported in one go.
class SettingsProblems {
public:
    void add(SettingsProblem);
    void addAll(const SettingsProblems&);
    void sortByLine();

    bool isEmpty() const { return kept_.empty(); }
    // Whether later problems are only counted, so that nobody needs to work their texts out.
    bool isFull() const { return kept_.size() >= maxSettingsProblems; }
    // The first maxSettingsProblems problems, in the order in which they were added.
    const std::vector<SettingsProblem>& kept() const { return kept_; }
    std::size_t omitted() const { return omitted_; }

    // One problem a line, ending with a line that counts the omitted ones. Empty when there is no problem.
    std::string toString() const;

    // The whole list as one InvalidArgument, for callers that only pass errors on.
    Error toError() const;

private:
    std::vector<SettingsProblem> kept_;
    std::size_t omitted_ = 0;
};

}
