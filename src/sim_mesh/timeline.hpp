// Virtual time (standard term: discrete-event kernel): events run in the order of their time and, at one
// time, of their being set. No clock is read. sim::Kernel would bring pcg and the old world's streams along;
// this is all that the mesh needs. Called by all of sim_mesh.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace cobaltshift::simmesh {

using Millis = double;
using Task = std::function<void()>;

class Timeline {
public:
    Millis now() const { return now_; }
    std::uint64_t events() const { return count_; }
    void at(Millis when, Task what) { queue_.push({std::max(when, now_), ++order_, std::move(what)}); }
    void after(Millis delay, Task what) { at(now_ + delay, std::move(what)); }
    void run(Millis until) {
        while (!queue_.empty() && queue_.top().at <= until) {
            Event event = std::move(const_cast<Event&>(queue_.top()));  // popped at once
            queue_.pop();
            now_ = event.at;
            ++count_;
            event.what();
        }
        now_ = until;
    }

private:
    struct Event {
        Millis at;
        std::uint64_t order;
        Task what;
        bool operator<(const Event& o) const { return std::tie(at, order) > std::tie(o.at, o.order); }
    };
    std::priority_queue<Event> queue_;
    Millis now_ = 1000;
    std::uint64_t order_ = 0, count_ = 0;
};

}  // namespace cobaltshift::simmesh
