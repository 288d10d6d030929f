#pragma once

#include "Settings/IniDocument.h"
#include "Settings/SectionReader.h"
#include "Settings/SettingsProblem.h"

#include <deque>
#include <string_view>
#include <vector>

namespace wisteriadock {

// Gives an INI document its meaning: the caller names the sections that it knows and reads their keys, then asks for
// everything that is wrong. Used for the settings of every daemon and for the operators' configuration.
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

    // The section of this name. If the file lacks it, reading leaves every target at its default.
    SectionReader& section(std::string_view name, Presence = Presence::Optional);

    // All sections "[kind NAME]" in file order. Reports those whose NAME is missing or no name, and leaves them out.
    std::vector<SectionReader*> sectionsOf(std::string_view kind);

    // Reports a problem that belongs to no section of the file.
    void addProblem(std::string expected);

    // All problems by line, those of the syntax and of undeclared sections and keys included. Call it once, after all
    // reads.
    SettingsProblems finish();

private:
    const IniDocument& document_;
    SettingsProblems problems_;
    // References into it stay valid while it grows.
    std::deque<SectionReader> readers_;
    std::vector<std::string_view> declaredSections_;
    std::vector<std::string_view> declaredKinds_;
};

}
