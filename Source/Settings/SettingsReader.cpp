#include "Settings/SettingsReader.h"

#include "Settings/NearestName.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace wisteriadock {

namespace {

    std::string_view kindOf(std::string_view sectionName)
    {
        return sectionName.substr(0, std::min(sectionName.find(' '), sectionName.size()));
    }

    bool contains(const std::vector<std::string_view>& names, std::string_view name)
    {
        return std::find(names.begin(), names.end(), name) != names.end();
    }

}

SettingsReader::SettingsReader(const IniDocument& document)
    : document_(document)
{
    problems_.addAll(document.problems());
}

SectionReader& SettingsReader::section(std::string_view name, Presence presence)
{
    declaredSections_.push_back(name);
    const auto& sections = document_.sections();
    const auto found = std::find_if(
        sections.begin(), sections.end(), [&](const IniSection& section) { return section.name == name; });
    const IniSection* section = found == sections.end() ? nullptr : &*found;
    if (!section && presence == Presence::Required)
        addProblem(fmt::format("a section [{}]", name));
    return readers_.emplace_back(document_.file(), std::string(name), section, problems_);
}

std::vector<SectionReader*> SettingsReader::sectionsOf(std::string_view kind)
{
    declaredKinds_.push_back(kind);
    std::vector<SectionReader*> found;
    for (const IniSection& section : document_.sections()) {
        if (kindOf(section.name) != kind)
            continue;
        SectionReader& reader = readers_.emplace_back(document_.file(), section.name, &section, problems_);
        if (isName(reader.instanceName())) {
            found.push_back(&reader);
            continue;
        }
        problems_.add({ document_.file(), section.line, section.name, {}, {},
            fmt::format("[{} NAME], its name being 1 to {} letters, digits, '-', '_' or '.', starting with a letter or "
                        "digit",
                kind, maxNameLength) });
        readers_.pop_back();
    }
    return found;
}

void SettingsReader::addProblem(std::string expected)
{
    problems_.add({ document_.file(), 0, {}, {}, {}, std::move(expected) });
}

SettingsProblems SettingsReader::finish()
{
    for (SectionReader& reader : readers_)
        reader.addUnknownKeys();

    std::vector<std::string_view> known = declaredSections_;
    known.insert(known.end(), declaredKinds_.begin(), declaredKinds_.end());
    for (const IniSection& section : document_.sections()) {
        if (contains(declaredSections_, section.name) || contains(declaredKinds_, kindOf(section.name)))
            continue;
        problems_.add({ document_.file(), section.line, section.name, {}, {},
            fmt::format("a known section; the nearest is '{}'", nearestName(kindOf(section.name), known)) });
    }
    problems_.sortByLine();
    return std::move(problems_);
}

}
