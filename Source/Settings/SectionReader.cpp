#include "Settings/SectionReader.h"

#include "Settings/NearestName.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

namespace wisteriadock {

namespace {

    constexpr std::string_view nameExpected
        = "a name of 1 to 63 letters, digits, '-', '_' or '.', starting with a letter or digit";

    constexpr auto booleanNames = makeNameTable<bool>({
        { true, "true" },
        { false, "false" },
    });

    bool isLetterOrDigit(char character)
    {
        return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z')
            || (character >= '0' && character <= '9');
    }

    // Parses a number. Fails if anything follows it.
    template <typename Number> bool parseNumber(std::string_view text, Number& number)
    {
        const char* end = text.data() + text.size();
        const auto [parsedEnd, error] = std::from_chars(text.data(), end, number);
        return error == std::errc() && parsedEnd == end;
    }

    std::string_view trimBlanks(std::string_view text)
    {
        const auto first = text.find_first_not_of(' ');
        if (first == std::string_view::npos)
            return {};
        return text.substr(first, text.find_last_not_of(' ') - first + 1);
    }

}

bool isName(std::string_view text)
{
    if (text.empty() || text.size() > maxNameLength || !isLetterOrDigit(text.front()))
        return false;
    return std::all_of(text.begin(), text.end(), [](char character) {
        return isLetterOrDigit(character) || character == '-' || character == '_' || character == '.';
    });
}

Result<std::vector<Endpoint>> parseEndpointList(std::string_view text)
{
    std::vector<Endpoint> endpoints;
    while (true) {
        const auto comma = std::min(text.find(','), text.size());
        BOOST_OUTCOME_TRY(endpoint, Endpoint::parse(trimBlanks(text.substr(0, comma))));
        endpoints.push_back(endpoint);
        if (comma == text.size())
            return endpoints;
        text.remove_prefix(comma + 1);
    }
}

SectionReader::SectionReader(
    std::string file, std::string sectionName, const IniSection* section, SettingsProblems& problems)
    : file_(std::move(file))
    , sectionName_(std::move(sectionName))
    , section_(section)
    , problems_(&problems)
{
}

void SectionReader::number(std::string_view key, double& target, double min, double max, Presence presence)
{
    const IniEntry* entry = declare(key, presence);
    if (!entry)
        return;
    double value = 0;
    // The comparisons also reject NaN and infinity.
    if (parseNumber(entry->value, value) && value >= min && value <= max)
        target = value;
    else
        addValueProblem(*entry, fmt::format("a number from {} to {}", min, max));
}

bool SectionReader::readInteger(
    std::string_view key, std::int64_t& target, std::int64_t min, std::int64_t max, Presence presence)
{
    const IniEntry* entry = declare(key, presence);
    if (!entry)
        return false;
    std::int64_t value = 0;
    if (!parseNumber(entry->value, value) || value < min || value > max) {
        addValueProblem(*entry, fmt::format("a whole number from {} to {}", min, max));
        return false;
    }
    target = value;
    return true;
}

void SectionReader::endpoint(std::string_view key, Endpoint& target, Presence presence)
{
    const IniEntry* entry = declare(key, presence);
    if (!entry)
        return;
    if (const auto parsed = Endpoint::parse(entry->value))
        target = parsed.value();
    else
        addValueProblem(*entry, "ADDRESS:PORT such as 192.0.2.1:443");
}

void SectionReader::endpoints(std::string_view key, std::vector<Endpoint>& target, Presence presence)
{
    const IniEntry* entry = declare(key, presence);
    if (!entry)
        return;
    if (auto parsed = parseEndpointList(entry->value))
        target = std::move(parsed).value();
    else
        addValueProblem(*entry, "ADDRESS:PORT, several of them separated by commas");
}

void SectionReader::text(std::string_view key, std::string& target, Presence presence)
{
    const IniEntry* entry = declare(key, presence);
    if (!entry)
        return;
    if (entry->value.empty())
        addValueProblem(*entry, "a text that is not empty");
    else
        target = entry->value;
}

void SectionReader::name(std::string_view key, std::string& target, Presence presence)
{
    const IniEntry* entry = declare(key, presence);
    if (!entry)
        return;
    if (isName(entry->value))
        target = entry->value;
    else
        addValueProblem(*entry, std::string(nameExpected));
}

void SectionReader::boolean(std::string_view key, bool& target, Presence presence)
{
    enumeration(key, target, booleanNames, presence);
}

void SectionReader::addProblem(std::string_view key, std::string expected)
{
    const IniEntry* entry = section_ ? section_->find(key) : nullptr;
    if (entry)
        addValueProblem(*entry, std::move(expected));
    else
        problems_->add({ file_, line(), sectionName_, std::string(key), {}, std::move(expected) });
}

std::string_view SectionReader::instanceName() const
{
    const std::string_view name = sectionName_;
    const auto blank = name.find(' ');
    return blank == std::string_view::npos ? std::string_view() : name.substr(blank + 1);
}

void SectionReader::addUnknownKeys()
{
    if (!section_)
        return;
    for (const IniEntry& entry : section_->entries) {
        if (std::find(declaredKeys_.begin(), declaredKeys_.end(), entry.key) != declaredKeys_.end())
            continue;
        const std::string_view nearest = problems_->isFull() ? "" : nearestName(entry.key, declaredKeys_);
        addValueProblem(entry, fmt::format("a known key; the nearest is '{}'", nearest));
    }
}

const IniEntry* SectionReader::declare(std::string_view key, Presence presence)
{
    declaredKeys_.push_back(key);
    const IniEntry* entry = section_ ? section_->find(key) : nullptr;
    // A missing section is reported once by SettingsReader, and not key by key.
    if (!entry && section_ && presence == Presence::Required)
        problems_->add({ file_, section_->line, sectionName_, {}, {}, fmt::format("the key '{}'", key) });
    return entry;
}

void SectionReader::addValueProblem(const IniEntry& entry, std::string expected)
{
    problems_->add({ file_, entry.line, sectionName_, entry.key, entry.value, std::move(expected) });
}

void SectionReader::addUnknownName(const IniEntry& entry, const std::vector<std::string_view>& known)
{
    addValueProblem(
        entry, fmt::format("one of {}; the nearest is '{}'", fmt::join(known, ", "), nearestName(entry.value, known)));
}

}
