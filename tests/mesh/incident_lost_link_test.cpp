// Guards against answers that are complete but wait for the network link of the server's machine for longer
// than a calling proxy that shuts down can wait for them, so that their requests are lost
// (docs/incidents/lost-planned-work-2026-12-02.md). Runs InboundRequests and SendScheduler together, as the
// proxy does, in virtual time.
#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>

#include "admission/inbound_requests.hpp"
#include "net/send_scheduler.hpp"
#include "random.hpp"

using namespace cobaltshift;

namespace {

using Millis = double;

// Modelled on the machines of the environment nmba-mesh-grown with a server for downloads.
constexpr double kBytesPerMs = 12 * 125 * 0.90, kMeanBytes = 90000, kSpread = 0.6;
constexpr Millis kTargetMs = 1200, kDeadlineMs = 8000, kMeanWorkMs = 290, kDurationMs = 60000, kPieceMs = 16;
constexpr double kUrgentAfterTargets = 1.5;  // as in proxy/inbound.cpp
constexpr std::uint32_t kSlots = 18;

// A proxy beside a server. `offered`: load as a multiple of what the link carries.
class ServerMachine : private admission::Executor {
public:
    ServerMachine(std::uint64_t seed, double offered)
        : random_(seed), offered_(offered), scheduler_(settings()) {
        requests_.on_heartbeat(0, "i-1", kSlots, false, 1);
        at(0, [this] { arrive(); });
    }
    void run() {
        while (!tasks_.empty()) {
            const auto first = tasks_.begin();
            now_ = first->first;
            const auto task = std::move(first->second);
            tasks_.erase(first);
            task();
            write();
        }
    }
    // The longest time from a request's arrival to the last byte of its answer, of the admitted requests.
    Millis max_time() const { return max_time_; }
    std::size_t answered() const { return answered_; }
    double bytes_written() const { return bytes_written_; }

private:
    static SendScheduler::Settings settings() {
        SendScheduler::Settings s;
        s.bytes_per_ms = kBytesPerMs;
        s.max_lead = kPieceMs;
        s.piece_bytes = s.long_answer_bytes = static_cast<std::size_t>(kBytesPerMs * kPieceMs);
        return s;
    }
    void at(Millis when, std::function<void()> task) {
        tasks_.emplace(std::max(now_, when), std::move(task));
    }

    double random_answer_bytes() {
        const double normal =
            std::sqrt(-2 * std::log(1 - random_.unit())) * std::cos(6.2831853 * random_.unit());
        return kMeanBytes * std::exp(kSpread * normal - kSpread * kSpread / 2);
    }
    void arrive() {
        if (now_ > kDurationMs) return;
        const admission::Ticket ticket = requests_.next_ticket();
        arrived_at_[ticket] = now_;
        admission::Arrival arrival;
        arrival.id = std::to_string(ticket);
        arrival.instance_id = "i-1";
        arrival.once = false;
        arrival.may_wait = true;
        arrival.kind = {2, 0, static_cast<long>(kTargetMs)};
        arrival.target = kTargetMs;
        arrival.deadline = now_ + kDeadlineMs;
        requests_.arrived(
            now_, ticket, arrival,
            admission::LinkState{scheduler_.backlog(now_), kBytesPerMs, scheduler_.long_answer_bytes()});
        const Millis gap = kMeanBytes / kBytesPerMs / offered_;
        at(now_ - gap * std::log(1 - random_.unit()), [this] { arrive(); });
    }

    void begin(admission::Ticket ticket, Millis) override {
        at(now_ + kMeanWorkMs * (0.5 + random_.unit()), [this, ticket] { run_ended(ticket); });
    }
    void run_ended(admission::Ticket ticket) {
        const auto bytes = static_cast<std::size_t>(random_answer_bytes());
        requests_.ended(now_, ticket, {{}, true, bytes});
        if (!scheduler_.is_long(bytes)) {
            scheduler_.record_sent(now_, bytes);
            return written(ticket, static_cast<double>(bytes));
        }
        writing_[scheduler_.add(bytes, arrived_at_.at(ticket) + kUrgentAfterTargets * kTargetMs)] = {
            ticket, static_cast<double>(bytes)};
    }
    // As PacedLink does it, with a kernel that accepts each piece at once.
    void write() {
        while (const auto grant = scheduler_.next(now_)) {
            if (!scheduler_.on_piece_written(grant->id)) continue;
            const auto done = writing_.extract(grant->id);
            written(done.mapped().first, done.mapped().second);
        }
        const auto due = scheduler_.due();
        if (due && *due > now_) at(*due, [] {});
    }
    void written(admission::Ticket ticket, double bytes) {
        max_time_ = std::max(max_time_, now_ - arrived_at_.at(ticket));
        ++answered_;
        bytes_written_ += bytes;
    }
    void refuse(admission::Ticket, Reason) override {}
    void expire(admission::Ticket) override {}
    void cancel(admission::Ticket) override {}
    void schedule_advance() override {
        at(now_, [this] { requests_.advance(now_); });
    }
    void set_timer(Millis when) override {
        at(when, [this] { requests_.timer_fired(now_); });
    }

    kelplb::Random random_;
    const double offered_;  // as a multiple of what the link carries
    Millis now_ = 0;
    std::multimap<Millis, std::function<void()>> tasks_;
    admission::InboundRequests requests_{*this};
    SendScheduler scheduler_;
    std::map<admission::Ticket, Millis> arrived_at_;
    std::map<SendScheduler::Id, std::pair<admission::Ticket, double>> writing_;
    Millis max_time_ = 0;
    std::size_t answered_ = 0;
    double bytes_written_ = 0;
};

}  // namespace

TEST_SUITE("incident lost: link") {
    // Admission accepts a request only if the link can carry its answer within 0.7 of the target latency. A
    // calling proxy accepts requests until 2.6 s after SIGTERM and answers all pending ones at 5.5 s, so an
    // answer has 2.9 s.
    TEST_CASE(
        "answers to admitted requests leave over a full link before a caller that shuts down gives up") {
        constexpr Millis kCallerWaitsMs = 2900;
        for (const double offered : {0.9, 1.2, 2.0})
            for (std::uint64_t seed = 1; seed <= 5; ++seed) {
                ServerMachine machine(seed, offered);
                machine.run();
                CAPTURE(offered);
                CAPTURE(seed);
                CHECK(machine.max_time() < kCallerWaitsMs);
                CHECK(machine.answered() > 500);
                MESSAGE("offered " << offered << ": longest " << machine.max_time() << " ms, "
                                   << machine.answered() << " answers, "
                                   << 100 * machine.bytes_written() / kBytesPerMs / kDurationMs
                                   << " % of the link");
            }
    }
}
