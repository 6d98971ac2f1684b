// The account of what a process holds for its clients: which charges are released, in which order, and when.
#include "net/memory_account.hpp"

#include <doctest/doctest.h>

#include <map>

using namespace cobaltshift;

namespace {

constexpr std::size_t kLimit = 1000;

// Holds charges with ages of their own.
class FakeHolder : public MemoryAccount::Holder {
public:
    explicit FakeHolder(MemoryAccount& account) : account_(account) { account_.add(*this); }
    ~FakeHolder() override { account_.remove(*this); }
    void hold(int name, std::size_t bytes, Millis age, bool is_long_request = false) {
        held_.erase(name);
        Held held{MemoryAccount::Charge(&account_), age, is_long_request};
        held_.emplace(name, std::move(held)).first->second.charge.set(bytes);
    }
    std::optional<double> highest_cost(Millis, const MemoryAccount::Eligible& eligible) const override {
        std::optional<double> highest;
        for (const auto& [name, held] : held_)
            if (held.age >= eligible.min_age || (eligible.long_requests && held.is_long_request))
                highest = std::max(highest.value_or(0), cost(held));
        return highest;
    }
    void release_costliest(Millis now, const MemoryAccount::Eligible& eligible) override {
        const double highest = *highest_cost(now, eligible);
        std::erase_if(held_, [&](const auto& one) {
            if (cost(one.second) < highest) return false;
            released.push_back(one.first);
            return true;
        });
    }
    std::vector<int> released;

private:
    struct Held {
        MemoryAccount::Charge charge;
        Millis age;
        bool is_long_request;
    };
    static double cost(const Held& held) { return static_cast<double>(held.charge.bytes()) * held.age; }

    MemoryAccount& account_;
    std::map<int, Held> held_;
};

struct Fixture {
    asio::io_context io{1};
    Clock clock;
    MemoryAccount account{io, clock, kLimit};
};

}  // namespace

TEST_CASE("memory account: a charge counts until it is set anew, moved away or gone") {
    Fixture fixture;
    {
        MemoryAccount::Charge first(&fixture.account);
        first.set(300);
        first.set(200);
        CHECK(fixture.account.held() == 200);
        const MemoryAccount::Charge second(std::move(first));
        CHECK(second.bytes() == 200);
        CHECK(fixture.account.held() == 200);
        CHECK(fixture.account.has_room(800));
        CHECK_FALSE(fixture.account.has_room(801));
    }
    CHECK(fixture.account.held() == 0);
    MemoryAccount::Charge uncounted;
    uncounted.set(5);
    CHECK(fixture.account.held() == 0);
}

TEST_CASE("memory account: over its limit the charges with the highest costs go, in the next turn") {
    Fixture fixture;
    FakeHolder clients(fixture.account), servers(fixture.account);
    clients.hold(1, 300, 10);
    clients.hold(2, 500, 1);
    servers.hold(3, 200, 5);
    fixture.io.run();
    CHECK(clients.released.empty());
    servers.hold(4, 400, 2);
    CHECK(clients.released.empty());
    fixture.io.restart();
    fixture.io.run();
    CHECK(clients.released == std::vector<int>{1});
    CHECK(servers.released == std::vector<int>{3});
    CHECK(fixture.account.held() == 900);
    CHECK(fixture.account.released() == 2);
}

TEST_CASE("memory account: what nobody can release stays, and is released once somebody can") {
    Fixture fixture;
    MemoryAccount::Charge request(&fixture.account);
    request.set(kLimit + 1);
    fixture.io.run();
    CHECK(fixture.account.held() == kLimit + 1);
    FakeHolder clients(fixture.account);
    clients.hold(1, 10, 1);
    fixture.io.restart();
    fixture.io.run();
    CHECK(clients.released == std::vector<int>{1});
}

TEST_CASE("memory account: a charge may outlive its account") {
    auto fixture = std::make_unique<Fixture>();
    MemoryAccount::Charge charge(&fixture->account);
    charge.set(2 * kLimit);
    fixture.reset();
    charge.set(1);
    CHECK(charge.bytes() == 1);
}

namespace {
// Takes `bytes` as soon as they are granted.
struct Waiter {
    explicit Waiter(MemoryAccount& account) : charge(&account) {}
    MemoryAccount::Place wait(MemoryAccount& account, std::size_t bytes, Millis until) {
        return account.wait_for_room(bytes, until, [this, bytes] {
            granted = true;
            charge.set(bytes);
        });
    }
    MemoryAccount::Charge charge;
    bool granted = false;
};
constexpr std::size_t kGrantable = kLimit - kLimit / 16;
}  // namespace

// Guards against answers that are fetched only to be dropped again (issue 69).
TEST_CASE("memory account: bytes are granted in the order of the deadlines, once there is room for them") {
    Fixture fixture;
    MemoryAccount::Charge held(&fixture.account);
    held.set(kGrantable - 100);
    CHECK(fixture.account.may_take(100));
    CHECK_FALSE(fixture.account.may_take(101));
    Waiter late(fixture.account), early(fixture.account);
    late.wait(fixture.account, 100, 20);
    early.wait(fixture.account, 200, 10);
    CHECK_FALSE(fixture.account.may_take(1));  // nobody passes those that wait
    fixture.io.run_for(std::chrono::milliseconds(5));
    CHECK_FALSE(early.granted);
    CHECK_FALSE(late.granted);
    held.set(kGrantable - 200);
    fixture.io.run_for(std::chrono::milliseconds(5));
    CHECK(early.granted);
    CHECK_FALSE(late.granted);
    early.charge.set(0);
    fixture.io.run_for(std::chrono::milliseconds(5));
    CHECK(late.granted);
    CHECK(fixture.account.waiting() == 0);
}

TEST_CASE("memory account: slow clients alone are released for those that wait, the costliest first") {
    Fixture fixture;
    FakeHolder clients(fixture.account);
    clients.hold(1, 400, 1000);
    clients.hold(2, 300, 1000);
    clients.hold(3, 200, 10);  // costs least, and is not slow
    Waiter waiter(fixture.account);
    waiter.wait(fixture.account, 200, 10);
    fixture.io.run_for(std::chrono::milliseconds(5));
    CHECK(clients.released == std::vector<int>{1});
    CHECK(waiter.granted);
    Waiter other(fixture.account);
    other.wait(fixture.account, kGrantable - 100, 10);
    fixture.io.restart();
    fixture.io.run_for(std::chrono::milliseconds(5));
    CHECK(clients.released == std::vector<int>{1, 2});
    CHECK_FALSE(other.granted);
}

// Guards against answers that wait in vain while new uploads fill each room that is made.
TEST_CASE("memory account: long requests that are still arriving are released for those that wait") {
    Fixture fixture;
    FakeHolder clients(fixture.account);
    clients.hold(1, 500, 10, true);
    clients.hold(2, 400, 10);
    Waiter waiter(fixture.account);
    waiter.wait(fixture.account, 200, 10);
    fixture.io.run_for(std::chrono::milliseconds(5));
    CHECK(clients.released == std::vector<int>{1});
    CHECK(waiter.granted);
}

TEST_CASE("memory account: who leaves the line is not granted anything, and holds nobody up") {
    Fixture fixture;
    MemoryAccount::Charge held(&fixture.account);
    held.set(kGrantable - 100);
    Waiter first(fixture.account), second(fixture.account);
    const auto place = first.wait(fixture.account, 500, 10);
    second.wait(fixture.account, 50, 20);
    fixture.account.leave_line(place);
    fixture.io.run_for(std::chrono::milliseconds(5));
    CHECK_FALSE(first.granted);
    CHECK(second.granted);
    CHECK_FALSE(fixture.account.can_ever_take(kGrantable + 1));
}
