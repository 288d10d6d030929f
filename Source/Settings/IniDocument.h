#pragma once

#include "Settings/SettingsProblem.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriadock {

// The longest line that a file may have, in bytes without its line end. libinih cuts longer ones in two.
constexpr std::size_t maxIniLineBytes = 190;
constexpr std::size_t maxIniKeysPerSection = 256;

struct IniEntry {
    std::string key;
    std::string value;
    std::size_t line = 0;
};

struct IniSection {
    // The text between the brackets, with runs of blanks as one blank.
    std::string name;
    std::size_t line = 0;
    std::vector<IniEntry> entries;

    const IniEntry* find(std::string_view key) const;
};

// An INI file as it stands: sections and keys in file order, each with its line. Knows no key by name; a
// SettingsReader gives the text its meaning.
//
// Syntax: "[section]", "key = value", comments from ";" or "#" at the start of a line and from " ;" after a value.
// A value ends with its line. A section and a key within its section stand once.
class IniDocument {
public:
    // Reads text as the content of the named file; the name only serves the problems. Never fails: what is wrong with
    // the syntax stands in problems(), and the rest can still be read, so that all problems are found in one go.
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
