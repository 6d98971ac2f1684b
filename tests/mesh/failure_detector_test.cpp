// The failure detector by itself: one FailureDetector, its answers given by hand.
#include "failure_detector/failure_detector.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>

using namespace cobaltshift;
using failure_detector::FailureDetector;
using registry::Standing;

namespace {

constexpr std::uint32_t kMembers = 20;

struct Rig {
    FailureDetector watch{failure_detector::Settings{}, 1};
    double now = 1000;
    std::map<std::uint32_t, std::size_t> probes;
    std::vector<failure_detector::FailureDetector::Ask> asks;
    std::vector<std::uint32_t> suspected, gone, cleared;
    std::vector<std::uint32_t> silent;  // who don't answer
    bool deaf = false;                  // no answer comes

    Rig() {
        for (std::uint32_t ip = 1; ip <= kMembers; ++ip) watch.set(now, ip, Standing::alive);
    }
    void carry_out(FailureDetector::Output out) {
        asks.insert(asks.end(), out.asks.begin(), out.asks.end());
        suspected.insert(suspected.end(), out.suspected.begin(), out.suspected.end());
        gone.insert(gone.end(), out.gone.begin(), out.gone.end());
        cleared.insert(cleared.end(), out.cleared.begin(), out.cleared.end());
        for (const auto& probe : out.probes) {
            ++probes[probe.to];
            if (deaf || std::count(silent.begin(), silent.end(), probe.to)) continue;
            answered(probe.to);
        }
    }
    void answered(std::uint32_t ip) {
        FailureDetector::Output out;
        watch.answered(now, ip, out);
        carry_out(out);
    }
    void run(double until) {
        while (watch.due() < until) {
            now = std::max(now, watch.due());
            FailureDetector::Output out;
            watch.tick(now, out);
            carry_out(out);
        }
        now = until;
    }
};

}  // namespace

TEST_CASE("each member is probed once a round, two a second") {
    Rig rig;
    rig.run(rig.now + 10'000);
    std::size_t sum = 0;
    for (const auto& [ip, times] : rig.probes) {
        sum += times;
        CHECK(times <= 2);
    }
    CHECK(rig.probes.size() == kMembers);
    CHECK(sum >= 19);
    CHECK(sum <= 22);
    CHECK(rig.asks.empty());
    CHECK(rig.suspected.empty());
}

TEST_CASE("who does not answer is asked for by three others, suspect, asked again, and gone") {
    Rig rig;
    rig.silent = {7};
    while (rig.asks.empty()) rig.run(rig.now + 10);
    CHECK(rig.asks.size() == 3);
    for (const auto& ask : rig.asks) {
        CHECK(ask.target == 7);
        CHECK(ask.helper != 7);
    }
    CHECK(rig.asks[0].helper != rig.asks[1].helper);
    CHECK(rig.asks[0].helper != rig.asks[2].helper);
    CHECK(rig.asks[1].helper != rig.asks[2].helper);
    CHECK(rig.suspected.empty());
    rig.run(rig.now + 260);
    CHECK(rig.suspected == std::vector<std::uint32_t>{7});
    CHECK(rig.gone.empty());
    rig.run(rig.now + 1000);
    CHECK(rig.gone.empty());
    rig.run(rig.now + 250);
    CHECK(rig.gone == std::vector<std::uint32_t>{7});
    const std::size_t times = rig.probes[7];
    CHECK(times >= 5);  // first, once more, and while suspect
    rig.run(rig.now + 8000);
    CHECK(rig.probes[7] > times + 2);  // now and then, as long as it is remembered
    CHECK(rig.probes[7] < times + 6);
}

TEST_CASE("an answer of any kind clears a suspicion") {
    Rig rig;
    rig.silent = {7};
    while (rig.suspected.empty()) rig.run(rig.now + 10);
    rig.answered(7);
    rig.silent = {};
    CHECK(rig.cleared == std::vector<std::uint32_t>{7});
    rig.run(rig.now + 5000);
    CHECK(rig.gone.empty());
}

TEST_CASE("a suspicion heard of runs longer than one's own") {
    Rig rig;
    rig.watch.set(rig.now, 7, Standing::suspect);
    rig.silent = {7};
    rig.run(rig.now + 1800);
    CHECK(rig.gone.empty());
    rig.run(rig.now + 200);
    CHECK(rig.gone == std::vector<std::uint32_t>{7});
}

TEST_CASE("who hears nobody declares nobody gone, and is itself at once when it hears again") {
    Rig rig;
    rig.run(rig.now + 2000);
    rig.deaf = true;
    rig.run(rig.now + 30'000);
    CHECK(rig.gone.empty());
    CHECK(rig.suspected.size() <= 3);
    CHECK(rig.watch.deaf());
    rig.deaf = false;
    rig.run(rig.now + 600);
    CHECK_FALSE(rig.watch.deaf());
    rig.run(rig.now + 5000);
    CHECK(rig.gone.empty());
    rig.silent = {3};
    rig.run(rig.now + 20'000);
    CHECK(rig.gone == std::vector<std::uint32_t>{3});
}

TEST_CASE("a frozen one starts its suspicions anew") {
    Rig rig;
    rig.silent = {7};
    while (rig.suspected.empty()) rig.run(rig.now + 10);
    rig.run(rig.now + 700);  // others have answered since
    rig.now += 10'000;       // nothing of it was seen
    FailureDetector::Output out;
    rig.watch.tick(rig.now, out);
    CHECK(out.gone.empty());
    rig.carry_out(out);
    rig.run(rig.now + 1000);
    CHECK(rig.gone.empty());
    rig.run(rig.now + 600);
    CHECK(rig.gone == std::vector<std::uint32_t>{7});
}

TEST_CASE("a doubt is a probe now, but not twice at once") {
    Rig rig;
    rig.run(rig.now + 100);
    rig.silent = {9};
    const std::size_t before = rig.probes[9];
    for (int i = 0; i < 3; ++i) {
        FailureDetector::Output out;
        rig.watch.doubt(rig.now, 9, out);
        rig.carry_out(out);
    }
    CHECK(rig.probes[9] == before + 1);
    rig.run(rig.now + 420);
    CHECK(rig.suspected == std::vector<std::uint32_t>{9});
}

TEST_CASE("members may go at any moment") {
    Rig rig;
    rig.silent = {7, 8};
    rig.run(rig.now + 3000);
    for (std::uint32_t ip = 1; ip <= kMembers; ++ip) rig.watch.remove(ip);
    rig.probes.clear();
    rig.run(rig.now + 3000);
    CHECK(rig.probes.empty());
    rig.watch.set(rig.now, 5, Standing::alive);
    rig.run(rig.now + 1100);
    CHECK(rig.probes[5] >= 2);
}

TEST_CASE("an early probe takes the place of the next") {
    Rig rig;
    std::size_t sum = 0;
    for (int i = 0; i < 200; ++i) {  // woken each 50 ms
        rig.run(rig.now + 50);
        FailureDetector::Output out;
        rig.watch.early(rig.now, out);
        rig.carry_out(out);
    }
    for (const auto& [ip, times] : rig.probes) sum += times;
    CHECK(sum >= 19);
    CHECK(sum <= 22);
}
