#pragma once

#include "Core/Endpoint.h"
#include "Core/NameTable.h"
#include "Settings/IniDocument.h"
#include "Settings/SettingsProblem.h"

#include <chrono>
#include <concepts>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriadock {

// Whether a key or section may be absent from a file.
enum class Presence {
    Optional, // If absent, the target keeps its value, the default.
    Required,
};

// Parses a comma-separated list of endpoints, "192.0.2.1:80,192.0.2.2:80". Fails with InvalidArgument.
Result<std::vector<Endpoint>> parseEndpointList(std::string_view text);

// Reads the keys of one section into typed variables. Each call declares one key and, if the file has the key, sets the
// target. An invalid value is reported as a problem and leaves the target unchanged. Created by SettingsReader, which
// also reports the undeclared keys of the file. Keys must be literals, since only views of them are stored.
class SectionReader {
public:
    // The section is null if the file does not contain it.
    SectionReader(std::string file, std::string sectionName, const IniSection*, SettingsProblems&);

    template <std::integral Int>
    void integer(std::string_view key, Int& target, Int min, Int max, Presence presence = Presence::Optional)
    {
        static_assert(sizeof(Int) < sizeof(std::int64_t) || std::is_signed_v<Int>, "the range must fit std::int64_t");
        std::int64_t value = target;
        readInteger(key, value, min, max, presence);
        target = static_cast<Int>(value);
    }

    // A whole number of milliseconds.
    template <typename Rep, typename Period>
    void milliseconds(std::string_view key, std::chrono::duration<Rep, Period>& target, std::chrono::milliseconds min,
        std::chrono::milliseconds max, Presence presence = Presence::Optional)
    {
        using Target = std::chrono::duration<Rep, Period>;
        std::int64_t value = std::chrono::duration_cast<std::chrono::milliseconds>(target).count();
        if (readInteger(key, value, min.count(), max.count(), presence))
            target = std::chrono::duration_cast<Target>(std::chrono::milliseconds(value));
    }

    // A finite decimal number.
    void number(std::string_view key, double& target, double min, double max, Presence = Presence::Optional);
    void endpoint(std::string_view key, Endpoint& target, Presence = Presence::Optional);
    void endpoints(std::string_view key, std::vector<Endpoint>& target, Presence = Presence::Optional);
    // Any text that is not empty.
    void text(std::string_view key, std::string& target, Presence = Presence::Optional);
    // A valid name; see isName().
    void name(std::string_view key, std::string& target, Presence = Presence::Optional);
    // "true" or "false".
    void boolean(std::string_view key, bool& target, Presence = Presence::Optional);

    // One of the names in the table.
    template <typename Enum, std::size_t Size>
    void enumeration(
        std::string_view key, Enum& target, const NameTable<Enum, Size>& names, Presence presence = Presence::Optional)
    {
        const IniEntry* entry = declare(key, presence);
        if (!entry)
            return;
        if (const auto value = names.value(entry->value)) {
            target = *value;
            return;
        }
        std::vector<std::string_view> known;
        for (const auto& row : names.rows())
            known.push_back(row.second);
        addUnknownName(*entry, known);
    }

    // Reports a problem found by the caller, at the line of the key, or at the line of the section if the key is
    // absent.
    void addProblem(std::string_view key, std::string expected);

    bool has(std::string_view key) const { return section_ && section_->find(key); }
    // The full name, "service tryon".
    const std::string& sectionName() const { return sectionName_; }
    // The section's name without its first word, "tryon"; empty if the name is a single word.
    std::string_view instanceName() const;
    std::size_t line() const { return section_ ? section_->line : 0; }

    // Reports the keys of the file that no call has declared, each with the nearest declared key.
    void addUnknownKeys();

private:
    const IniEntry* declare(std::string_view key, Presence);
    bool readInteger(std::string_view key, std::int64_t& target, std::int64_t min, std::int64_t max, Presence);
    void addValueProblem(const IniEntry&, std::string expected);
    void addUnknownName(const IniEntry&, const std::vector<std::string_view>& known);

    std::string file_;
    std::string sectionName_;
    const IniSection* section_;
    SettingsProblems* problems_;
    std::vector<std::string_view> declaredKeys_;
};

// The maximum length of the name of a service, backend server, balancer or availability zone, in characters.
constexpr std::size_t maxNameLength = 63;

// Returns whether the text is a valid name: 1 to 63 letters, digits, "-", "_" and ".", starting with a letter or digit.
bool isName(std::string_view text);

}
