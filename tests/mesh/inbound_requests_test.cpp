// Requests on the server side of a hop in virtual time: what counts as the server's own time.
#include "admission/inbound_requests.hpp"

#include <doctest/doctest.h>

#include <vector>

using namespace cobaltshift;
using namespace cobaltshift::admission;

namespace {

constexpr Millis kTargetMs = 1000, kDeadlineMs = 10000;
constexpr std::size_t kLongAnswerBytes = 2 << 20;

class RecordingExecutor : public Executor {
public:
    void begin(Ticket ticket, Millis) override { begun.push_back(ticket); }
    void refuse(Ticket ticket, Reason) override { refused.push_back(ticket); }
    void expire(Ticket) override {}
    void cancel(Ticket) override {}
    void schedule_advance() override {}
    void set_timer(Millis) override {}
    std::vector<Ticket> begun, refused;
};

struct Fixture {
    Fixture() { requests.on_heartbeat(0, "i-1", 4, false, 1); }
    Ticket arrive(Millis now) {
        const Ticket ticket = requests.next_ticket();
        Arrival arrival;
        arrival.id = std::to_string(ticket);
        arrival.instance_id = "i-1";
        arrival.target = kTargetMs;
        arrival.deadline = now + kDeadlineMs;
        requests.arrived(now, ticket, arrival, LinkState{0, 1e6, 1});
        return ticket;
    }
    void end(Millis now, Ticket ticket) {
        ServerResult result;
        result.success = true;
        result.answer_bytes = kLongAnswerBytes;
        requests.ended(now, ticket, result);
    }
    RecordingExecutor executor;
    InboundRequests requests{executor};
};

}  // namespace

// Guards the lock-out found beside uploads and slow readers: one request in line refused all others.
TEST_CASE("inbound requests: the time that an answer waits for room is not the server's") {
    Fixture fixture;
    Millis now = 0;
    for (int i = 0; i < 100; ++i) {
        const Ticket ticket = fixture.arrive(now);
        fixture.requests.answer_waits(now + 10, ticket);
        now += kTargetMs;
        fixture.end(now, ticket);
    }
    fixture.arrive(now);
    const Ticket beside = fixture.arrive(now);
    CHECK(fixture.executor.refused.empty());
    CHECK(fixture.executor.begun.back() == beside);
}

TEST_CASE("inbound requests: a server that is slow itself gets no long answer beside one at work") {
    Fixture fixture;
    Millis now = 0;
    for (int i = 0; i < 100; ++i) {
        const Ticket ticket = fixture.arrive(now);
        now += kTargetMs;
        fixture.end(now, ticket);
    }
    fixture.arrive(now);
    const Ticket beside = fixture.arrive(now);
    CHECK(fixture.executor.refused == std::vector<Ticket>{beside});
}
