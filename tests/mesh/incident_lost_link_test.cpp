// The incident "LOST under planned work" (docs/incidents/lost-planned-work-2026-12-02.md): answers that are
// whole wait for the link of the proxy beside the server, longer than a caller that ends can wait for them.
// Admission and the link's scheduler as the proxy puts them together, in virtual time.
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

// The machines of nmba-mesh-grown beside a server of downloads.
constexpr double kBytesPerMs = 12 * 125 * 0.90, kMeanBytes = 90000, kSpread = 0.6;
constexpr Millis kTarget = 1200, kDeadline = 8000, kWork = 290, kDay = 60000, kPiece = 16;
constexpr double kUrgentAfterTargets = 1.5;  // as proxy::Inbound
constexpr std::uint32_t kSlots = 18;

// One proxy beside a server, to which more is offered than its link bears.
class Machine : private admission::Executor {
public:
    Machine(std::uint64_t seed, double offered) : random_(seed), offered_(offered), scheduler_(settings()) {
        requests_.beat(0, "i-1", kSlots, false, 1);
        at(0, [this] { arrive(); });
    }
    void play() {
        while (!due_.empty()) {
            const auto first = due_.begin();
            now_ = first->first;
            const auto task = std::move(first->second);
            due_.erase(first);
            task();
            write();
        }
    }
    // From a request's coming to the last byte of its answer, of those that were let in.
    Millis longest() const { return longest_; }
    std::size_t answered() const { return answered_; }
    double bytes_written() const { return bytes_written_; }

private:
    static SendScheduler::Settings settings() {
        SendScheduler::Settings s;
        s.bytes_per_ms = kBytesPerMs;
        s.ahead = kPiece;
        s.piece = s.long_from = static_cast<std::size_t>(kBytesPerMs * kPiece);
        return s;
    }
    void at(Millis when, std::function<void()> task) { due_.emplace(std::max(now_, when), std::move(task)); }

    double drawn_bytes() {
        const double normal =
            std::sqrt(-2 * std::log(1 - random_.unit())) * std::cos(6.2831853 * random_.unit());
        return kMeanBytes * std::exp(kSpread * normal - kSpread * kSpread / 2);
    }
    void arrive() {
        if (now_ > kDay) return;
        const admission::Ticket ticket = requests_.next_ticket();
        came_[ticket] = now_;
        admission::Arrival arrival;
        arrival.id = std::to_string(ticket);
        arrival.life = "i-1";
        arrival.once = false;
        arrival.may_wait = true;
        arrival.kind = {2, 0, static_cast<long>(kTarget)};
        arrival.target = kTarget;
        arrival.deadline = now_ + kDeadline;
        requests_.arrived(
            now_, ticket, arrival,
            admission::LinkState{scheduler_.backlog(now_), kBytesPerMs, scheduler_.long_from()});
        const Millis gap = kMeanBytes / kBytesPerMs / offered_;
        at(now_ - gap * std::log(1 - random_.unit()), [this] { arrive(); });
    }

    void begin(admission::Ticket ticket, Millis) override {
        at(now_ + kWork * (0.5 + random_.unit()), [this, ticket] { run_ended(ticket); });
    }
    void run_ended(admission::Ticket ticket) {
        const auto bytes = static_cast<std::size_t>(drawn_bytes());
        requests_.ended(now_, ticket, {{}, true, bytes});
        if (!scheduler_.is_long(bytes)) {
            scheduler_.sent(now_, bytes);
            return written(ticket, static_cast<double>(bytes));
        }
        writing_[scheduler_.add(bytes, came_.at(ticket) + kUrgentAfterTargets * kTarget)] = {
            ticket, static_cast<double>(bytes)};
    }
    // As PacedLink does it, with a kernel that takes each piece at once.
    void write() {
        while (const auto grant = scheduler_.next(now_)) {
            if (!scheduler_.finished(grant->id)) continue;
            const auto done = writing_.extract(grant->id);
            written(done.mapped().first, done.mapped().second);
        }
        const auto due = scheduler_.due();
        if (due && *due > now_) at(*due, [] {});
    }
    void written(admission::Ticket ticket, double bytes) {
        longest_ = std::max(longest_, now_ - came_.at(ticket));
        ++answered_;
        bytes_written_ += bytes;
    }
    void refuse(admission::Ticket, Reason) override {}
    void expire(admission::Ticket) override {}
    void cancel(admission::Ticket) override {}
    void look_soon() override {
        at(now_, [this] { requests_.look(now_); });
    }
    void look_at(Millis when) override {
        at(when, [this] { requests_.timer_fired(now_); });
    }

    kelplb::Random random_;
    const double offered_;  // of what the link bears
    Millis now_ = 0;
    std::multimap<Millis, std::function<void()>> due_;
    admission::InboundRequests requests_{*this};
    SendScheduler scheduler_;
    std::map<admission::Ticket, Millis> came_;
    std::map<SendScheduler::Id, std::pair<admission::Ticket, double>> writing_;
    Millis longest_ = 0;
    std::size_t answered_ = 0;
    double bytes_written_ = 0;
};

}  // namespace

TEST_SUITE("incident lost: link") {
    // Admission lets a request in whose answer the link can carry within seven tenths of its target. A caller
    // that ends takes requests until 2.6 s after SIGTERM and answers what it holds at 5.5 s.
    TEST_CASE("what admission has let in leaves by a full link before a caller that ends must give up") {
        constexpr Millis kCallerWaits = 2900;
        for (const double offered : {0.9, 1.2, 2.0})
            for (std::uint64_t seed = 1; seed <= 5; ++seed) {
                Machine machine(seed, offered);
                machine.play();
                CAPTURE(offered);
                CAPTURE(seed);
                CHECK(machine.longest() < kCallerWaits);
                CHECK(machine.answered() > 500);
                MESSAGE("offered " << offered << ": longest " << machine.longest() << " ms, "
                                   << machine.answered() << " answers, "
                                   << 100 * machine.bytes_written() / kBytesPerMs / kDay << " % of the link");
            }
    }
}
