// Which configuration a proxy that starts may put in force, and the same of whole proxies in virtual time.
#include "config/startup_confirmation.hpp"

#include <doctest/doctest.h>

using namespace cobaltshift::config;
using State = StartupConfirmation::State;
using Kind = CurrentAnswer::Kind;

namespace {
const std::vector<std::uint32_t> kNodes = {11, 12, 13};
constexpr StartupConfirmation::Settings kSettings;
}  // namespace

TEST_CASE("startup confirmation: what a majority called current may be in force, an older one may not") {
    StartupConfirmation one(kSettings, 100);
    CHECK(one.next_to_ask(100, kNodes) == 11U);
    CHECK_FALSE(one.next_to_ask(100, kNodes));  // one question at a time
    CHECK_FALSE(one.usable(100, 7));
    one.on_answer({Kind::current, 8, 0});
    CHECK_FALSE(one.usable(110, 7));
    CHECK(one.usable(110, 8));
    CHECK(one.usable(110, 9));
    CHECK(one.state(110, 8) == State::confirmed);
    CHECK_FALSE(one.due(110));
    CHECK_FALSE(one.next_to_ask(2000, kNodes));
}

TEST_CASE("startup confirmation: a node that does not lead names the one that does, which is asked at once") {
    StartupConfirmation one(kSettings, 0);
    CHECK(one.next_to_ask(0, kNodes) == 11U);
    one.on_answer({Kind::elsewhere, 0, 13});
    CHECK(one.next_to_ask(1, kNodes) == 13U);
    one.on_answer({});
    CHECK_FALSE(one.next_to_ask(2, kNodes));
    CHECK(one.next_to_ask(1 + kSettings.ask_every, kNodes) == 12U);
}

TEST_CASE(
    "startup confirmation: without a majority's word the newest told is in force after the bound, and is "
    "said so") {
    StartupConfirmation one(kSettings, 0);
    Millis now = 0;
    while (now < kSettings.bound) {
        CHECK_FALSE(one.usable(now, 7));
        if (one.next_to_ask(now, kNodes)) one.on_answer({});
        now += 10;
    }
    CHECK(one.usable(now, 7));
    CHECK(one.state(now, 7) == State::unconfirmed);
    CHECK_FALSE(one.usable(now, 0));  // there is none
    CHECK(one.due(now));              // it goes on asking
    while (!one.next_to_ask(now, kNodes)) now += 10;
    one.on_answer({Kind::current, 7, 0});
    CHECK(one.state(now, 7) == State::confirmed);
}

TEST_CASE("startup confirmation: before the first configuration any is newer") {
    StartupConfirmation one(kSettings, 0);
    one.next_to_ask(0, kNodes);
    one.on_answer({Kind::current, 0, 0});
    CHECK_FALSE(one.usable(1, 0));
    CHECK(one.usable(1, 1));
}

TEST_CASE("startup confirmation: nobody is known to ask") {
    StartupConfirmation one(kSettings, 0);
    CHECK_FALSE(one.next_to_ask(0, {}));
    CHECK(one.next_to_ask(kSettings.ask_every, kNodes));
}
