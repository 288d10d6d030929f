#include "Settings/SettingsReader.h"

#include "Settings/NearestName.h"
#include "Settings/SettingsFile.h"

#include <gmock/gmock.h>

#include <fstream>

namespace wisteriadock {
namespace {

    using namespace std::chrono_literals;

    enum class Color {
        Red,
        Green,
    };

    constexpr auto colorNames = makeNameTable<Color>({ { Color::Red, "red" }, { Color::Green, "green" } });

    struct Paint {
        std::uint32_t coats = 2;
        double gloss = 0.5;
        Color color = Color::Red;
        std::chrono::steady_clock::duration drying = 5s;
        Endpoint shop;
        std::vector<Endpoint> others;
        std::string label = "none";
        std::string maker = "none";
        bool matt = false;
    };

    class SettingsReaderTest : public testing::Test {
    protected:
        void read(std::string_view text)
        {
            const IniDocument document = IniDocument::parse("f.ini", text);
            SettingsReader reader(document);
            SectionReader& section = reader.section("paint", Presence::Required);
            section.integer("coats", paint_.coats, 1U, 9U);
            section.number("gloss", paint_.gloss, 0, 1);
            section.enumeration("color", paint_.color, colorNames);
            section.milliseconds("drying_milliseconds", paint_.drying, 1ms, 60s);
            section.endpoint("shop", paint_.shop, Presence::Required);
            section.endpoints("others", paint_.others);
            section.text("label", paint_.label);
            section.name("maker", paint_.maker);
            section.boolean("matt", paint_.matt);
            for (SectionReader* brush : reader.sectionsOf("brush"))
                brushes_.emplace_back(brush->instanceName());
            const SettingsProblems found = reader.finish();
            for (const SettingsProblem& problem : found.kept())
                problems_.push_back(problem.toString());
        }

        Paint paint_;
        std::vector<std::string> brushes_;
        std::vector<std::string> problems_;
    };

    TEST_F(SettingsReaderTest, TypesAndDefaults)
    {
        {
            SCOPED_TRACE("only the required key: other targets keep their defaults");
            read("[paint]\nshop = 192.0.2.1:80\n");
            EXPECT_THAT(problems_, testing::IsEmpty());
            EXPECT_EQ(paint_.coats, 2U);
            EXPECT_EQ(paint_.drying, 5s);
        }
        {
            SCOPED_TRACE("every key");
            read("[paint]\ncoats = 9\ngloss = 0.25\ncolor = green\ndrying_milliseconds = 250\nshop = 192.0.2.1:80\n"
                 "others = 192.0.2.2:1, 192.0.2.3:2\nlabel = two words\nmaker = m-1.x_y\nmatt = true\n"
                 "[brush wide]\n[brush thin]\n");
            EXPECT_THAT(problems_, testing::IsEmpty());
            EXPECT_EQ(paint_.coats, 9U);
            EXPECT_EQ(paint_.gloss, 0.25);
            EXPECT_EQ(paint_.color, Color::Green);
            EXPECT_EQ(paint_.drying, 250ms);
            EXPECT_EQ(paint_.shop.toString(), "192.0.2.1:80");
            EXPECT_EQ(paint_.others.size(), 2U);
            EXPECT_EQ(paint_.label, "two words");
            EXPECT_EQ(paint_.maker, "m-1.x_y");
            EXPECT_TRUE(paint_.matt);
            EXPECT_THAT(brushes_, testing::ElementsAre("wide", "thin"));
        }
    }

    TEST_F(SettingsReaderTest, InvalidValuesKeepDefaults)
    {
        read("[paint]\ncoats = 10\ngloss = nan\ncolor = gren\ndrying_milliseconds = 1s\nshop = here\nothers = "
             "1.2.3.4:1,\n"
             "label =\nmaker = -x\nmatt = yes\n");
        EXPECT_THAT(problems_,
            testing::ElementsAre("f.ini:2: [paint] coats = 10: expected a whole number from 1 to 9",
                "f.ini:3: [paint] gloss = nan: expected a number from 0 to 1",
                "f.ini:4: [paint] color = gren: expected one of red, green; the nearest is 'green'",
                "f.ini:5: [paint] drying_milliseconds = 1s: expected a whole number from 1 to 60000",
                "f.ini:6: [paint] shop = here: expected ADDRESS:PORT such as 192.0.2.1:443",
                "f.ini:7: [paint] others = 1.2.3.4:1,: expected ADDRESS:PORT, several of them separated by commas",
                "f.ini:8: [paint] label = : expected a text that is not empty",
                "f.ini:9: [paint] maker = -x: expected a name of 1 to 63 letters, digits, '-', '_' or '.', starting "
                "with a letter or digit",
                "f.ini:10: [paint] matt = yes: expected one of true, false; the nearest is 'true'"));
        EXPECT_EQ(paint_.coats, 2U);
        EXPECT_EQ(paint_.gloss, 0.5);
    }

    TEST_F(SettingsReaderTest, UnknownAndMissingNames)
    {
        {
            SCOPED_TRACE("unknown key, unknown section, section without a name, missing key");
            read("[paint]\ncoat = 3\n[brushes]\n[brush]\n[brush two words]\n");
            EXPECT_THAT(problems_,
                testing::ElementsAre("f.ini:1: [paint]: expected the key 'shop'",
                    "f.ini:2: [paint] coat = 3: expected a known key; the nearest is 'coats'",
                    "f.ini:3: [brushes]: expected a known section; the nearest is 'brush'",
                    testing::StartsWith("f.ini:4: [brush]: expected [brush NAME]"),
                    testing::StartsWith("f.ini:5: [brush two words]: expected [brush NAME]")));
        }
        {
            SCOPED_TRACE("missing section is reported once");
            problems_.clear();
            read("");
            EXPECT_THAT(problems_, testing::ElementsAre("f.ini: expected a section [paint]"));
        }
    }

    TEST(NearestNameTest, EditDistance)
    {
        EXPECT_EQ(editDistance("kitten", "sitting"), 3U);
        EXPECT_EQ(editDistance("", "abc"), 3U);
        EXPECT_EQ(nearestName("adress", { "slots", "address", "weight" }), "address");
        EXPECT_EQ(nearestName("x", {}), "");
    }

    TEST(SettingsFileTest, FileSizeLimit)
    {
        const std::string path = testing::TempDir() + "SettingsFileTest.ini";
        std::ofstream(path) << std::string(100, 'x');
        EXPECT_EQ(readFile(path, 100).value().size(), 100U);
        EXPECT_EQ(readFile(path, 99).error().code, ErrorCode::ResourceExhausted);
        EXPECT_EQ(readFile(path + ".none").error().code, ErrorCode::NotFound);
    }

}
}
