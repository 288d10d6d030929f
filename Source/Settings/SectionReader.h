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

// Whether a file may leave a key or section out.
enum class Presence {
    Optional, // The target keeps the value that it had, which is the default.
    Required,
};

// Reads a comma-separated list of endpoints, "192.0.2.1:80,192.0.2.2:80". Fails with InvalidArgument.
Result<std::vector<Endpoint>> parseEndpointList(std::string_view text);

// Reads the keys of one section into typed variables. Each call declares one key and, when the file has it, sets the
// target; a value that can't be used is reported and leaves the target alone. Made by a SettingsReader, which reports
// the keys that nobody declared. Keys must be literals, since only views of them are kept.
class SectionReader {
public:
    // The section is null when the file lacks it.
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
    // Any text but the empty one.
    void text(std::string_view key, std::string& target, Presence = Presence::Optional);
    // Text that can serve as a name; see isName().
    void name(std::string_view key, std::string& target, Presence = Presence::Optional);
    // "true" or "false".
    void boolean(std::string_view key, bool& target, Presence = Presence::Optional);

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

    // Reports a problem that only the caller can see, at the key's line, or at the section's if the key is absent.
    void addProblem(std::string_view key, std::string expected);

    bool has(std::string_view key) const { return section_ && section_->find(key); }
    // The whole name, "service tryon".
    const std::string& sectionName() const { return sectionName_; }
    // What follows the first word of the section's name, "tryon"; empty for a section without a second word.
    std::string_view instanceName() const;
    std::size_t line() const { return section_ ? section_->line : 0; }

    // Reports the keys of the file that no call declared, each with the nearest declared one.
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

// The longest name of a service, backend server, balancer or availability zone.
constexpr std::size_t maxNameLength = 63;

// Whether the text can name something: 1 to 63 letters, digits, "-", "_" and ".", starting with a letter or digit.
bool isName(std::string_view text);

}
