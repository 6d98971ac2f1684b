// Result files, the page and the comparison: nothing measured, one sample, names that would break a page,
// files of other experiments, engines, versions and builds.
#include "lab/report.hpp"

#include <gtest/gtest.h>

#include <cmath>
#include <fstream>
#include <sstream>

#include "lab/child.hpp"
#include "lab/results.hpp"
#include "lab/svg.hpp"

namespace cobaltshift::lab {
namespace {

DayResult a_day(std::uint64_t seed, double lost, const std::string& label = "planners=0") {
    DayResult day;
    day.experiment = "f00d", day.name = "gain", day.about = "what is tried", day.engine = "world";
    day.label = label, day.commit = "c0ffee", day.machine = "x86_64, 4 cores";
    day.seed = seed, day.length = 1000;
    day.figures = {{"asked", 1000}, {"in time", 1000 - lost}, {"late", lost},        {"refused", 0},
                   {"failed", 0},   {"attempts", 1010},       {"loss", lost / 1000}, {"p99 ms", 90.0 + lost}};
    Histogram times;
    times.add(5, 900), times.add(90, 100 - lost / 2);
    day.times = times.sparse();
    day.course.slots = {{500, 0, 0, 0},
                        {static_cast<std::uint32_t>(500 - lost), static_cast<std::uint32_t>(lost), 0, 0}};
    day.faults = {{"crash", "1", 200, 300, 0}};
    day.bounds = {{"late", true, 100}};
    return day;
}

class Files {
public:
    std::string with(const std::string& name, const std::vector<DayResult>& days,
                     const std::string& tail = "") {
        std::string text;
        for (const DayResult& day : days) text += line_of(day) + "\n";
        return folder_.write(name, text + tail);
    }
    std::string at(const std::string& name) const { return folder_.path() + "/" + name; }

private:
    Folder folder_;
};

std::string text_in(const std::string& file) {
    std::ifstream in(file);
    return {std::istreambuf_iterator<char>(in), {}};
}

TEST(Results, ReadBackAsTheyWereAndLeaveOutALineCutShort) {
    Files files;
    const DayResult day = a_day(7, 30);
    const Held held = read_results(files.with("r", {day, a_day(8, 10)}, "{\"format\":2,\"exp"));
    ASSERT_EQ(held.days.size(), 2U);
    EXPECT_EQ(line_of(held.days[0]), line_of(day));
    EXPECT_EQ(held.whole, line_of(day).size() + line_of(a_day(8, 10)).size() + 2);
}

TEST(Results, HostileLinesAreComplaintsThatNameThem) {
    Files files;
    std::string good = line_of(a_day(1, 1));
    const auto changed = [&](const std::string& from, const std::string& to) {
        std::string bad = good;
        bad.replace(bad.find(from), from.size(), to);
        return bad + "\n";
    };
    struct Row {
        std::string text;
        const char* complaint;
    };
    const Row table[] = {
        {"\n", ":1: is no line of results"},
        {"[1]\n", ":1: is no line of results"},
        {"{}\n", ":1: is no line of results"},
        {good + "\nnot json\n", ":2: is no line of results"},
        {changed("\"format\":2", "\"format\":1"), ":1: is of another version"},
        {changed("\"seed\":1", "\"seed\":\"1\""), ":1: is no whole line of results"},
        {changed("\"seed\":1", "\"sead\":1"), ":1: is no whole line of results"},
        {changed("\"times\":[[", "\"times\":[[\"x\","), ":1: is no whole line of results"},
        {changed("\"slots\":[[500,", "\"slots\":[["), ":1: is no whole line of results"},
        {changed("\"figures\":{", "\"figures\":{\"odd\":[],"), ":1: is no whole line of results"},
    };
    for (const Row& row : table) {
        std::string said = "none";
        try {
            read_results(files.with("r", {}, row.text));
        } catch (const SettingsError& error) {
            said = error.what();
        }
        EXPECT_NE(said.find(row.complaint), std::string::npos) << said << "\n" << row.text;
    }
    EXPECT_THROW(read_results(files.at("none")), SettingsError);
    // Bins of another axis are left out of a plot, not read past its end.
    DayResult odd = a_day(1, 1);
    odd.times = {{-5, 1}, {1 << 30, 1}, {3, 1e300}};
    std::ostringstream out, err;
    EXPECT_EQ(report({{files.with("odd", {odd})}, files.at("odd.html"), true}, out, err), 0) << err.str();
}

TEST(Report, IsOnePageWithoutNetworkAndSaysWhichBoundFallsShort) {
    Files files;
    const std::string good = files.with("good", {a_day(1, 30), a_day(2, 40)});
    std::ostringstream out, err;
    EXPECT_EQ(report({{good}, files.at("page.html"), true}, out, err), 0) << err.str();
    const std::string page = text_in(files.at("page.html"));
    for (const char* part : {"<svg", "prefers-color-scheme:dark", "@media print", "planners=0", "c0ffee",
                             "class=\"shade\"", "holds", "96.500"})
        EXPECT_NE(page.find(part), std::string::npos) << part;
    for (const char* part : {"http:", "https:", "src=", "url(", "@import", "<script"})
        EXPECT_EQ(page.find(part), std::string::npos) << part;
    EXPECT_NE(out.str().find("holds  late, planners=0"), std::string::npos) << out.str();
    std::ostringstream short_out;
    EXPECT_EQ(report({{files.with("bad", {a_day(1, 80), a_day(2, 90)})}, "", true}, short_out, err), 1);
    EXPECT_NE(short_out.str().find("SHORT  late"), std::string::npos);
    EXPECT_EQ(report({{good}, files.at("no/such/folder.html"), false}, out, err), 2);
    EXPECT_EQ(report({{files.at("none")}, "", true}, out, err), 2);
}

TEST(Report, OfNothingOfOneSampleAndOfTenMillion) {
    Files files;
    std::ostringstream out, err;
    EXPECT_EQ(report({{files.with("empty", {})}, files.at("e.html"), true}, out, err), 0);
    EXPECT_NE(text_in(files.at("e.html")).find("No day has been played"), std::string::npos);

    DayResult none = a_day(1, 0);
    none.figures = {{"asked", 0}, {"in time", 0}}, none.times = {}, none.course.slots = {}, none.bounds = {};
    EXPECT_EQ(report({{files.with("none", {none})}, files.at("n.html"), true}, out, err), 0);
    EXPECT_NE(text_in(files.at("n.html")).find("Nothing was measured"), std::string::npos);

    DayResult one = none;
    one.figures = {{"asked", 1}, {"in time", 1}}, one.course.slots = {{1, 0, 0, 0}};
    Histogram single;
    single.add(42);
    one.times = single.sparse();
    EXPECT_EQ(report({{files.with("one", {one})}, files.at("o.html"), true}, out, err), 0);

    DayResult many = a_day(1, 0);
    Histogram all;
    for (int i = 1; i <= 1000; ++i) all.add(i, 10000);
    many.times = all.sparse();
    EXPECT_EQ(report({{files.with("many", {many})}, files.at("m.html"), true}, out, err), 0);
    for (const char* page : {"n.html", "o.html", "m.html"}) {
        const std::string text = text_in(files.at(page));
        EXPECT_EQ(text.find("nan"), std::string::npos) << page;
        EXPECT_EQ(text.find("inf"), std::string::npos) << page;
        EXPECT_LT(text.size(), 100000U);
    }
}

TEST(Report, NamesThatWouldBreakAPageDoNot) {
    Files files;
    DayResult day = a_day(1, 1, "<script>alert(1)</script>\"'&=3");
    day.name = "</style><img src=x onerror=alert(1)>", day.about = day.name, day.commit = day.name;
    day.machine = "a\x01\x1b[31mb";
    std::ostringstream out, err;
    report({{files.with("r", {day})}, files.at("p.html"), false}, out, err);
    const std::string page = text_in(files.at("p.html"));
    EXPECT_EQ(page.find("<script"), std::string::npos);
    EXPECT_EQ(page.find("<img"), std::string::npos);
    EXPECT_EQ(page.find('\x1b'), std::string::npos);
    EXPECT_EQ(page.find("</style>"), page.rfind("</style>")) << "closed once, by the page itself";
    EXPECT_EQ(escaped("<a b=\"c\" d='e'>&"), "&lt;a b=&quot;c&quot; d=&#39;e&#39;&gt;&amp;");
}

TEST(Report, DrawsACurveOfWhatWasVariedOverThreeValues) {
    Files files;
    std::vector<DayResult> days;
    for (const int load : {1, 2, 3})
        days.push_back(a_day(1, 10 * load, "load=" + std::to_string(load) + " planners=3"));
    std::ostringstream out, err;
    report({{files.with("r", days)}, files.at("p.html"), false}, out, err);
    EXPECT_NE(text_in(files.at("p.html")).find("Not served in time by load"), std::string::npos);
    EXPECT_EQ(text_in(files.at("p.html")).find("Not served in time by planners"), std::string::npos);
}

TEST(Compare, SaysWhatMovedBeyondItsNoiseAndForTheWorse) {
    Files files;
    std::vector<DayResult> before, same, worse, better, noisy;
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        const double noise = static_cast<double>(seed * 7 % 5);
        before.push_back(a_day(seed, 20 + noise));
        same.push_back(a_day(seed, 20 + noise));
        noisy.push_back(a_day(seed, 20 + static_cast<double>(seed * 3 % 5)));
        worse.push_back(a_day(seed, 30 + noise));
        better.push_back(a_day(seed, 10 + noise));
    }
    const std::string base = files.with("base", before);
    const auto said = [&](const std::vector<DayResult>& days, int expected) {
        std::ostringstream out, err;
        EXPECT_EQ(compare(base, files.with("other", days), out, err), expected) << out.str() << err.str();
        return out.str() + err.str();
    };
    EXPECT_EQ(said(same, 0).find("WORSE"), std::string::npos);
    EXPECT_EQ(said(noisy, 0).find("WORSE"), std::string::npos);
    EXPECT_NE(said(worse, 1).find("WORSE"), std::string::npos);
    EXPECT_NE(said(better, 0).find("better"), std::string::npos);
    for (DayResult& day : same) day.commit = "0ther";
    EXPECT_NE(said(same, 0).find("builds differ: c0ffee and 0ther"), std::string::npos);
    for (DayResult& day : same) day.engine = "sockets";
    EXPECT_NE(said(same, 2).find("different engines"), std::string::npos);
    for (DayResult& day : worse) day.experiment = "beef";
    EXPECT_NE(said(worse, 2).find("different experiments"), std::string::npos);
    EXPECT_NE(said({a_day(99, 1)}, 2).find("no day in common"), std::string::npos);
    EXPECT_NE(said({}, 2).find("holds not one experiment"), std::string::npos);
    EXPECT_NE(said({a_day(1, 500)}, 0).find("too few days to say"), std::string::npos);
}

}  // namespace
}  // namespace cobaltshift::lab
