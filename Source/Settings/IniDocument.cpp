#include "Settings/IniDocument.h"

#include <fmt/format.h>
#include <ini.h>

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace wisteriadock {

namespace {

    constexpr std::string_view blanks = " \t\r";
    constexpr std::string_view byteOrderMark = "\xEF\xBB\xBF";

    std::string_view trim(std::string_view text)
    {
        const auto first = text.find_first_not_of(blanks);
        if (first == std::string_view::npos)
            return {};
        return text.substr(first, text.find_last_not_of(blanks) - first + 1);
    }

    std::string joinWords(std::string_view text)
    {
        std::string joined;
        while (!(text = trim(text)).empty()) {
            const auto end = std::min(text.find_first_of(blanks), text.size());
            if (!joined.empty())
                joined += ' ';
            joined += text.substr(0, end);
            text.remove_prefix(end);
        }
        return joined;
    }

    bool isComment(std::string_view text) { return text.starts_with(';') || text.starts_with('#'); }

    bool hasControlCharacter(std::string_view text)
    {
        return std::any_of(text.begin(), text.end(),
            [](unsigned char character) { return (character < ' ' && character != '\t') || character == 0x7f; });
    }

    // Returns an excerpt in printable ASCII, so that the text of a problem can't contain terminal escape sequences.
    std::string printable(std::string_view text)
    {
        constexpr std::size_t maxShownBytes = 60;
        std::string shown;
        for (const unsigned char character : text.substr(0, maxShownBytes))
            shown += character < ' ' || character >= 0x7f ? '?' : static_cast<char>(character);
        return text.size() > maxShownBytes ? shown + "..." : shown;
    }

}

const IniEntry* IniSection::find(std::string_view key) const
{
    const auto found
        = std::find_if(entries.begin(), entries.end(), [&](const IniEntry& entry) { return entry.key == key; });
    return found == entries.end() ? nullptr : &*found;
}

// Passes the lines to libinih one by one and collects the key-value pairs that it finds.
//
// Parses section headers and checks lines itself, because libinih does not report empty or duplicate sections,
// truncates section names to 49 bytes, takes an indented line as a continuation of the previous value, and reports only
// the first syntax error.
class IniLineReader {
public:
    IniLineReader(IniDocument& document, std::string_view text)
        : document_(document)
        , rest_(text)
    {
        if (rest_.starts_with(byteOrderMark))
            rest_.remove_prefix(byteOrderMark.size());
    }

    void run()
    {
        ini_parse_stream(&IniLineReader::readLine, this, &IniLineReader::handleEntry, this);
        checkLastLineWasParsed();
    }

private:
    static char* readLine(char* buffer, int size, void* self)
    {
        return static_cast<IniLineReader*>(self)->nextLine(buffer, static_cast<std::size_t>(size));
    }

    static int handleEntry(void* self, const char*, const char* key, const char* value)
    {
        static_cast<IniLineReader*>(self)->addEntry(key, value);
        return 1;
    }

    char* nextLine(char* buffer, std::size_t size)
    {
        checkLastLineWasParsed();
        if (rest_.empty())
            return nullptr;

        const auto lineEnd = std::min(rest_.find('\n'), rest_.size());
        const std::string_view line = trim(rest_.substr(0, lineEnd));
        rest_.remove_prefix(std::min(lineEnd + 1, rest_.size()));
        ++lineNumber_;

        const bool isKeyValueLine = checkLine(line, size);
        const std::size_t length = isKeyValueLine ? line.copy(buffer, line.size()) : 0;
        buffer[length] = '\0';
        if (isKeyValueLine)
            pendingLine_ = line;
        return buffer;
    }

    // Returns whether the line should contain a key and a value, which libinih splits.
    bool checkLine(std::string_view line, std::size_t bufferSize)
    {
        if (line.empty() || isComment(line))
            return false;
        if (line.size() > std::min(maxIniLineBytes, bufferSize - 1)) {
            addProblem({}, line, fmt::format("a line of at most {} bytes", maxIniLineBytes));
            return false;
        }
        if (hasControlCharacter(line)) {
            addProblem({}, line, "text without control characters");
            return false;
        }
        if (line.front() == '[') {
            openSection(line);
            return false;
        }
        return true;
    }

    void openSection(std::string_view line)
    {
        const auto close = line.find(']');
        const std::string name = close == std::string_view::npos ? std::string() : joinWords(line.substr(1, close - 1));
        const std::string_view rest = close == std::string_view::npos ? "" : trim(line.substr(close + 1));
        if (name.empty() || !(rest.empty() || isComment(rest))) {
            // The keys below the broken header are skipped, but their syntax is checked.
            isSkippingSection_ = true;
            addProblem({}, line, "a section header such as [section], alone on its line");
            return;
        }

        const auto [known, isNew] = lineOfSection_.emplace(name, lineNumber_);
        isSkippingSection_ = !isNew;
        if (isNew) {
            document_.sections_.push_back({ name, lineNumber_, {} });
            return;
        }
        document_.problems_.add({ document_.file_, lineNumber_, name, {}, {},
            fmt::format("this section only once; first defined on line {}", known->second) });
    }

    void addEntry(std::string_view key, std::string_view value)
    {
        const std::string_view line = std::exchange(pendingLine_, {});
        if (key.empty()) {
            addProblem({}, line, "key = value");
            return;
        }
        if (isSkippingSection_)
            return;
        if (document_.sections_.empty()) {
            addProblem(key, value, "a section header such as [section] before the first key");
            return;
        }

        IniSection& section = document_.sections_.back();
        if (const IniEntry* earlier = section.find(key)) {
            addProblem(key, value, fmt::format("this key only once; first defined on line {}", earlier->line));
            return;
        }
        if (section.entries.size() >= maxIniKeysPerSection) {
            addProblem(key, value, fmt::format("at most {} keys in a section", maxIniKeysPerSection));
            return;
        }
        section.entries.push_back({ std::string(key), std::string(value), lineNumber_ });
    }

    // libinih calls handleEntry() only for lines that it could split.
    void checkLastLineWasParsed()
    {
        const std::string_view line = std::exchange(pendingLine_, {});
        if (!line.empty())
            addProblem({}, line, "key = value");
    }

    void addProblem(std::string_view key, std::string_view value, std::string expected)
    {
        std::string section;
        if (!isSkippingSection_ && !document_.sections_.empty())
            section = document_.sections_.back().name;
        document_.problems_.add(
            { document_.file_, lineNumber_, section, printable(key), printable(value), std::move(expected) });
    }

    IniDocument& document_;
    std::string_view rest_;
    std::size_t lineNumber_ = 0;
    std::string_view pendingLine_;
    bool isSkippingSection_ = false;
    std::unordered_map<std::string, std::size_t> lineOfSection_;
};

IniDocument IniDocument::parse(std::string file, std::string_view text)
{
    IniDocument document;
    document.file_ = std::move(file);
    IniLineReader(document, text).run();
    return document;
}

}
