// The admission in virtual time: what may begin at a server, when, and what is told at once.
#include "admission/admission.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>

using namespace cobaltshift;
using namespace cobaltshift::admission;

namespace {

Offer an_offer(Ticket ticket, const std::string& id, Millis now = 0, Millis target = 1000,
               Millis left = 10000) {
    Offer offer;
    offer.ticket = ticket;
    offer.id = id;
    offer.life = "i-1";
    offer.deadline = now + left;
    offer.due = now + target;
    return offer;
}
Admission beaten(std::uint32_t capacity, Settings settings = {}) {
    Admission admission(settings);
    admission.beat("i-1", capacity, false, 1);
    return admission;
}
bool refused(const Answer& answer, Reason reason) {
    return answer.act == Act::refuse && answer.reason == reason;
}
using Tickets = std::vector<Ticket>;
std::map<Ticket, Reason> by_ticket(const std::vector<Turned>& turned) {
    std::map<Ticket, Reason> all;
    for (const Turned& one : turned) all[one.ticket] = one.reason;
    return all;
}

}  // namespace

TEST_CASE("admission: a once-only id begins once in a life, a repeatable one as often as it comes") {
    Admission admission = beaten(4);
    CHECK(admission.offer(0, an_offer(1, "a")).act == Act::begin);
    CHECK(refused(admission.offer(0, an_offer(2, "a")), Reason::repeated));
    admission.ended(1, 5);
    CHECK(refused(admission.offer(10, an_offer(3, "a", 10)), Reason::repeated));
    Offer plain = an_offer(4, "p");
    plain.once = false;
    CHECK(admission.offer(10, plain).act == Act::begin);
    plain.ticket = 5;
    CHECK(admission.offer(10, plain).act == Act::begin);
}

TEST_CASE("admission: what was refused is not taken for having run") {
    Admission admission = beaten(1);
    CHECK(admission.offer(0, an_offer(1, "a")).act == Act::begin);
    Offer hasty = an_offer(2, "b");
    hasty.may_wait = false;
    CHECK(refused(admission.offer(0, hasty), Reason::full));
    admission.ended(1, 5);
    hasty.ticket = 3;
    CHECK(admission.offer(10, hasty).act == Act::begin);
}

TEST_CASE("admission: of two that wait with one id, one begins and the other is handed back") {
    Admission admission = beaten(1);
    CHECK(admission.offer(0, an_offer(1, "a")).act == Act::begin);
    CHECK(admission.offer(0, an_offer(2, "b")).act == Act::wait);
    CHECK(admission.offer(0, an_offer(3, "b")).act == Act::wait);
    admission.ended(1, 1);
    CHECK(admission.next(1) == Tickets{2});
    CHECK(by_ticket(admission.turned(1)) == std::map<Ticket, Reason>{{3, Reason::repeated}});
}

// Two slots free at once: a larger capacity, or two that end before it is looked again.
TEST_CASE("admission: two that wait with one id do not begin together") {
    Admission admission = beaten(1);
    CHECK(admission.offer(0, an_offer(1, "a")).act == Act::begin);
    CHECK(admission.offer(0, an_offer(2, "b")).act == Act::wait);
    CHECK(admission.offer(0, an_offer(3, "b")).act == Act::wait);
    admission.beat("i-1", 4, false, 2);
    CHECK(admission.turned(1).empty());
    CHECK(admission.next(1) == Tickets{2});
    CHECK(by_ticket(admission.turned(1)) == std::map<Ticket, Reason>{{3, Reason::repeated}});
    CHECK(admission.working() == 2);
}

TEST_CASE("admission: after closing nothing new begins, and what waits is handed back") {
    for (const bool gone : {false, true}) {
        CAPTURE(gone);
        Admission admission = beaten(1);
        CHECK(admission.offer(0, an_offer(1, "a")).act == Act::begin);
        CHECK(admission.offer(0, an_offer(2, "b")).act == Act::wait);
        if (gone)
            admission.gone("i-1");
        else
            admission.beat("i-1", 1, true, 2);
        CHECK(admission.closing());
        CHECK(refused(admission.offer(1, an_offer(3, "c", 1)), Reason::closing));
        admission.ended(1, 5);
        CHECK(admission.next(5).empty());
        CHECK(by_ticket(admission.turned(5)) == std::map<Ticket, Reason>{{2, Reason::closing}});
        CHECK(admission.waiting() == 0);
        CHECK(refused(admission.offer(6, an_offer(4, "d", 6)), Reason::closing));
    }
}

TEST_CASE("admission: gone is said of the life that is there; of another it says nothing") {
    Admission admission = beaten(1);
    admission.gone("i-0");
    CHECK_FALSE(admission.closing());
    CHECK(admission.offer(0, an_offer(1, "a")).act == Act::begin);
}

// A beat that was on its way when the server said that it is gone.
TEST_CASE("admission: a late beat does not bring back a life that is gone") {
    Admission admission = beaten(1);
    admission.gone("i-1");
    admission.beat("i-1", 1, false, 2);
    CHECK(refused(admission.offer(0, an_offer(1, "a")), Reason::closing));
}

TEST_CASE("admission: another life is refused, and what waits for the old one handed back") {
    Admission admission = beaten(1);
    Offer other = an_offer(1, "a");
    other.life = "i-9";
    CHECK(refused(admission.offer(0, other), Reason::wrong_life));
    CHECK(admission.offer(0, an_offer(2, "b")).act == Act::begin);
    CHECK(admission.offer(0, an_offer(3, "c")).act == Act::wait);
    admission.beat("i-2", 1, false, 1);
    CHECK(by_ticket(admission.turned(1)) == std::map<Ticket, Reason>{{3, Reason::wrong_life}});
    CHECK(refused(admission.offer(1, an_offer(4, "d", 1)), Reason::wrong_life));
}

TEST_CASE("admission: a new life starts anew: its ids, its calls, its state") {
    Admission admission = beaten(2);
    CHECK(admission.offer(0, an_offer(1, "a")).act == Act::begin);
    admission.ended(1, 5);
    admission.beat("i-1", 2, true, 50);
    CHECK(admission.beat("i-2", 3, false, 1));
    CHECK(admission.life() == "i-2");
    CHECK(admission.capacity() == 3);
    CHECK_FALSE(admission.closing());
    Offer again = an_offer(2, "a");
    again.life = "i-2";
    CHECK(admission.offer(1, again).act == Act::begin);
}

// As a beat may be long on its way; ids that ran in the life that is there would be forgotten.
TEST_CASE("admission: a late beat does not bring back a life that was replaced") {
    Admission admission = beaten(2);
    admission.beat("i-2", 2, false, 1);
    Offer offer = an_offer(1, "a");
    offer.life = "i-2";
    CHECK(admission.offer(0, offer).act == Act::begin);
    admission.beat("i-1", 2, false, 9);
    CHECK(admission.life() == "i-2");
    admission.beat("i-2", 2, false, 2);
    offer.ticket = 2;
    CHECK(refused(admission.offer(1, offer), Reason::repeated));
}

TEST_CASE("admission: an older call is passed over") {
    Admission admission(Settings{});
    CHECK(admission.beat("i-1", 4, false, 7));
    CHECK(admission.beat("i-1", 4, true, 9));
    CHECK_FALSE(admission.beat("i-1", 8, false, 8));
    CHECK_FALSE(admission.beat("i-1", 8, false, 9));
    CHECK(admission.closing());
    CHECK(admission.capacity() == 4);
}

TEST_CASE("admission: never more at work than the capacity, nothing lost, each id once; drawn") {
    for (unsigned seed = 1; seed <= 40; ++seed) {
        CAPTURE(seed);
        std::mt19937 draw(seed);
        const auto below = [&](unsigned n) { return static_cast<unsigned>(draw() % n); };
        Admission admission = beaten(3);
        std::uint32_t capacity = 3;
        std::uint64_t seq = 1;
        std::set<Ticket> working, waiting;
        std::map<Ticket, Offer> known;
        std::set<std::string> ran;
        Ticket last = 0;
        Millis now = 0;
        const auto begun = [&](Ticket ticket) {
            REQUIRE(working.insert(ticket).second);
            REQUIRE(working.size() <= capacity);  // of what begins now
            const Offer& offer = known.at(ticket);
            REQUIRE(now < offer.deadline);
            if (offer.once) REQUIRE(ran.insert(offer.id).second);
        };
        for (int step = 0; step < 3000; ++step) {
            now += below(20);
            const unsigned what = below(10);
            if (what < 5) {
                ++last;
                Offer offer = an_offer(last, std::to_string(last), now, 50.0 + below(500), 1.0 + below(2000));
                if (below(8) == 0 && last > 5) offer.id = std::to_string(last - 1 - below(4));
                offer.once = below(3) > 0;
                offer.rank = static_cast<int>(below(6));
                offer.may_wait = below(4) > 0;
                known[offer.ticket] = offer;
                const Answer answer = admission.offer(now, offer);
                if (answer.act == Act::begin) begun(offer.ticket);
                if (answer.act == Act::wait) {
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
                REQUIRE(admission.beat("i-1", capacity, false, ++seq));
            }
            for (const Turned& turned : admission.turned(now)) REQUIRE(waiting.erase(turned.ticket) == 1);
            for (const Ticket ticket : admission.next(now)) {
                REQUIRE(waiting.erase(ticket) == 1);
                begun(ticket);
            }
            REQUIRE(admission.working() == working.size());
            REQUIRE(admission.waiting() == waiting.size());
        }
        CHECK(ran.size() > 100);
    }
}

TEST_CASE("admission: what is worth most a slot's time goes first, then what is due first") {
    Admission admission = beaten(1, {.queue_by_capacity = 10, .patience = 1e9});
    CHECK(admission.offer(0, an_offer(1, "a", 0, 1e6, 1e7)).act == Act::begin);
    const auto wait = [&](Ticket ticket, Millis now, Millis target, int rank) {
        Offer offer = an_offer(ticket, std::to_string(ticket), now, target, 1e7);
        offer.rank = rank;
        CHECK(admission.offer(now, offer).act == Act::wait);
    };
    wait(2, 0, 800, 0);
    wait(3, 0, 100, 0);
    wait(4, 0, 100, 2);  // as dear as 400 of the highest rank
    wait(5, 0, 300, 0);
    wait(6, 0, 300, 1);    // 600
    wait(7, -50, 300, 0);  // due before 5
    Tickets order;
    for (Ticket ended = 1; admission.waiting() > 0; ended = order.back()) {
        admission.ended(ended, 0);
        const Tickets begun = admission.next(1);
        REQUIRE(begun.size() == 1);
        order.push_back(begun.front());
    }
    CHECK(order == Tickets{3, 7, 5, 4, 6, 2});
}

TEST_CASE("admission: who does not wait and finds no slot is told at once; so is who finds the queue full") {
    Admission admission = beaten(1, {.queue_by_capacity = 2});
    CHECK(admission.offer(0, an_offer(1, "a")).act == Act::begin);
    Offer hasty = an_offer(2, "b");
    hasty.may_wait = false;
    CHECK(refused(admission.offer(0, hasty), Reason::full));
    CHECK(admission.offer(0, an_offer(3, "c")).act == Act::wait);
    CHECK(admission.offer(0, an_offer(4, "d")).act == Act::wait);
    CHECK(refused(admission.offer(0, an_offer(5, "e")), Reason::full));
}

TEST_CASE("admission: what would be late by what is before it is told at once") {
    Admission admission = beaten(1, {.queue_by_capacity = 100});
    for (Ticket ticket = 1; ticket <= 50; ++ticket) {  // each takes as long as its target
        CHECK(admission.offer(0, an_offer(ticket, std::to_string(ticket), 0, 100)).act == Act::begin);
        admission.ended(ticket, 100);
    }
    CHECK(admission.offer(0, an_offer(60, "x", 0, 100)).act == Act::begin);
    CHECK(refused(admission.offer(0, an_offer(61, "y", 0, 100, 150)), Reason::late));
    CHECK(admission.offer(0, an_offer(62, "z", 0, 100, 100000)).act == Act::wait);
    CHECK(refused(admission.offer(0, an_offer(63, "w", 0, 100, 100000)), Reason::full));  // over its patience
    CHECK(admission.waiting() == 1);
}

TEST_CASE("admission: at its deadline nothing begins, whether it comes then or waits") {
    Admission admission = beaten(1);
    CHECK(refused(admission.offer(100, an_offer(1, "a", 0, 50, 100)), Reason::late));
    CHECK(admission.offer(0, an_offer(2, "b")).act == Act::begin);
    CHECK(admission.offer(0, an_offer(3, "c", 0, 500, 700)).act == Act::wait);
    CHECK(admission.offer(0, an_offer(4, "d", 0, 500, 600)).act == Act::wait);
    CHECK(admission.due() == 600);
    CHECK(admission.turned(599).empty());
    CHECK(by_ticket(admission.turned(600)) == std::map<Ticket, Reason>{{4, Reason::late}});
    CHECK(admission.due() == 700);
    admission.ended(2, 5);
    CHECK(admission.next(700).empty());
    CHECK(by_ticket(admission.turned(700)) == std::map<Ticket, Reason>{{3, Reason::late}});
    CHECK(admission.due() == 0);
}

TEST_CASE("admission: who leaves the queue never begins; who is at work holds its slot until it has ended") {
    Admission admission = beaten(1);
    CHECK(admission.offer(0, an_offer(1, "a")).act == Act::begin);
    CHECK(admission.offer(0, an_offer(2, "b")).act == Act::wait);
    CHECK(admission.withdraw(2));
    CHECK_FALSE(admission.withdraw(2));
    CHECK_FALSE(admission.withdraw(1));
    CHECK(admission.working() == 1);
    admission.ended(1, 5);
    CHECK(admission.next(5).empty());
    CHECK(admission.offer(5, an_offer(3, "b", 5)).act == Act::begin);  // 2 has not run
    admission.ended(3, 5);
    admission.ended(3, 5);
    CHECK(admission.working() == 0);
}

TEST_CASE("admission: once the proxy leaves nothing new begins") {
    Admission admission = beaten(1);
    CHECK(admission.offer(0, an_offer(1, "a")).act == Act::begin);
    CHECK(admission.offer(0, an_offer(2, "b")).act == Act::wait);
    admission.leave();
    CHECK(refused(admission.offer(0, an_offer(3, "c")), Reason::leaving));
    admission.ended(1, 5);
    CHECK(admission.next(5).empty());
    CHECK(by_ticket(admission.turned(5)) == std::map<Ticket, Reason>{{2, Reason::leaving}});
    admission.beat("i-2", 9, false, 1);
    Offer other = an_offer(4, "d");
    other.life = "i-2";
    CHECK(refused(admission.offer(6, other), Reason::leaving));
}

TEST_CASE("admission: after a restart nothing begins before a beat or a well health answer") {
    Admission admission;
    CHECK(refused(admission.offer(0, an_offer(1, "a")), Reason::wrong_life));
    Offer nameless = an_offer(2, "b");
    nameless.life.clear();
    CHECK(refused(admission.offer(0, nameless), Reason::wrong_life));
    admission.seen_well("", 4);
    CHECK(refused(admission.offer(0, nameless), Reason::wrong_life));
    admission.seen_well("i-1", 2);
    CHECK(admission.offer(0, an_offer(3, "c")).act == Act::begin);
    CHECK(admission.capacity() == 2);
    CHECK(admission.beat("i-1", 5, false, 0));  // the first beat of this life, whatever its number
    CHECK(admission.capacity() == 5);
    CHECK(refused(admission.offer(0, an_offer(4, "c")), Reason::repeated));  // still the same life
    admission.seen_well("i-2", 9);                                           // beats know better
    CHECK(admission.life() == "i-1");
    CHECK(admission.capacity() == 5);
}

TEST_CASE("admission: a capacity of nothing counts as one") {
    Admission admission(Settings{});
    admission.beat("i-1", 0, false, 1);
    CHECK(admission.capacity() == 1);
}

TEST_CASE("admission: of ids that ran the newest are remembered, and no more") {
    Admission admission = beaten(1, {.remembered = 3});
    for (Ticket ticket = 1; ticket <= 4; ++ticket) {
        CHECK(admission.offer(0, an_offer(ticket, std::to_string(ticket))).act == Act::begin);
        admission.ended(ticket, 1);
    }
    for (const char* id : {"2", "3", "4"})
        CHECK(refused(admission.offer(0, an_offer(9, id)), Reason::repeated));
    CHECK(admission.offer(0, an_offer(10, "1")).act == Act::begin);
}
