// The state machine: which changes take effect, on every machine alike.
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

Change drop(Edition if_match, Edition edition, const std::string& route) {
    return {Change::Kind::patch, if_match,
            "{\"edition\":\"r" + std::to_string(edition) + "\",\"remove\":{\"routes\":[\"" + route + "\"]}}"};
}

}  // namespace

TEST_CASE("state machine: a change is taken on top of what it names, and only there") {
    ConfigStateMachine state_machine;
    CHECK_FALSE(state_machine.current());
    CHECK(state_machine.apply(drop(0, 1, "a")).kind == Kind::invalid);  // nothing to alter
    CHECK(state_machine.apply(put(3, 4)).kind == Kind::stale);
    const ChangeOutcome first = state_machine.apply(put(0, 4));
    CHECK(first.kind == Kind::taken);
    CHECK(first.edition == 4);
    CHECK(state_machine.edition() == 4);
    const ChangeOutcome stale = state_machine.apply(put(0, 5));
    CHECK(stale.kind == Kind::stale);
    CHECK(stale.edition == 4);
    CHECK(state_machine.apply(drop(4, 9, "a")).kind == Kind::taken);
    CHECK(state_machine.edition() == 9);
    CHECK(state_machine.current()->routes.empty());
}

TEST_CASE("state machine: of two changes on one version one wins") {
    ConfigStateMachine state_machine;
    state_machine.apply(put(0, 1));
    CHECK(state_machine.apply(put(1, 2, "a")).kind == Kind::taken);
    CHECK(state_machine.apply(put(1, 3, "b")).kind == Kind::stale);
    CHECK(state_machine.apply(put(1, 2, "b")).kind == Kind::stale);
    CHECK(state_machine.edition() == 2);
}

TEST_CASE("state machine: an invalid change is refused and alters nothing") {
    ConfigStateMachine state_machine;
    state_machine.apply(put(0, 5));
    const ChangeOutcome verdict = state_machine.apply(put(5, 5));
    CHECK(verdict.kind == Kind::invalid);
    CHECK_FALSE(verdict.complaints.empty());
    CHECK(state_machine.apply({Change::Kind::put, 5, "{"}).kind == Kind::invalid);
    CHECK(state_machine.edition() == 5);
}

TEST_CASE("state machine: a taken change sent again is answered as it was, after newer ones too") {
    ConfigStateMachine state_machine;
    state_machine.apply(put(0, 1));
    for (Edition n = 1; n < kRemembered; ++n) REQUIRE(state_machine.apply(put(n, n + 1)).kind == Kind::taken);
    const ChangeOutcome again = state_machine.apply(put(0, 1));
    CHECK(again.kind == Kind::already);
    CHECK(again.edition == 1);
    CHECK(state_machine.edition() == kRemembered);
    CHECK(state_machine.apply(put(0, 1, "other")).kind == Kind::stale);
    Change other = put(0, 1);
    other.kind = Change::Kind::patch;
    CHECK(state_machine.apply(other).kind == Kind::stale);  // the same bytes by another method
    REQUIRE(state_machine.apply(put(kRemembered, kRemembered + 1)).kind == Kind::taken);
    CHECK(state_machine.apply(put(0, 1)).kind == Kind::stale);  // forgotten: the oldest of too many
}

TEST_CASE("state machine: looking at a change alters nothing") {
    ConfigStateMachine state_machine;
    CHECK(state_machine.check(put(0, 2, "b")).kind == Kind::taken);
    CHECK_FALSE(state_machine.current());
    CHECK(state_machine.apply(put(0, 1)).kind == Kind::taken);  // not what was looked at
    CHECK(state_machine.edition() == 1);
}

TEST_CASE("state machine: saved and read back it answers alike") {
    ConfigStateMachine state_machine;
    for (Edition n = 0; n < 20; ++n) state_machine.apply(put(n, n + 1));
    const std::string bytes = state_machine.save();
    ConfigStateMachine other;
    REQUIRE(other.load(bytes));
    CHECK(other.save() == bytes);
    CHECK(to_json(*other.current()) == to_json(*state_machine.current()));
    CHECK(other.apply(put(3, 4)).kind == Kind::already);
    CHECK(other.apply(put(20, 21)).kind == Kind::taken);
    ConfigStateMachine empty;
    REQUIRE(other.load(empty.save()));
    CHECK_FALSE(other.current());
}

TEST_CASE("state machine: bytes that are none leave it as it was") {
    ConfigStateMachine state_machine;
    state_machine.apply(put(0, 1));
    const std::string bytes = state_machine.save();
    std::mt19937 lots(5);
    for (std::size_t n = 0; n < bytes.size(); ++n) CHECK_FALSE(state_machine.load(bytes.substr(0, n)));
    for (int i = 0; i < 500; ++i) {
        std::string bent = bytes;
        bent[lots() % bent.size()] ^= static_cast<char>(1 + lots() % 255);
        CHECK_FALSE(state_machine.load(bent));
    }
    CHECK(state_machine.edition() == 1);
    const std::string change = encode(put(0, 1));
    REQUIRE(decode_change(change));
    CHECK(decode_change(change)->body == put(0, 1).body);
    for (std::size_t n = 0; n < change.size(); ++n) CHECK_FALSE(decode_change(change.substr(0, n)));
}

TEST_CASE("state machine: any order of changes leads to the same on every machine, one chain of versions") {
    for (unsigned seed = 1; seed <= 30; ++seed) {
        std::mt19937 lots(seed);
        ConfigStateMachine one, other;
        std::map<Edition, int> taken_on;
        for (int i = 0; i < 200; ++i) {
            const Edition base = lots() % 4 == 0 ? lots() % 20 : one.edition();
            const Change change = lots() % 3 == 0 ? drop(base, base + lots() % 3, "a")
                                                  : put(base, base + lots() % 3, std::to_string(lots() % 3));
            const Edition before = one.edition();
            if (lots() % 2) one.check(change);
            const ChangeOutcome a = one.apply(change), b = other.apply(change);
            REQUIRE(a.kind == b.kind);
            REQUIRE(a.edition == b.edition);
            if (a.kind == Kind::taken) {
                REQUIRE(++taken_on[base] == 1);
                REQUIRE(base == before);
                REQUIRE(one.edition() > before);
            } else {
                REQUIRE(one.edition() == before);
            }
            if (lots() % 20 == 0) REQUIRE(other.load(std::string(other.save())));
        }
        REQUIRE(one.save() == other.save());
    }
}
