#pragma once

#include "Settings/SettingsProblem.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriadock {

// The maximum length of a line, in bytes without the line end. libinih would split longer lines.
constexpr std::size_t maxIniLineBytes = 190;
constexpr std::size_t maxIniKeysPerSection = 256;

struct IniEntry {
    std::string key;
    std::string value;
    std::size_t line = 0;
};

struct IniSection {
    // The text between the brackets, with each run of blanks replaced by one space.
    std::string name;
    std::size_t line = 0;
    std::vector<IniEntry> entries;

    const IniEntry* find(std::string_view key) const;
};

// A parsed INI file: sections and keys in file order, each with its line number. SettingsReader interprets the values.
//
// Syntax: "[section]", "key = value", comments from ";" or "#" at the start of a line and from " ;" after a value.
// Values do not continue on the next line. Duplicate sections, and duplicate keys in a section, are errors.
class IniDocument {
public:
    // Parses the content of a file; the file name appears in problems only. Syntax errors are collected in problems()
    // and the rest is still parsed, so that all problems are reported at once.
    static IniDocument parse(std::string file, std::string_view text);

    const std::string& file() const { return file_; }
    const std::vector<IniSection>& sections() const { return sections_; }
    const SettingsProblems& problems() const { return problems_; }

private:
    friend class IniLineReader;

    std::string file_;
    std::vector<IniSection> sections_;
    SettingsProblems problems_;
};

}
