// Each checker of the users' rules is seen red once: a safeguard is taken out of the model, and exactly the
// checker of the rule that it kept speaks. The same scenario is green with it.
#include <doctest/doctest.h>

#include <set>

#include "sim_mesh/world.hpp"

using namespace cobaltshift::simmesh;

namespace {

std::set<std::string> rules_broken(const std::string& text, const Safeguards& safeguards) {
    std::set<std::string> all;
    const Played played = play(read_scenario("checkers", text + "\nmust rules"), safeguards);
    for (const Finding& finding : played.findings) all.insert(finding.rule);
    return all;
}

void check_red(const std::string& rule, const std::string& text, bool Safeguards::*safeguard) {
    Safeguards without;
    without.*safeguard = false;
    CHECK(rules_broken(text, {}) == std::set<std::string>{});
    CHECK(rules_broken(text, without) == std::set<std::string>{rule});
}

const std::string kFleet = "fleet proxies=6 hubs=3 zones=3 services=2 seed=3\nat 1 put\n";
const std::string kTraffic = kFleet + "traffic plain=40 registered=40 from=4 to=24\n";

}  // namespace

TEST_CASE("TWICE: the caller's side repeats registered requests") {
    check_red("TWICE", kTraffic + "at 8 lose service 0 reset share=0.5 for=8", &Safeguards::registered_once);
}

// The second line: where the caller's side fails, the admission keeps the promise at its own server.
TEST_CASE("TWICE: the admission forgets ids") {
    const std::string text =
        "fleet proxies=2 hubs=3 zones=1 services=2 seed=3 slack=200\nat 1 put\n"
        "traffic registered=40 from=4 to=24\nat 8 lose service 1 reset share=0.5 for=8\nmust rules";
    Safeguards without;
    without.registered_once = false;
    CHECK(rules_broken(text, without) == std::set<std::string>{});
    without.once_at_admission = false;
    CHECK(rules_broken(text, without) == std::set<std::string>{"TWICE"});
}

TEST_CASE("UNASKED: the caller isn't named") { check_red("UNASKED", kTraffic, &Safeguards::caller_named); }

TEST_CASE("MIXED: ids of answers aren't compared") {
    check_red("MIXED", kTraffic + "at 8 lose service 0 extra share=0.5 for=8", &Safeguards::ids_compared);
}

TEST_CASE("REFUSED: a failure that may have run is told as a refusal") {
    check_red("REFUSED", kTraffic + "at 8 lose service 0 reset share=0.5 for=8",
              &Safeguards::proof_of_refusal);
}

TEST_CASE("ROUTE: nobody asks for the life that was meant") {
    check_red("ROUTE", kTraffic + "at 8 loss 1 for=14; close proxy 0 service=1 for=2",
              &Safeguards::life_expected);
}

TEST_CASE("DRAIN: an acknowledged closing is forgotten") {
    check_red("DRAIN", kTraffic + "at 10 close proxy 1 for=2", &Safeguards::closing_at_admission);
}

// Who starts takes the first configuration that it is told of: a control node's that is cut off.
TEST_CASE("CONFIG: a proxy that starts does not ask whether its configuration is current") {
    const std::string text =
        "fleet proxies=6 hubs=3 zones=3 services=2 seed=3\nat 1 put\ntraffic plain=20 from=4 to=34\n"
        "at 8 cut leader for=20 from=hubs\nat 12 put\nevery 2 from=14 to=26 kill proxies for=0.3\n";
    check_red("CONFIG", text, &Safeguards::confirms_at_start);
}

TEST_CASE("CONFIG: news of a configuration isn't followed") {
    check_red("CONFIG", kTraffic + "at 10 put", &Safeguards::fetches);
}

TEST_CASE("CONFIG: an older configuration is taken") {
    check_red("CONFIG", kTraffic + "at 10 cut follower from=hubs for=6\nat 11 put\nat 12 put\nat 13 put",
              &Safeguards::newer_only);
}

TEST_CASE("LOST: a hub acknowledges before a majority has it") {
    check_red("LOST", kFleet + "at 9 disk leader slow for=3\nat 10 on_ack wipe leader for=1\nat 10 put",
              &Safeguards::commit_first);
}

TEST_CASE("CONFIG: a change that is invalid or late is acknowledged") {
    check_red("CONFIG", kTraffic + "at 10 put operator=2 invalid", &Safeguards::checks_changes);
}

TEST_CASE("BUDGET: further tries aren't counted") {
    check_red("BUDGET", kFleet + "traffic plain=100 from=4 to=34\nat 8 lose service 0 reset share=0.9 for=14",
              &Safeguards::budget);
}

TEST_CASE("RECOVER: proxies that come back never find their servers") {
    check_red("RECOVER", kTraffic + "traffic plain=10 from=24 to=40\nat 10 kill proxies for=1",
              &Safeguards::hears_beats);
}

TEST_CASE("HELD: a request is held past its client's deadline") {
    check_red("HELD", kTraffic + "at 8 lose service 0 silence share=0.5 for=8", &Safeguards::deadline_kept);
}

TEST_CASE("GONE: what waits for a client that has left still goes to a server") {
    const std::string crowd =
        "fleet proxies=4 hubs=3 zones=1 services=2 seed=3 capacity=2 work=150\nat 1 put\n"
        "traffic plain=30 registered=40 from=4 to=14 leave=0.5\n";
    check_red("GONE", crowd, &Safeguards::withdrawn_when_gone);
}

TEST_CASE("LOST: a proxy holds requests to the end of its grace time and answers none of them") {
    const std::string text =
        "fleet proxies=6 hubs=3 zones=3 services=2 seed=3 work=200 deadline=9000\nat 1 put\n"
        "traffic plain=30 registered=30 from=4 to=24\nat 6 lose service 0 silence share=0.3 for=16\n"
        "every 4 from=8 to=22 sigterm proxy 2 for=1\n";
    check_red("LOST", text, &Safeguards::answers_at_end);
}

TEST_CASE("LOST: a proxy that ends in order does not wait for what it has read") {
    const std::string text =
        "fleet proxies=6 hubs=3 zones=3 services=2 seed=3 work=600\nat 1 put\n"
        "traffic plain=30 registered=30 from=4 to=24\nevery 4 from=8 to=22 sigterm proxy 2 for=1\n";
    check_red("LOST", text, &Safeguards::answers_before_end);
}
