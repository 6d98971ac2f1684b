// Admission in virtual time: which requests start at a server and when, and which are refused at once.
#include "admission/admission.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>

using namespace cobaltshift;
using namespace cobaltshift::admission;

namespace {

Offer make_offer(Ticket ticket, const std::string& id, Millis now = 0, Millis target = 1000,
                 Millis left = 10000) {
    Offer offer;
    offer.ticket = ticket;
    offer.id = id;
    offer.instance_id = "i-1";
    offer.deadline = now + left;
    offer.due = now + target;
    return offer;
}
Admission admission_with_capacity(std::uint32_t capacity, Settings settings = {}) {
    Admission admission(settings);
    admission.on_heartbeat("i-1", capacity, false, 1);
    return admission;
}
bool refused(const Decision& answer, Reason reason) {
    return answer.disposition == Disposition::refuse && answer.reason == reason;
}
using Tickets = std::vector<Ticket>;
std::map<Ticket, Reason> by_ticket(const std::vector<Rejected>& rejected) {
    std::map<Ticket, Reason> all;
    for (const Rejected& one : rejected) all[one.ticket] = one.reason;
    return all;
}

}  // namespace

TEST_CASE("admission: a once-only id starts once per instance, a repeatable one as often as it arrives") {
    Admission admission = admission_with_capacity(4);
    CHECK(admission.offer(0, make_offer(1, "a")).disposition == Disposition::begin);
    CHECK(refused(admission.offer(0, make_offer(2, "a")), Reason::repeated));
    admission.ended(1, 5);
    CHECK(refused(admission.offer(10, make_offer(3, "a", 10)), Reason::repeated));
    Offer plain = make_offer(4, "p");
    plain.once = false;
    CHECK(admission.offer(10, plain).disposition == Disposition::begin);
    plain.ticket = 5;
    CHECK(admission.offer(10, plain).disposition == Disposition::begin);
}

TEST_CASE("admission: a refused request does not count as started") {
    Admission admission = admission_with_capacity(1);
    CHECK(admission.offer(0, make_offer(1, "a")).disposition == Disposition::begin);
    Offer impatient = make_offer(2, "b");
    impatient.may_wait = false;
    CHECK(refused(admission.offer(0, impatient), Reason::full));
    admission.ended(1, 5);
    impatient.ticket = 3;
    CHECK(admission.offer(10, impatient).disposition == Disposition::begin);
}

TEST_CASE("admission: of two queued requests with one id, one starts and the other is rejected") {
    Admission admission = admission_with_capacity(1);
    CHECK(admission.offer(0, make_offer(1, "a")).disposition == Disposition::begin);
    CHECK(admission.offer(0, make_offer(2, "b")).disposition == Disposition::wait);
    CHECK(admission.offer(0, make_offer(3, "b")).disposition == Disposition::wait);
    admission.ended(1, 1);
    CHECK(admission.start_next(1) == Tickets{2});
    CHECK(by_ticket(admission.take_rejected(1)) == std::map<Ticket, Reason>{{3, Reason::repeated}});
}

// Two slots become free before the queue is processed: by a larger capacity, or by two requests that end.
TEST_CASE("admission: two queued requests with one id do not start together") {
    Admission admission = admission_with_capacity(1);
    CHECK(admission.offer(0, make_offer(1, "a")).disposition == Disposition::begin);
    CHECK(admission.offer(0, make_offer(2, "b")).disposition == Disposition::wait);
    CHECK(admission.offer(0, make_offer(3, "b")).disposition == Disposition::wait);
    admission.on_heartbeat("i-1", 4, false, 2);
    CHECK(admission.take_rejected(1).empty());
    CHECK(admission.start_next(1) == Tickets{2});
    CHECK(by_ticket(admission.take_rejected(1)) == std::map<Ticket, Reason>{{3, Reason::repeated}});
    CHECK(admission.working() == 2);
}

TEST_CASE("admission: after closing nothing starts, and queued requests are rejected") {
    for (const bool gone : {false, true}) {
        CAPTURE(gone);
        Admission admission = admission_with_capacity(1);
        CHECK(admission.offer(0, make_offer(1, "a")).disposition == Disposition::begin);
        CHECK(admission.offer(0, make_offer(2, "b")).disposition == Disposition::wait);
        if (gone)
            admission.on_deregistered("i-1");
        else
            admission.on_heartbeat("i-1", 1, true, 2);
        CHECK(admission.closing());
        CHECK(refused(admission.offer(1, make_offer(3, "c", 1)), Reason::closing));
        admission.ended(1, 5);
        CHECK(admission.start_next(5).empty());
        CHECK(by_ticket(admission.take_rejected(5)) == std::map<Ticket, Reason>{{2, Reason::closing}});
        CHECK(admission.waiting() == 0);
        CHECK(refused(admission.offer(6, make_offer(4, "d", 6)), Reason::closing));
    }
}

TEST_CASE("admission: deregistration applies to the current instance only") {
    Admission admission = admission_with_capacity(1);
    admission.on_deregistered("i-0");
    CHECK_FALSE(admission.closing());
    CHECK(admission.offer(0, make_offer(1, "a")).disposition == Disposition::begin);
}

// The heartbeat was sent before the server deregistered and arrives after.
TEST_CASE("admission: a late heartbeat does not revive an instance that has deregistered") {
    Admission admission = admission_with_capacity(1);
    admission.on_deregistered("i-1");
    admission.on_heartbeat("i-1", 1, false, 2);
    CHECK(refused(admission.offer(0, make_offer(1, "a")), Reason::closing));
}

TEST_CASE("admission: requests for another instance are refused, queued ones for the old instance rejected") {
    Admission admission = admission_with_capacity(1);
    Offer other = make_offer(1, "a");
    other.instance_id = "i-9";
    CHECK(refused(admission.offer(0, other), Reason::wrong_instance));
    CHECK(admission.offer(0, make_offer(2, "b")).disposition == Disposition::begin);
    CHECK(admission.offer(0, make_offer(3, "c")).disposition == Disposition::wait);
    admission.on_heartbeat("i-2", 1, false, 1);
    CHECK(by_ticket(admission.take_rejected(1)) == std::map<Ticket, Reason>{{3, Reason::wrong_instance}});
    CHECK(refused(admission.offer(1, make_offer(4, "d", 1)), Reason::wrong_instance));
}

TEST_CASE("admission: a new instance starts with no known ids, call number or closing state") {
    Admission admission = admission_with_capacity(2);
    CHECK(admission.offer(0, make_offer(1, "a")).disposition == Disposition::begin);
    admission.ended(1, 5);
    admission.on_heartbeat("i-1", 2, true, 50);
    CHECK(admission.on_heartbeat("i-2", 3, false, 1));
    CHECK(admission.instance_id() == "i-2");
    CHECK(admission.capacity() == 3);
    CHECK_FALSE(admission.closing());
    Offer again = make_offer(2, "a");
    again.instance_id = "i-2";
    CHECK(admission.offer(1, again).disposition == Disposition::begin);
}

// If a delayed heartbeat of the old instance switched back to it, the ids that have started on the current
// instance would be forgotten, and repeats of them would run.
TEST_CASE("admission: a late heartbeat does not revive an instance that was replaced") {
    Admission admission = admission_with_capacity(2);
    admission.on_heartbeat("i-2", 2, false, 1);
    Offer offer = make_offer(1, "a");
    offer.instance_id = "i-2";
    CHECK(admission.offer(0, offer).disposition == Disposition::begin);
    admission.on_heartbeat("i-1", 2, false, 9);
    CHECK(admission.instance_id() == "i-2");
    admission.on_heartbeat("i-2", 2, false, 2);
    offer.ticket = 2;
    CHECK(refused(admission.offer(1, offer), Reason::repeated));
}

TEST_CASE("admission: a heartbeat with an older call number is ignored") {
    Admission admission(Settings{});
    CHECK(admission.on_heartbeat("i-1", 4, false, 7));
    CHECK(admission.on_heartbeat("i-1", 4, true, 9));
    CHECK_FALSE(admission.on_heartbeat("i-1", 8, false, 8));
    CHECK_FALSE(admission.on_heartbeat("i-1", 8, false, 9));
    CHECK(admission.closing());
    CHECK(admission.capacity() == 4);
}

TEST_CASE(
    "admission: at most the capacity runs, no request is lost, each id starts once; random operations") {
    for (unsigned seed = 1; seed <= 40; ++seed) {
        CAPTURE(seed);
        std::mt19937 rng(seed);
        const auto below = [&](unsigned n) { return static_cast<unsigned>(rng() % n); };
        Admission admission = admission_with_capacity(3);
        std::uint32_t capacity = 3;
        std::uint64_t seq = 1;
        std::set<Ticket> working, waiting;
        std::map<Ticket, Offer> known;
        std::set<std::string> ran;
        Ticket last = 0;
        Millis now = 0;
        const auto begun = [&](Ticket ticket) {
            REQUIRE(working.insert(ticket).second);
            REQUIRE(working.size() <= capacity);  // holds whenever a request starts
            const Offer& offer = known.at(ticket);
            REQUIRE(now < offer.deadline);
            if (offer.once) REQUIRE(ran.insert(offer.id).second);
        };
        for (int step = 0; step < 3000; ++step) {
            now += below(20);
            const unsigned what = below(10);
            if (what < 5) {
                ++last;
                Offer offer =
                    make_offer(last, std::to_string(last), now, 50.0 + below(500), 1.0 + below(2000));
                if (below(8) == 0 && last > 5) offer.id = std::to_string(last - 1 - below(4));
                offer.once = below(3) > 0;
                offer.rank = static_cast<int>(below(6));
                offer.may_wait = below(4) > 0;
                known[offer.ticket] = offer;
                const Decision answer = admission.offer(now, offer);
                if (answer.disposition == Disposition::begin) begun(offer.ticket);
                if (answer.disposition == Disposition::wait) {
                    REQUIRE(offer.may_wait);
                    waiting.insert(offer.ticket);
                }
            } else if (what < 8 && !working.empty()) {
                auto at = working.begin();
                std::advance(at, below(static_cast<unsigned>(working.size())));
                admission.ended(*at, below(3) > 0 ? 1.0 + below(300) : 0);
                working.erase(at);
            } else if (what == 8 && !waiting.empty() && below(3) == 0) {
                REQUIRE(admission.withdraw(*waiting.begin()));
                waiting.erase(waiting.begin());
            } else if (what == 9 && below(5) == 0) {
                capacity = 1 + below(6);
                REQUIRE(admission.on_heartbeat("i-1", capacity, false, ++seq));
            }
            for (const Rejected& rejected : admission.take_rejected(now))
                REQUIRE(waiting.erase(rejected.ticket) == 1);
            for (const Ticket ticket : admission.start_next(now)) {
                REQUIRE(waiting.erase(ticket) == 1);
                begun(ticket);
            }
            REQUIRE(admission.working() == working.size());
            REQUIRE(admission.waiting() == waiting.size());
        }
        CHECK(ran.size() > 100);
    }
}

TEST_CASE("admission: the highest value per slot time goes first, then the earliest due time") {
    Admission admission = admission_with_capacity(1, {.queue_per_slot = 10, .expected_limit_ms = 1e9});
    CHECK(admission.offer(0, make_offer(1, "a", 0, 1e6, 1e7)).disposition == Disposition::begin);
    const auto wait = [&](Ticket ticket, Millis now, Millis target, int rank) {
        Offer offer = make_offer(ticket, std::to_string(ticket), now, target, 1e7);
        offer.rank = rank;
        CHECK(admission.offer(now, offer).disposition == Disposition::wait);
    };
    wait(2, 0, 800, 0);
    wait(3, 0, 100, 0);
    wait(4, 0, 100, 2);  // cost 400
    wait(5, 0, 300, 0);
    wait(6, 0, 300, 1);    // cost 600
    wait(7, -50, 300, 0);  // due before ticket 5
    Tickets order;
    for (Ticket ended = 1; admission.waiting() > 0; ended = order.back()) {
        admission.ended(ended, 0);
        const Tickets begun = admission.start_next(1);
        REQUIRE(begun.size() == 1);
        order.push_back(begun.front());
    }
    CHECK(order == Tickets{3, 7, 5, 4, 6, 2});
}

TEST_CASE("admission: refused at once if no slot is free and it may not wait, or if the queue is full") {
    Admission admission = admission_with_capacity(1, {.queue_per_slot = 2});
    CHECK(admission.offer(0, make_offer(1, "a")).disposition == Disposition::begin);
    Offer impatient = make_offer(2, "b");
    impatient.may_wait = false;
    CHECK(refused(admission.offer(0, impatient), Reason::full));
    CHECK(admission.offer(0, make_offer(3, "c")).disposition == Disposition::wait);
    CHECK(admission.offer(0, make_offer(4, "d")).disposition == Disposition::wait);
    CHECK(refused(admission.offer(0, make_offer(5, "e")), Reason::full));
}

TEST_CASE("admission: a request that the queue ahead of it would make late is refused at once") {
    Admission admission = admission_with_capacity(1, {.queue_per_slot = 100});
    for (Ticket ticket = 1; ticket <= 50; ++ticket) {  // each takes as long as its target
        CHECK(admission.offer(0, make_offer(ticket, std::to_string(ticket), 0, 100)).disposition ==
              Disposition::begin);
        admission.ended(ticket, 100);
    }
    CHECK(admission.offer(0, make_offer(60, "x", 0, 100)).disposition == Disposition::begin);
    CHECK(refused(admission.offer(0, make_offer(61, "y", 0, 100, 150)), Reason::late));
    CHECK(admission.offer(0, make_offer(62, "z", 0, 100, 100000)).disposition == Disposition::wait);
    // Over the limit on the expected time, though not late.
    CHECK(refused(admission.offer(0, make_offer(63, "w", 0, 100, 100000)), Reason::full));
    CHECK(admission.waiting() == 1);
}

TEST_CASE("admission: nothing starts at or after its deadline, on arrival or from the queue") {
    Admission admission = admission_with_capacity(1);
    CHECK(refused(admission.offer(100, make_offer(1, "a", 0, 50, 100)), Reason::late));
    CHECK(admission.offer(0, make_offer(2, "b")).disposition == Disposition::begin);
    CHECK(admission.offer(0, make_offer(3, "c", 0, 500, 700)).disposition == Disposition::wait);
    CHECK(admission.offer(0, make_offer(4, "d", 0, 500, 600)).disposition == Disposition::wait);
    CHECK(admission.next_deadline() == 600);
    CHECK(admission.take_rejected(599).empty());
    CHECK(by_ticket(admission.take_rejected(600)) == std::map<Ticket, Reason>{{4, Reason::late}});
    CHECK(admission.next_deadline() == 700);
    admission.ended(2, 5);
    CHECK(admission.start_next(700).empty());
    CHECK(by_ticket(admission.take_rejected(700)) == std::map<Ticket, Reason>{{3, Reason::late}});
    CHECK(admission.next_deadline() == 0);
}

TEST_CASE("admission: a withdrawn request never starts; a running one keeps its slot until it has ended") {
    Admission admission = admission_with_capacity(1);
    CHECK(admission.offer(0, make_offer(1, "a")).disposition == Disposition::begin);
    CHECK(admission.offer(0, make_offer(2, "b")).disposition == Disposition::wait);
    CHECK(admission.withdraw(2));
    CHECK_FALSE(admission.withdraw(2));
    CHECK_FALSE(admission.withdraw(1));
    CHECK(admission.working() == 1);
    admission.ended(1, 5);
    CHECK(admission.start_next(5).empty());
    CHECK(admission.offer(5, make_offer(3, "b", 5)).disposition ==
          Disposition::begin);  // ticket 2 has not run
    admission.ended(3, 5);
    admission.ended(3, 5);
    CHECK(admission.working() == 0);
}

TEST_CASE("admission: once the proxy is leaving nothing starts") {
    Admission admission = admission_with_capacity(1);
    CHECK(admission.offer(0, make_offer(1, "a")).disposition == Disposition::begin);
    CHECK(admission.offer(0, make_offer(2, "b")).disposition == Disposition::wait);
    admission.leave();
    CHECK(refused(admission.offer(0, make_offer(3, "c")), Reason::leaving));
    admission.ended(1, 5);
    CHECK(admission.start_next(5).empty());
    CHECK(by_ticket(admission.take_rejected(5)) == std::map<Ticket, Reason>{{2, Reason::leaving}});
    admission.on_heartbeat("i-2", 9, false, 1);
    Offer other = make_offer(4, "d");
    other.instance_id = "i-2";
    CHECK(refused(admission.offer(6, other), Reason::leaving));
}

TEST_CASE("admission: after a restart nothing starts before a heartbeat or a healthy check") {
    Admission admission;
    CHECK(refused(admission.offer(0, make_offer(1, "a")), Reason::wrong_instance));
    Offer nameless = make_offer(2, "b");
    nameless.instance_id.clear();
    CHECK(refused(admission.offer(0, nameless), Reason::wrong_instance));
    admission.on_healthy("", 4);
    CHECK(refused(admission.offer(0, nameless), Reason::wrong_instance));
    admission.on_healthy("i-1", 2);
    CHECK(admission.offer(0, make_offer(3, "c")).disposition == Disposition::begin);
    CHECK(admission.capacity() == 2);
    CHECK(admission.on_heartbeat("i-1", 5, false, 0));  // the first heartbeat counts whatever its number
    CHECK(admission.capacity() == 5);
    CHECK(refused(admission.offer(0, make_offer(4, "c")), Reason::repeated));  // still the same instance
    admission.on_healthy("i-2", 9);                                            // heartbeats take precedence
    CHECK(admission.instance_id() == "i-1");
    CHECK(admission.capacity() == 5);
}

TEST_CASE("admission: a capacity of 0 counts as 1") {
    Admission admission(Settings{});
    admission.on_heartbeat("i-1", 0, false, 1);
    CHECK(admission.capacity() == 1);
}

TEST_CASE("admission: only the newest started ids are remembered") {
    Admission admission = admission_with_capacity(1, {.remembered_ids = 3});
    for (Ticket ticket = 1; ticket <= 4; ++ticket) {
        CHECK(admission.offer(0, make_offer(ticket, std::to_string(ticket))).disposition ==
              Disposition::begin);
        admission.ended(ticket, 1);
    }
    for (const char* id : {"2", "3", "4"})
        CHECK(refused(admission.offer(0, make_offer(9, id)), Reason::repeated));
    CHECK(admission.offer(0, make_offer(10, "1")).disposition == Disposition::begin);
}

// Guards review case 2: after a restart of the proxy a heartbeat that was sent before the server deregistered
// readmitted it.
TEST_CASE("admission: an instance that others remember as closing is not revived after a restart") {
    Admission admission;
    admission.restore("i-1", 4, true);
    CHECK_FALSE(admission.on_heartbeat("i-1", 2, false, 9));
    admission.on_healthy("i-1", 2);
    CHECK(admission.instance_id().empty());
    CHECK(refused(admission.offer(0, make_offer(1, "a")), Reason::wrong_instance));
    CHECK(admission.on_heartbeat("i-2", 2, false, 1));
    CHECK(admission.instance_id() == "i-2");
}

TEST_CASE(
    "admission: after a restart an open instance goes on with a heartbeat newer than what is remembered") {
    Admission admission;
    admission.restore("i-1", 4, false);
    CHECK_FALSE(admission.on_heartbeat("i-1", 2, false, 4));
    CHECK(admission.instance_id().empty());
    CHECK(admission.on_heartbeat("i-1", 2, false, 5));
    CHECK(admission.offer(0, make_offer(1, "a")).disposition == Disposition::begin);
}

TEST_CASE("admission: after a restart a new instance replaces the one that others remember") {
    Admission admission;
    admission.restore("i-1", 4, false);
    CHECK(admission.on_heartbeat("i-2", 2, false, 1));
    CHECK_FALSE(admission.on_heartbeat("i-1", 2, false, 5));
    CHECK(admission.instance_id() == "i-2");
}

TEST_CASE("admission: a deregistration counts for an instance that is not known yet") {
    Admission admission;
    admission.on_deregistered("i-1");
    CHECK_FALSE(admission.on_heartbeat("i-1", 2, false, 1));
    CHECK(admission.instance_id().empty());
}

// Guards the lock-out found beside slow readers (issue 69): an estimate that only requests which ran can
// correct must not keep all of them from running.
TEST_CASE("admission: a server with nothing at work is offered a long answer, however slow it was before") {
    Admission admission = admission_with_capacity(4);
    for (Ticket ticket = 1; ticket <= 100; ++ticket) {
        CHECK(admission.offer(0, make_offer(ticket, "a" + std::to_string(ticket))).disposition ==
              Disposition::begin);
        admission.ended(ticket, 1e6);
    }
    Offer long_answer = make_offer(200, "b");
    long_answer.link_time = 1;
    CHECK(admission.offer(0, long_answer).disposition == Disposition::begin);
    long_answer.ticket = 201, long_answer.id = "c";
    CHECK(refused(admission.offer(0, long_answer), Reason::full));
    admission.ended(200, 1e6);
    long_answer.link_wait = 1e6;  // the link is no estimate: it is known to be taken
    CHECK(refused(admission.offer(0, long_answer), Reason::full));
}
