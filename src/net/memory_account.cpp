#include "net/memory_account.hpp"

#include <malloc.h>

#include "log/log.hpp"

namespace cobaltshift {

namespace {
constexpr double kClientShare = 0.56;
constexpr int kLargeBlockBytes = 256 * 1024;
}  // namespace

std::size_t memory_for_clients(std::size_t memory_mb) {
    return static_cast<std::size_t>(static_cast<double>(memory_mb << 20) * kClientShare);
}

void return_freed_memory() {
#ifdef M_MMAP_THRESHOLD
    ::mallopt(M_MMAP_THRESHOLD, kLargeBlockBytes);
#endif
}

MemoryAccount::MemoryAccount(asio::io_context& io, const Clock& clock, std::size_t limit)
    : io_(io), clock_(clock), limit_(limit), sum_(std::make_shared<Sum>(Sum{0, this})) {}

void MemoryAccount::schedule_release() {
    release_scheduled_ = true;
    asio::post(io_, [sum = sum_] {
        if (sum->account) sum->account->release();
    });
}

void MemoryAccount::release() {
    const Millis now = clock_.now();
    while (sum_->held > limit_) {
        Holder* costliest = nullptr;
        double highest = 0;
        for (Holder* holder : holders_) {
            const auto cost = holder->highest_cost(now);
            if (!cost || (costliest && *cost <= highest)) continue;
            costliest = holder;
            highest = *cost;
        }
        if (!costliest) break;
        costliest->release_costliest(now);
        ++released_;
    }
    release_scheduled_ = false;
}

}  // namespace cobaltshift
