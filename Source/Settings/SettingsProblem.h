#pragma once

#include "Core/Error.h"

#include <cstddef>
#include <string>
#include <vector>

namespace wisteriadock {

// The maximum number of problems stored per file; later ones are only counted, which bounds the memory.
constexpr std::size_t maxSettingsProblems = 200;

// An error in a settings or configuration file, as reported to the operator.
struct SettingsProblem {
    std::string file;
    // Counted from 1; 0 if the problem has no line, for example a missing section.
    std::size_t line = 0;
    // Empty if the problem is outside of any section.
    std::string section;
    // Empty if the problem concerns a whole section or line.
    std::string key;
    // The invalid text.
    std::string value;
    // What the file should contain instead.
    std::string expected;

    // Returns "FILE:LINE: [section] key = value: expected …", without the parts that are empty.
    std::string toString() const;

    bool operator==(const SettingsProblem&) const = default;
};

// Collects the problems of one file, so that all of them are reported at once.
class SettingsProblems {
public:
    void add(SettingsProblem);
    void addAll(const SettingsProblems&);
    void sortByLine();

    bool isEmpty() const { return kept_.empty(); }
    // Whether later problems are only counted, so that their texts need not be computed.
    bool isFull() const { return kept_.size() >= maxSettingsProblems; }
    // The first maxSettingsProblems problems, in the order in which they were added.
    const std::vector<SettingsProblem>& kept() const { return kept_; }
    // The number of problems beyond maxSettingsProblems.
    std::size_t omitted() const { return omitted_; }

    // Returns one problem per line, and a last line with the number of omitted problems. Empty if there are none.
    std::string toString() const;

    // Returns all problems as one InvalidArgument error.
    Error toError() const;

private:
    std::vector<SettingsProblem> kept_;
    std::size_t omitted_ = 0;
};

}
