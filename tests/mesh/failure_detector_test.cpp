// FailureDetector alone: the test answers its probes.
#include "failure_detector/failure_detector.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>

using namespace cobaltshift;
using failure_detector::FailureDetector;
using registry::MemberState;

namespace {

constexpr std::uint32_t kMembers = 20;

struct Harness {
    FailureDetector detector{failure_detector::Settings{}, 1};
    double now = 1000;
    std::map<std::uint32_t, std::size_t> probes;
    std::vector<failure_detector::FailureDetector::IndirectProbe> indirect_probes;
    std::vector<std::uint32_t> suspected, gone, cleared;
    std::vector<std::uint32_t> silent;  // members that do not answer
    bool isolated = false;              // no answer arrives

    Harness() {
        for (std::uint32_t ip = 1; ip <= kMembers; ++ip) detector.set(now, ip, MemberState::alive);
    }
    void apply(FailureDetector::Output out) {
        indirect_probes.insert(indirect_probes.end(), out.indirect_probes.begin(), out.indirect_probes.end());
        suspected.insert(suspected.end(), out.suspected.begin(), out.suspected.end());
        gone.insert(gone.end(), out.gone.begin(), out.gone.end());
        cleared.insert(cleared.end(), out.cleared.begin(), out.cleared.end());
        for (const auto& probe : out.probes) {
            ++probes[probe.to];
            if (isolated || std::count(silent.begin(), silent.end(), probe.to)) continue;
            answered(probe.to);
        }
    }
    void answered(std::uint32_t ip) {
        FailureDetector::Output out;
        detector.on_answer(now, ip, out);
        apply(out);
    }
    void run(double until) {
        while (detector.due() < until) {
            now = std::max(now, detector.due());
            FailureDetector::Output out;
            detector.tick(now, out);
            apply(out);
        }
        now = until;
    }
};

}  // namespace

TEST_CASE("failure detector: each member is probed once per round, at two probes per second") {
    Harness harness;
    harness.run(harness.now + 10'000);
    std::size_t total = 0;
    for (const auto& [ip, count] : harness.probes) {
        total += count;
        CHECK(count <= 2);
    }
    CHECK(harness.probes.size() == kMembers);
    CHECK(total >= 19);
    CHECK(total <= 22);
    CHECK(harness.indirect_probes.empty());
    CHECK(harness.suspected.empty());
}

TEST_CASE("failure detector: an unresponsive member is probed by three others, then suspect, then gone") {
    Harness harness;
    harness.silent = {7};
    while (harness.indirect_probes.empty()) harness.run(harness.now + 10);
    CHECK(harness.indirect_probes.size() == 3);
    for (const auto& request : harness.indirect_probes) {
        CHECK(request.target == 7);
        CHECK(request.helper != 7);
    }
    CHECK(harness.indirect_probes[0].helper != harness.indirect_probes[1].helper);
    CHECK(harness.indirect_probes[0].helper != harness.indirect_probes[2].helper);
    CHECK(harness.indirect_probes[1].helper != harness.indirect_probes[2].helper);
    CHECK(harness.suspected.empty());
    harness.run(harness.now + 260);
    CHECK(harness.suspected == std::vector<std::uint32_t>{7});
    CHECK(harness.gone.empty());
    harness.run(harness.now + 1000);
    CHECK(harness.gone.empty());
    harness.run(harness.now + 250);
    CHECK(harness.gone == std::vector<std::uint32_t>{7});
    const std::size_t count = harness.probes[7];
    CHECK(count >= 5);  // direct, the second direct one, and while suspect
    harness.run(harness.now + 8000);
    CHECK(harness.probes[7] > count + 2);  // periodically, as long as it is kept
    CHECK(harness.probes[7] < count + 6);
}

TEST_CASE("failure detector: any answer clears a suspicion") {
    Harness harness;
    harness.silent = {7};
    while (harness.suspected.empty()) harness.run(harness.now + 10);
    harness.answered(7);
    harness.silent = {};
    CHECK(harness.cleared == std::vector<std::uint32_t>{7});
    harness.run(harness.now + 5000);
    CHECK(harness.gone.empty());
}

TEST_CASE("failure detector: a relayed suspicion lasts longer than an own one") {
    Harness harness;
    harness.detector.set(harness.now, 7, MemberState::suspect);
    harness.silent = {7};
    harness.run(harness.now + 1800);
    CHECK(harness.gone.empty());
    harness.run(harness.now + 200);
    CHECK(harness.gone == std::vector<std::uint32_t>{7});
}

TEST_CASE("failure detector: an isolated node declares no member gone, and recovers with the first answers") {
    Harness harness;
    harness.run(harness.now + 2000);
    harness.isolated = true;
    harness.run(harness.now + 30'000);
    CHECK(harness.gone.empty());
    CHECK(harness.suspected.size() <= 3);
    CHECK(harness.detector.isolated());
    harness.isolated = false;
    harness.run(harness.now + 600);
    CHECK_FALSE(harness.detector.isolated());
    harness.run(harness.now + 5000);
    CHECK(harness.gone.empty());
    harness.silent = {3};
    harness.run(harness.now + 20'000);
    CHECK(harness.gone == std::vector<std::uint32_t>{3});
}

// A process that was frozen has missed the answers sent meanwhile, so its suspicions prove nothing.
TEST_CASE("failure detector: suspicions restart after the process was frozen") {
    Harness harness;
    harness.silent = {7};
    while (harness.suspected.empty()) harness.run(harness.now + 10);
    harness.run(harness.now + 700);  // other members have answered since the suspicion began
    harness.now += 10'000;           // frozen
    FailureDetector::Output out;
    harness.detector.tick(harness.now, out);
    CHECK(out.gone.empty());
    harness.apply(out);
    harness.run(harness.now + 1000);
    CHECK(harness.gone.empty());
    harness.run(harness.now + 600);
    CHECK(harness.gone == std::vector<std::uint32_t>{7});
}

TEST_CASE("failure detector: probe_now() probes at once, but not a member with a pending probe") {
    Harness harness;
    harness.run(harness.now + 100);
    harness.silent = {9};
    const std::size_t before = harness.probes[9];
    for (int i = 0; i < 3; ++i) {
        FailureDetector::Output out;
        harness.detector.probe_now(harness.now, 9, out);
        harness.apply(out);
    }
    CHECK(harness.probes[9] == before + 1);
    harness.run(harness.now + 420);
    CHECK(harness.suspected == std::vector<std::uint32_t>{9});
}

TEST_CASE("failure detector: members may be removed at any time") {
    Harness harness;
    harness.silent = {7, 8};
    harness.run(harness.now + 3000);
    for (std::uint32_t ip = 1; ip <= kMembers; ++ip) harness.detector.remove(ip);
    harness.probes.clear();
    harness.run(harness.now + 3000);
    CHECK(harness.probes.empty());
    harness.detector.set(harness.now, 5, MemberState::alive);
    harness.run(harness.now + 1100);
    CHECK(harness.probes[5] >= 2);
}

TEST_CASE("failure detector: early probes replace periodic ones and do not raise the rate") {
    Harness harness;
    std::size_t total = 0;
    for (int i = 0; i < 200; ++i) {  // a wake-up every 50 ms
        harness.run(harness.now + 50);
        FailureDetector::Output out;
        harness.detector.probe_early(harness.now, out);
        harness.apply(out);
    }
    for (const auto& [ip, count] : harness.probes) total += count;
    CHECK(total >= 19);
    CHECK(total <= 22);
}
