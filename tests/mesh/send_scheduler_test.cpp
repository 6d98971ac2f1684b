// Tests of SendScheduler, and of admission with a link's backlog and expected answer sizes.
#include "net/send_scheduler.hpp"

#include <doctest/doctest.h>

#include "admission/admission.hpp"
#include "admission/answer_sizes.hpp"

using namespace cobaltshift;

namespace {
SendScheduler::Settings settings() {
    return {.bytes_per_ms = 100, .long_answer_bytes = 1000, .piece_bytes = 1000, .max_lead = 10};
}
}  // namespace

TEST_CASE("send scheduler: long answers are granted at the link's rate") {
    SendScheduler scheduler(settings());
    for (int i = 0; i < 5; ++i) scheduler.add(10000, 600);
    double now = 0, sent = 0;
    for (; scheduler.due(); now += 1)
        while (const auto grant = scheduler.next(now)) {
            sent += static_cast<double>(grant->bytes);
            CHECK(sent <= 100 * (now + 10) + 1000);  // bounded by the allowed lead and one piece
            scheduler.on_piece_written(grant->id);
        }
    CHECK(sent == 50000);
    CHECK(now <= 501);
    CHECK(scheduler.queued_bytes() == 0);
}

TEST_CASE("send scheduler: the answer with the fewest remaining bytes is granted first") {
    SendScheduler scheduler(settings());
    const auto long_one = scheduler.add(5000, 1000), short_one = scheduler.add(2000, 1000);
    std::vector<SendScheduler::Id> order;
    for (double now = 0; scheduler.due(); now += 1)
        while (const auto grant = scheduler.next(now)) {
            order.push_back(grant->id);
            scheduler.on_piece_written(grant->id);
        }
    CHECK(order == std::vector<SendScheduler::Id>{short_one, short_one, long_one, long_one, long_one,
                                                  long_one, long_one});
}

TEST_CASE("send scheduler: urgent answers are granted first, the longest urgent one before the others") {
    SendScheduler scheduler(settings());
    const auto later = scheduler.add(4000, 30), sooner = scheduler.add(5000, 20),
               never = scheduler.add(3000, 900);
    std::vector<SendScheduler::Id> order;
    for (double now = 0; scheduler.due(); now += 1)
        while (const auto grant = scheduler.next(now)) {
            order.push_back(grant->id);
            scheduler.on_piece_written(grant->id);
        }
    // A piece takes 10 ms of link time, and two may be granted in advance: the pieces granted before 20 ms
    // precede the urgent answers.
    CHECK(order == std::vector<SendScheduler::Id>{never, never, never, sooner, sooner, sooner, sooner, sooner,
                                                  later, later, later, later});
    const auto urgent = scheduler.add(3000, 0), short_one = scheduler.add(1000, 1e6);
    CHECK(scheduler.next(500)->id == urgent);
    scheduler.remove(urgent);
    CHECK(scheduler.next(510)->id == short_one);
}

TEST_CASE("send scheduler: short answers add to the backlog, and a removed answer no longer counts") {
    SendScheduler scheduler(settings());
    scheduler.record_sent(0, 5000);
    CHECK(scheduler.backlog(0) == 50);
    const auto id = scheduler.add(3000, 100);
    CHECK(scheduler.backlog(0) == 80);
    CHECK_FALSE(scheduler.next(0));
    CHECK(scheduler.due() == 40.0);
    scheduler.remove(id);
    CHECK(scheduler.backlog(0) == 50);
    CHECK_FALSE(scheduler.due());
    CHECK(scheduler.on_piece_written(id));  // removed while its piece was being written
}

TEST_CASE("admission: a request whose answer the link can't deliver in time is refused before it runs") {
    admission::Admission one;
    one.on_heartbeat("i-1", 6, false, 1);
    admission::Offer offer;
    offer.ticket = 1, offer.id = "a", offer.instance_id = "i-1", offer.once = false;
    offer.deadline = 5000, offer.due = 1000;
    offer.link_time = 100, offer.link_wait = 550;
    CHECK(one.offer(0, offer).disposition == admission::Disposition::begin);
    offer.ticket = 2, offer.id = "b", offer.link_wait = 650;
    const admission::Decision said = one.offer(0, offer);
    CHECK(said.disposition == admission::Disposition::refuse);
    CHECK(said.reason == Reason::full);
    offer.ticket = 3, offer.id = "c", offer.link_time = 0;  // a short answer does not wait for long ones
    CHECK(one.offer(0, offer).disposition == admission::Disposition::begin);
}

TEST_CASE("answer sizes: learnt per kind of request, in bounded memory") {
    admission::AnswerSizes sizes;
    CHECK(sizes.expected({2, 1, 600}) == 0);
    sizes.record({2, 1, 600}, 90000);
    CHECK(sizes.expected({2, 1, 600}) == 90000);
    sizes.record({2, 1, 600}, 100000);
    CHECK(sizes.expected({2, 1, 600}) == 91000);
    for (int rank = 0; rank < 1000; ++rank) sizes.record({0, rank, 1}, 5);
    CHECK(sizes.expected({0, 900, 1}) == 0);
}
