// StartupConfirmation: when a proxy that has just started may put a configuration in force.
#include "config/startup_confirmation.hpp"

#include <doctest/doctest.h>

using namespace cobaltshift::config;
using State = StartupConfirmation::State;
using Kind = CurrentAnswer::Kind;

namespace {
const std::vector<std::uint32_t> kNodes = {11, 12, 13};
constexpr StartupConfirmation::Settings kSettings;
}  // namespace

TEST_CASE("startup confirmation: an edition older than the confirmed one may not be in force") {
    StartupConfirmation confirmation(kSettings, 100);
    CHECK(confirmation.next_to_ask(100, kNodes) == 11U);
    CHECK_FALSE(confirmation.next_to_ask(100, kNodes));  // one query at a time
    CHECK_FALSE(confirmation.usable(100, 7));
    confirmation.on_answer({Kind::current, 8, 0});
    CHECK_FALSE(confirmation.usable(110, 7));
    CHECK(confirmation.usable(110, 8));
    CHECK(confirmation.usable(110, 9));
    CHECK(confirmation.state(110, 8) == State::confirmed);
    CHECK_FALSE(confirmation.due(110));
    CHECK_FALSE(confirmation.next_to_ask(2000, kNodes));
}

TEST_CASE("startup confirmation: a follower names the leader, which is asked at once") {
    StartupConfirmation confirmation(kSettings, 0);
    CHECK(confirmation.next_to_ask(0, kNodes) == 11U);
    confirmation.on_answer({Kind::elsewhere, 0, 13});
    CHECK(confirmation.next_to_ask(1, kNodes) == 13U);
    confirmation.on_answer({});
    CHECK_FALSE(confirmation.next_to_ask(2, kNodes));
    CHECK(confirmation.next_to_ask(1 + kSettings.retry_interval, kNodes) == 12U);
}

TEST_CASE(
    "startup confirmation: without a confirmation the newest edition is used, unconfirmed, after max_wait") {
    StartupConfirmation confirmation(kSettings, 0);
    Millis now = 0;
    while (now < kSettings.max_wait) {
        CHECK_FALSE(confirmation.usable(now, 7));
        if (confirmation.next_to_ask(now, kNodes)) confirmation.on_answer({});
        now += 10;
    }
    CHECK(confirmation.usable(now, 7));
    CHECK(confirmation.state(now, 7) == State::unconfirmed);
    CHECK_FALSE(confirmation.usable(now, 0));  // no configuration is held
    CHECK(confirmation.due(now));              // queries continue
    while (!confirmation.next_to_ask(now, kNodes)) now += 10;
    confirmation.on_answer({Kind::current, 7, 0});
    CHECK(confirmation.state(now, 7) == State::confirmed);
}

TEST_CASE("startup confirmation: if no configuration exists yet, any edition is confirmed") {
    StartupConfirmation confirmation(kSettings, 0);
    confirmation.next_to_ask(0, kNodes);
    confirmation.on_answer({Kind::current, 0, 0});
    CHECK_FALSE(confirmation.usable(1, 0));
    CHECK(confirmation.usable(1, 1));
}

TEST_CASE("startup confirmation: without known control nodes it retries later") {
    StartupConfirmation confirmation(kSettings, 0);
    CHECK_FALSE(confirmation.next_to_ask(0, {}));
    CHECK(confirmation.next_to_ask(kSettings.retry_interval, kNodes));
}
