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
    void hold(int name, std::size_t bytes, Millis age) {
        held_.erase(name);
        held_.emplace(name, Held{MemoryAccount::Charge(&account_), age}).first->second.charge.set(bytes);
    }
    std::optional<double> highest_cost(Millis) const override {
        std::optional<double> highest;
        for (const auto& [name, held] : held_) highest = std::max(highest.value_or(0), cost(held));
        return highest;
    }
    void release_costliest(Millis now) override {
        const double highest = *highest_cost(now);
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
