// Experiment files: hostile and careless ones with their complaints, the ones in the repository, and runs
// that stop and go on.
#include "lab/experiment.hpp"

#include <gtest/gtest.h>
#include <toml++/toml.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

namespace cobaltshift::lab {
namespace {

TEST(Experiments, HostileFilesAndWhatIsSaidOfEach) {
    struct Row {
        const char* text;
        const char* complaint;
    };
    const Row table[] = {
        {"name = \"a\"\n", "none"},
        {"", "x.toml: name is missing"},
        {"name = 5\n", "x.toml:1: name is not a text"},
        {"name = \"a\nb\"", "x.toml:1: Error while parsing string"},
        {"name = \"a\"\nweather = 1\n", "x.toml:2: weather is not known"},
        {"name = \"a\"\nlength_ms = 1\n", "x.toml:2: length_ms is not between 100 and 3.6e+06"},
        {"name = \"a\"\nlength_ms = nan\n", "x.toml:2: length_ms is not between"},
        {"name = \"a\"\n[set]\nload = true\n", "x.toml:3: set.load is not a number"},
        {"name = \"a\"\n[set]\nlaod = 1\n", "x.toml:3: set.laod is not known"},
        {"name = \"a\"\n[set]\nservers = 1e9\n", "x.toml:3: set.servers is not between 0 and 500"},
        {"name = \"a\"\n[troubles]\ndrains = 1\n", "x.toml:3: troubles.drains is neither true nor false"},
        {"name = \"a\"\n[vary]\nload = 0.5\n", "x.toml:3: vary.load is not a list"},
        {"name = \"a\"\n[vary]\nload = []\n", "x.toml:3: vary.load has not 1 to 100 entries"},
        {"name = \"a\"\n[vary]\nload = [0.5, \"x\"]\n", "x.toml:3: vary.load has what is not a number"},
        {"name = \"a\"\n[vary]\nload = [0.5, 99]\n", "x.toml:3: vary.load has a value out of its range"},
        {"name = \"a\"\npair = \"load\"\n", "x.toml:2: pair is not varied"},
        {"name = \"a\"\n[[fault]]\nkind = \"rain\"\n", "x.toml:3: fault.kind is no fault that there is"},
        {"name = \"a\"\n[[fault]]\nat_ms = 5\n", "x.toml: fault.kind is missing"},
        {"name = \"a\"\n[fault]\nkind = \"crash\"\n", "x.toml:2: fault is not a list of tables"},
        {"name = \"a\"\n[[bound]]\nfigure = \"joy\"\nat_most = 1\n",
         "x.toml:3: bound.figure is a figure that no engine measures"},
        {"name = \"a\"\n[[bound]]\nfigure = \"loss removed\"\nat_most = 1\n",
         "x.toml:3: bound.figure is a figure that no engine measures"},
        {"name = \"a\"\n[[bound]]\nfigure = \"loss\"\n",
         "x.toml:3: bound.figure has neither at_most nor at_least"},
        {"name = \"a\"\n[vary]\nload = [0.5]\n[[bound]]\nfigure = \"loss\"\nat_most = 1\nwhere = { load = "
         "0.4 }\n",
         "x.toml:7: bound.where is a variant that is never played"},
        {"name = \"a\"\n[seeds]\ncount = 0\n", "x.toml:3: seeds.count is not between 1 and 1e+06"},
    };
    for (const Row& row : table) {
        std::string said = "none";
        try {
            read_experiment(row.text, "x.toml");
        } catch (const SettingsError& error) {
            said = error.what();
        }
        EXPECT_EQ(said.substr(0, std::string(row.complaint).size()), row.complaint) << row.text;
    }
}

TEST(Experiments, VaryEveryCombinationAndKeepTheTroublesOfOneSeed) {
    const Experiment e = read_experiment(
        "name = \"a\"\n[set]\nservers = 8\n[troubles]\ncrash_part = 0.5\n[vary]\nplanners = [0, 3]\nload = "
        "[0.1, 0.2, 0.3]\n",
        "x.toml");
    const auto variants = e.variants();
    EXPECT_EQ(variants.size(), 6U);
    EXPECT_EQ(std::set(variants.begin(), variants.end()).size(), 6U);
    const sim::Case first = e.day_of(variants[0], 5);
    EXPECT_EQ(first.faults.size(), 4U);
    for (const auto& variant : variants) EXPECT_EQ(e.day_of(variant, 5).faults, first.faults);
    EXPECT_NE(e.day_of(variants[0], 6).faults, first.faults);
}

std::string text_of(const std::filesystem::path& path) {
    std::ifstream in(path);
    return std::string(std::istreambuf_iterator<char>(in), {});
}

TEST(Experiments, ThoseInTheRepositoryAreReadable) {
    std::size_t files = 0;
    for (const auto& entry : std::filesystem::directory_iterator(COBALTSHIFT_EXPERIMENTS)) {
        if (entry.path().filename() == "days") continue;  // the bench's days, read below
        EXPECT_NO_THROW(read_experiment(text_of(entry.path()), entry.path().filename())) << entry.path();
        ++files;
    }
    EXPECT_GE(files, 2U);
}

// Days of our own for the users' bench: one `[[day]]` each, whose troubles all say what and when.
TEST(Experiments, DaysForTheBenchInTheRepositoryAreReadable) {
    std::size_t files = 0;
    const std::filesystem::path folder = std::filesystem::path(COBALTSHIFT_EXPERIMENTS) / "days";
    for (const auto& entry : std::filesystem::directory_iterator(folder)) {
        SCOPED_TRACE(entry.path());
        ++files;
        toml::table file;
        ASSERT_NO_THROW(file = toml::parse(text_of(entry.path())));
        const toml::array* days = file["day"].as_array();
        ASSERT_TRUE(days != nullptr && days->size() == 1);
        const toml::table& day = *days->get(0)->as_table();
        const double length_s = day["length_s"].value_or(0.0);
        EXPECT_TRUE(day["name"].is_string() && length_s > 0);
        std::size_t troubles = 0;
        for (const char* list : {"plan", "faults"}) {
            const toml::array* entries = day[list].as_array();
            if (entries == nullptr) continue;
            for (const toml::node& node : *entries) {
                const toml::table& trouble = *node.as_table();
                EXPECT_TRUE(trouble["kind"].is_string());
                EXPECT_TRUE(trouble["at"].is_number() && trouble["at"].value_or(1e9) < length_s);
                ++troubles;
            }
        }
        EXPECT_GE(troubles, 1U);
        EXPECT_TRUE(day["traffic"].is_array_of_tables());
    }
    EXPECT_GE(files, 10U);
}

class Runs : public testing::Test {
protected:
    void SetUp() override {
        std::string pattern = testing::TempDir() + "cobaltshift-XXXXXX";
        folder = ::mkdtemp(pattern.data());
        what.file = folder + "/e.toml";
        what.results = folder + "/r.jsonl";
        write(what.file, kText);
    }
    void TearDown() override { std::filesystem::remove_all(folder); }
    static void write(const std::string& file, const std::string& text) { std::ofstream(file) << text; }
    static std::string read(const std::string& file) {
        std::ifstream in(file);
        return std::string(std::istreambuf_iterator<char>(in), {});
    }
    int run() {
        out.str(""), err.str("");
        return run_experiment(what, out, err);
    }
    static std::set<std::pair<int, int>> days(const std::string& text, std::size_t* lines = nullptr) {
        std::set<std::pair<int, int>> all;
        std::istringstream in(text);
        for (std::string line; std::getline(in, line);) {
            const auto one = nlohmann::json::parse(line);
            all.insert({one["variant"].get<int>(), one["seed"].get<int>()});
            if (lines) ++*lines;
        }
        return all;
    }
    static constexpr const char* kText =
        "name = \"small\"\nlength_ms = 1000\npair = \"planners\"\n[set]\nforwarders = 3\nservers = 4\n"
        "[vary]\nplanners = [0, 1]\n[seeds]\ncount = 6\n[[bound]]\nfigure = \"broken\"\nat_most = 0\n";
    std::string folder;
    RunExperiment what;
    std::ostringstream out, err;
};

TEST_F(Runs, GoOnAfterAStopWithNoSeedTwice) {
    ASSERT_EQ(run(), 0) << err.str();
    const std::string whole = read(what.results), report = out.str();
    EXPECT_EQ(days(whole).size(), 12U);
    // Stopped in the middle of the fifth line.
    std::size_t end = 0;
    for (int i = 0; i < 4; ++i) end = whole.find('\n', end) + 1;
    write(what.results, whole.substr(0, end + 20));
    ASSERT_EQ(run(), 0) << err.str();
    std::size_t lines = 0;
    EXPECT_EQ(days(read(what.results), &lines).size(), 12U);
    EXPECT_EQ(lines, 12U) << "a day twice";
    EXPECT_EQ(out.str(), report) << "the same figures, however they came together";
    // All there: nothing is played again.
    ASSERT_EQ(run(), 0);
    EXPECT_EQ(out.str(), report);
}

TEST_F(Runs, RefuseResultsOfAnotherExperimentAndFilesThatAreNone) {
    ASSERT_EQ(run(), 0);
    const std::string kept = read(what.results);
    write(what.file, std::string(kText) + "[troubles]\ncrash_part = 0.5\n");
    EXPECT_EQ(run(), 2);
    EXPECT_NE(err.str().find("r.jsonl:1: is of another experiment or version"), std::string::npos)
        << err.str();
    EXPECT_EQ(read(what.results), kept) << "and it is left as it was";
    write(what.results, "not json\n");
    EXPECT_EQ(run(), 2);
    EXPECT_NE(err.str().find("r.jsonl:1: is no line of results"), std::string::npos) << err.str();
    what.file = folder + "/nowhere.toml";
    EXPECT_EQ(run(), 2);
    what.file = folder + "/e.toml", what.results = folder + "/no/such/folder";
    EXPECT_EQ(run(), 2);
}

TEST_F(Runs, ABoundThatFallsShortIsNamed) {
    write(what.file,
          std::string(kText) + "[[bound]]\nfigure = \"asked\"\nat_least = 1e9\nwhere = { planners = 1 }\n");
    EXPECT_EQ(run(), 1);
    EXPECT_NE(out.str().find("SHORT  asked, planners=1"), std::string::npos) << out.str();
    EXPECT_EQ(out.str().find("SHORT  asked, planners=0"), std::string::npos);
}

TEST_F(Runs, AFaultOfAServerThatIsNotThereEndsTheRunAndSaysWhere) {
    write(what.file, std::string(kText) + "[[fault]]\nkind = \"crash\"\ntarget = \"77\"\n");
    EXPECT_EQ(run(), 2);
    EXPECT_NE(err.str().find("there is no server '77'"), std::string::npos) << err.str();
}

}  // namespace
}  // namespace cobaltshift::lab
