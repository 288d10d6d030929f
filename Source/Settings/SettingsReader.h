#pragma once

#include "Settings/IniDocument.h"
#include "Settings/SectionReader.h"
#include "Settings/SettingsProblem.h"

#include <deque>
#include <string_view>
#include <vector>

namespace wisteriadock {

// Reads an INI document: the caller declares the known sections, reads their keys and then collects all problems with
// finish(). Used for the settings of every daemon and for the operators' configuration.
//
//     SettingsReader reader(document);
//     SectionReader& platform = reader.section("platform", Presence::Required);
//     platform.endpoint("address", settings.platform, Presence::Required);
//     platform.milliseconds("deadline_milliseconds", settings.deadline, 1ms, 60s);
//     const SettingsProblems problems = reader.finish();
class SettingsReader {
public:
    // The document must outlive the reader.
    explicit SettingsReader(const IniDocument&);
    SettingsReader(const SettingsReader&) = delete;
    SettingsReader& operator=(const SettingsReader&) = delete;

    // Declares a section and returns its reader. If the file does not contain the section, all targets keep their
    // defaults.
    SectionReader& section(std::string_view name, Presence = Presence::Optional);

    // Declares the sections "[kind NAME]" and returns them in file order. Sections without a valid NAME are reported
    // and skipped.
    std::vector<SectionReader*> sectionsOf(std::string_view kind);

    // Reports a problem of the file as a whole.
    void addProblem(std::string expected);

    // Returns all problems sorted by line, including syntax errors and undeclared sections and keys. Call it once,
    // after all reads.
    SettingsProblems finish();

private:
    const IniDocument& document_;
    SettingsProblems problems_;
    // A deque, since callers hold references to the elements.
    std::deque<SectionReader> readers_;
    std::vector<std::string_view> declaredSections_;
    std::vector<std::string_view> declaredKinds_;
};

}
