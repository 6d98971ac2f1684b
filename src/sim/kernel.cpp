#include "sim/kernel.hpp"

#include <algorithm>
#include <bit>

namespace cobaltshift::sim {

// A handle is the event's order; its slot is found by the low part, as slots are few against orders.
namespace {
constexpr unsigned kSlotBits = 24;
constexpr std::uint64_t kSlotMask = (1ULL << kSlotBits) - 1;
}  // namespace

Kernel::Handle Kernel::at(Millis when, Task what) {
    if (!(when >= now_)) when = now_;  // also for what is no number
    std::uint32_t slot;
    if (free_.empty()) {
        if (slots_.size() > kSlotMask) throw ModelError("more than 16 million events pending");
        slot = static_cast<std::uint32_t>(slots_.size());
        slots_.emplace_back();
    } else {
        slot = free_.back();
        free_.pop_back();
    }
    const std::uint64_t order = ++order_;
    slots_[slot].what = std::move(what);
    slots_[slot].order = order;
    push({when, order, slot});
    return order << kSlotBits | slot;
}

bool Kernel::cancel(Handle handle) {
    const auto slot = static_cast<std::uint32_t>(handle & kSlotMask);
    if (slot >= slots_.size() || slots_[slot].order != handle >> kSlotBits || !slots_[slot].what)
        return false;
    slots_[slot].what = Task();  // its entry stays in the heap until its time
    return true;
}

bool Kernel::step(Millis end) {
    while (!heap_.empty()) {
        const Entry next = heap_.front();
        if (next.at > end) return false;
        pop();
        Task what = std::move(slots_[next.slot].what);
        slots_[next.slot].order = 0;
        free_.push_back(next.slot);
        if (!what) continue;  // cancelled
        now_ = next.at;
        ++events_;
        note(std::bit_cast<std::uint64_t>(now_));
        what();
        return true;
    }
    return false;
}

Stream Kernel::stream(std::string_view name) {
    if (!streams_.emplace(std::string(name), true).second)
        throw ModelError("the stream '" + std::string(name) + "' is taken twice");
    return Stream(seed_, name);
}

void Kernel::push(Entry entry) {
    std::size_t at = heap_.size();
    heap_.push_back(entry);
    while (at > 0) {
        const std::size_t parent = (at - 1) / 4;
        if (!(entry < heap_[parent])) break;
        heap_[at] = heap_[parent];
        at = parent;
    }
    heap_[at] = entry;
}

void Kernel::pop() {
    const Entry last = heap_.back();
    heap_.pop_back();
    if (heap_.empty()) return;
    std::size_t at = 0;
    for (;;) {
        const std::size_t first = 4 * at + 1;
        if (first >= heap_.size()) break;
        std::size_t least = first;
        for (std::size_t i = first + 1; i < std::min(first + 4, heap_.size()); ++i)
            if (heap_[i] < heap_[least]) least = i;
        if (!(heap_[least] < last)) break;
        heap_[at] = heap_[least];
        at = least;
    }
    heap_[at] = last;
}

}  // namespace cobaltshift::sim
