#include "Settings/IniDocument.h"

#include <gmock/gmock.h>

#include <random>

namespace wisteriadock {
namespace {

    std::vector<std::string> problemsOf(std::string_view text)
    {
        std::vector<std::string> lines;
        const IniDocument document = IniDocument::parse("f.ini", text);
        for (const SettingsProblem& problem : document.problems().kept())
            lines.push_back(problem.toString());
        return lines;
    }

    TEST(IniDocumentTest, OrderAndLineNumbers)
    {
        const IniDocument document = IniDocument::parse(
            "f.ini", "\xEF\xBB\xBF; head\r\n[b]\r\n\r\n  x = 1 ; one\n\ty: two words\n# note\n[ a  c ]\n[empty]");
        ASSERT_TRUE(document.problems().isEmpty()) << document.problems().toString();
        ASSERT_EQ(document.sections().size(), 3U);

        const IniSection& first = document.sections()[0];
        EXPECT_EQ(first.name, "b");
        EXPECT_EQ(first.line, 2U);
        ASSERT_EQ(first.entries.size(), 2U);
        EXPECT_EQ(first.entries[0].value, "1");
        EXPECT_EQ(first.entries[0].line, 4U);
        EXPECT_EQ(first.find("y")->value, "two words");
        EXPECT_EQ(first.find("z"), nullptr);
        EXPECT_EQ(document.sections()[1].name, "a c");
        EXPECT_EQ(document.sections()[2].line, 8U);
    }

    TEST(IniDocumentTest, AllSyntaxErrorsAreReported)
    {
        EXPECT_THAT(problemsOf("k = 1\n[a]\nx = 1\nx = 2\nnonsense\n= 3\n[a]\nz = 1\n[b\ny = 1\n[c] d\nq = \x01\n"),
            testing::ElementsAre("f.ini:1: k = 1: expected a section header such as [section] before the first key",
                "f.ini:4: [a] x = 2: expected this key only once; first defined on line 3",
                "f.ini:5: [a] nonsense: expected key = value", "f.ini:6: [a] = 3: expected key = value",
                "f.ini:7: [a]: expected this section only once; first defined on line 2",
                "f.ini:9: [b: expected a section header such as [section], alone on its line",
                "f.ini:11: [c] d: expected a section header such as [section], alone on its line",
                "f.ini:12: q = ?: expected text without control characters"));
    }

    // Guards against merging sections whose names share their first 49 bytes, to which libinih truncates them.
    TEST(IniDocumentTest, LongSectionNamesAreDistinct)
    {
        const std::string stem(60, 's');
        const IniDocument document = IniDocument::parse("f.ini", "[" + stem + "1]\n[" + stem + "2]\n");
        EXPECT_TRUE(document.problems().isEmpty()) << document.problems().toString();
        EXPECT_EQ(document.sections().size(), 2U);
    }

    TEST(IniDocumentTest, LimitsOfLinesKeysAndProblems)
    {
        EXPECT_THAT(problemsOf("[a]\nk = " + std::string(maxIniLineBytes, 'v') + "\n"),
            testing::ElementsAre(testing::EndsWith("expected a line of at most 190 bytes")));

        std::string manyKeys = "[a]\n";
        for (std::size_t i = 0; i <= maxIniKeysPerSection; ++i)
            manyKeys += "k" + std::to_string(i) + " = 1\n";
        EXPECT_THAT(problemsOf(manyKeys), testing::ElementsAre(testing::HasSubstr("at most 256 keys")));

        std::string manyProblems;
        for (std::size_t i = 0; i < maxSettingsProblems + 7; ++i)
            manyProblems += "broken\n";
        const IniDocument document = IniDocument::parse("f.ini", manyProblems);
        EXPECT_EQ(document.problems().kept().size(), maxSettingsProblems);
        EXPECT_THAT(document.problems().toString(), testing::EndsWith("\n7 more problems are not listed"));
    }

    TEST(IniDocumentTest, RandomText)
    {
        std::mt19937 random(20240501);
        const std::string alphabet = std::string("[]=:;# \t\r\n\x01\xff") + "abk1" + '\0';
        for (int round = 0; round < 2000; ++round) {
            std::string text;
            for (std::size_t length = random() % 400; length > 0; --length)
                text += alphabet[random() % alphabet.size()];
            const IniDocument document = IniDocument::parse("f.ini", text);
            for (const IniSection& section : document.sections()) {
                EXPECT_FALSE(section.name.empty());
                for (const IniEntry& entry : section.entries)
                    EXPECT_FALSE(entry.key.empty());
            }
        }
    }

}
}
