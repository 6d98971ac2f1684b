// ConfigStateMachine: which changes are applied, with the same result on every node.
#include "config/config_state_machine.hpp"

#include <doctest/doctest.h>

#include <random>

using namespace cobaltshift::config;
using Kind = ChangeOutcome::Kind;

namespace {

Change put(Edition if_match, Edition edition, const std::string& mark = "") {
    return {Change::Kind::put, if_match,
            "{\"edition\":\"r" + std::to_string(edition) +
                "\",\"routes\":{\"a\":{\"host\":\"h\",\"path_prefix\":\"/"
                "\",\"route_kind\":\"plain\",\"deadline_s\":1,"
                "\"target_s\":1,\"priority\":0,\"service\":\"s\",\"tries\":1}},\"services\":{\"s\":{\"health_"
                "path\":\"/\","
                "\"max_connections\":1}},\"limits\":{\"max_header_bytes\":1,\"max_body_bytes\":1,\"header_"
                "read_s\":1,"
                "\"idle_timeout_s\":1},\"mark\":\"" +
                mark + "\"}"};
}

Change remove_route(Edition if_match, Edition edition, const std::string& route) {
    return {Change::Kind::patch, if_match,
            "{\"edition\":\"r" + std::to_string(edition) + "\",\"remove\":{\"routes\":[\"" + route + "\"]}}"};
}

}  // namespace

TEST_CASE("state machine: a change is applied only on top of the edition that it names") {
    ConfigStateMachine state_machine;
    CHECK_FALSE(state_machine.current());
    CHECK(state_machine.apply(remove_route(0, 1, "a")).kind == Kind::invalid);  // nothing to patch yet
    CHECK(state_machine.apply(put(3, 4)).kind == Kind::stale);
    const ChangeOutcome first = state_machine.apply(put(0, 4));
    CHECK(first.kind == Kind::taken);
    CHECK(first.edition == 4);
    CHECK(state_machine.edition() == 4);
    const ChangeOutcome stale = state_machine.apply(put(0, 5));
    CHECK(stale.kind == Kind::stale);
    CHECK(stale.edition == 4);
    CHECK(state_machine.apply(remove_route(4, 9, "a")).kind == Kind::taken);
    CHECK(state_machine.edition() == 9);
    CHECK(state_machine.current()->routes.empty());
}

TEST_CASE("state machine: of two changes to one edition one wins") {
    ConfigStateMachine state_machine;
    state_machine.apply(put(0, 1));
    CHECK(state_machine.apply(put(1, 2, "a")).kind == Kind::taken);
    CHECK(state_machine.apply(put(1, 3, "b")).kind == Kind::stale);
    CHECK(state_machine.apply(put(1, 2, "b")).kind == Kind::stale);
    CHECK(state_machine.edition() == 2);
}

TEST_CASE("state machine: an invalid change is refused and changes nothing") {
    ConfigStateMachine state_machine;
    state_machine.apply(put(0, 5));
    const ChangeOutcome outcome = state_machine.apply(put(5, 5));
    CHECK(outcome.kind == Kind::invalid);
    CHECK_FALSE(outcome.complaints.empty());
    CHECK(state_machine.apply({Change::Kind::put, 5, "{"}).kind == Kind::invalid);
    CHECK(state_machine.edition() == 5);
}

TEST_CASE("state machine: a resubmitted change gets its original outcome, also after newer changes") {
    ConfigStateMachine state_machine;
    state_machine.apply(put(0, 1));
    for (Edition n = 1; n < kMaxRememberedChanges; ++n)
        REQUIRE(state_machine.apply(put(n, n + 1)).kind == Kind::taken);
    const ChangeOutcome again = state_machine.apply(put(0, 1));
    CHECK(again.kind == Kind::duplicate);
    CHECK(again.edition == 1);
    CHECK(state_machine.edition() == kMaxRememberedChanges);
    CHECK(state_machine.apply(put(0, 1, "other")).kind == Kind::stale);
    Change other = put(0, 1);
    other.kind = Change::Kind::patch;
    CHECK(state_machine.apply(other).kind == Kind::stale);  // the same body with another method
    REQUIRE(state_machine.apply(put(kMaxRememberedChanges, kMaxRememberedChanges + 1)).kind == Kind::taken);
    CHECK(state_machine.apply(put(0, 1)).kind == Kind::stale);  // the oldest is no longer remembered
}

TEST_CASE("state machine: check() changes nothing") {
    ConfigStateMachine state_machine;
    CHECK(state_machine.check(put(0, 2, "b")).kind == Kind::taken);
    CHECK_FALSE(state_machine.current());
    CHECK(state_machine.apply(put(0, 1)).kind == Kind::taken);  // not the change that was checked
    CHECK(state_machine.edition() == 1);
}

TEST_CASE("state machine: a restored snapshot behaves like the original") {
    ConfigStateMachine state_machine;
    for (Edition n = 0; n < 20; ++n) state_machine.apply(put(n, n + 1));
    const std::string bytes = state_machine.save();
    ConfigStateMachine other;
    REQUIRE(other.load(bytes));
    CHECK(other.save() == bytes);
    CHECK(to_json(*other.current()) == to_json(*state_machine.current()));
    CHECK(other.apply(put(3, 4)).kind == Kind::duplicate);
    CHECK(other.apply(put(20, 21)).kind == Kind::taken);
    ConfigStateMachine empty;
    REQUIRE(other.load(empty.save()));
    CHECK_FALSE(other.current());
}

TEST_CASE("state machine: an invalid snapshot leaves the state unchanged") {
    ConfigStateMachine state_machine;
    state_machine.apply(put(0, 1));
    const std::string bytes = state_machine.save();
    std::mt19937 random(5);
    for (std::size_t n = 0; n < bytes.size(); ++n) CHECK_FALSE(state_machine.load(bytes.substr(0, n)));
    for (int i = 0; i < 500; ++i) {
        std::string corrupted = bytes;
        corrupted[random() % corrupted.size()] ^= static_cast<char>(1 + random() % 255);
        CHECK_FALSE(state_machine.load(corrupted));
    }
    CHECK(state_machine.edition() == 1);
    const std::string change = encode(put(0, 1));
    REQUIRE(decode_change(change));
    CHECK(decode_change(change)->body == put(0, 1).body);
    for (std::size_t n = 0; n < change.size(); ++n) CHECK_FALSE(decode_change(change.substr(0, n)));
}

TEST_CASE("state machine: replicas that apply the same changes agree, and editions form one chain") {
    for (unsigned seed = 1; seed <= 30; ++seed) {
        std::mt19937 random(seed);
        ConfigStateMachine one, other;
        std::map<Edition, int> applied_on;
        for (int i = 0; i < 200; ++i) {
            const Edition base = random() % 4 == 0 ? random() % 20 : one.edition();
            const Change change = random() % 3 == 0
                                      ? remove_route(base, base + random() % 3, "a")
                                      : put(base, base + random() % 3, std::to_string(random() % 3));
            const Edition before = one.edition();
            if (random() % 2) one.check(change);
            const ChangeOutcome a = one.apply(change), b = other.apply(change);
            REQUIRE(a.kind == b.kind);
            REQUIRE(a.edition == b.edition);
            if (a.kind == Kind::taken) {
                REQUIRE(++applied_on[base] == 1);
                REQUIRE(base == before);
                REQUIRE(one.edition() > before);
            } else {
                REQUIRE(one.edition() == before);
            }
            if (random() % 20 == 0) REQUIRE(other.load(std::string(other.save())));
        }
        REQUIRE(one.save() == other.save());
    }
}
