#include "net/memory_account.hpp"

#include <malloc.h>

#include "log/log.hpp"

namespace cobaltshift {

namespace {
constexpr double kClientShare = 0.56;
constexpr std::size_t kBacklogPart = 8;
// The kernel takes twice the size that a receive buffer is given.
constexpr std::size_t kBytesPerWaitingConnection = 128 * 1024;
constexpr int kLargeBlockBytes = 256 * 1024;
// The part of the limit that is not granted to long answers: what is charged without asking needs it.
constexpr std::size_t kUngrantedPart = 16;
// Who may lose a charge to those that wait: clients that still have something to send or to read after this
// time, and long requests.
constexpr MemoryAccount::Eligible kForThoseThatWait{.min_age = 500, .long_requests = true};
constexpr std::chrono::milliseconds kLineInterval{50};
}  // namespace

std::size_t memory_for_clients(std::size_t memory_mb) {
    return static_cast<std::size_t>(static_cast<double>(memory_mb << 20) * kClientShare);
}

std::size_t backlog_for(std::size_t memory_mb) {
    return (memory_mb << 20) / kBacklogPart / kBytesPerWaitingConnection;
}

void return_freed_memory() {
#ifdef M_MMAP_THRESHOLD
    ::mallopt(M_MMAP_THRESHOLD, kLargeBlockBytes);
#endif
}

MemoryAccount::MemoryAccount(asio::io_context& io, const Clock& clock, std::size_t limit)
    : io_(io), clock_(clock), limit_(limit), sum_(std::make_shared<Sum>(Sum{0, 0, this})), line_timer_(io) {}

void MemoryAccount::return_free_blocks() {
    sum_->freed = 0;
#ifdef __GLIBC__
    ::malloc_trim(0);
#endif
}

std::size_t MemoryAccount::grantable() const { return limit_ - limit_ / kUngrantedPart; }

void MemoryAccount::schedule_release() {
    release_scheduled_ = true;
    asio::post(io_, [sum = sum_] {
        if (sum->account) sum->account->release();
    });
}

void MemoryAccount::release() {
    while (sum_->held > limit_ && release_one({})) {
    }
    release_scheduled_ = false;
}

// Releases the costliest of the eligible charges; false: there is none.
bool MemoryAccount::release_one(const Eligible& eligible) {
    const Millis now = clock_.now();
    Holder* costliest = nullptr;
    double highest = 0;
    for (Holder* holder : holders_) {
        const auto cost = holder->highest_cost(now, eligible);
        if (!cost || (costliest && *cost <= highest)) continue;
        costliest = holder;
        highest = *cost;
    }
    if (!costliest) return false;
    costliest->release_costliest(now, eligible);
    ++released_;
    return true;
}

// ---- The line ---------------------------------------------------------------------------------------------

MemoryAccount::Place MemoryAccount::wait_for_room(std::size_t bytes, Millis until,
                                                  std::function<void()> on_room) {
    const Place place{until, next_place_++};
    line_.emplace(place, Waiting{bytes, std::move(on_room)});
    if (!line_scheduled_) schedule_line();
    return place;
}

void MemoryAccount::schedule_line() {
    line_scheduled_ = true;
    asio::post(io_, [sum = sum_] {
        if (sum->account) sum->account->advance_line();
    });
}

void MemoryAccount::advance_line() {
    while (!line_.empty()) {
        const auto first = line_.begin();
        if (!has_room_to_grant(first->second.bytes)) {
            if (!release_one(kForThoseThatWait)) break;
            continue;  // whose charge it was may have left the line too
        }
        const auto on_room = std::move(first->second.on_room);
        line_.erase(first);
        on_room();
    }
    line_scheduled_ = false;
    if (!line_.empty()) start_line_timer();
}

// Clients become slow by the passing of time alone.
void MemoryAccount::start_line_timer() {
    line_timer_.expires_after(kLineInterval);
    line_timer_.async_wait([sum = sum_](error_code ec) {
        if (!ec && sum->account && !sum->account->line_scheduled_) sum->account->schedule_line();
    });
}

}  // namespace cobaltshift
