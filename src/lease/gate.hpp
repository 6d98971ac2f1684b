// Fencing check at the resource that lease holders act on. Entry type: Gate.
//
// An action is admitted only under a fencing token that is not lower than any admitted before for the task,
// so that actions take effect in the order of their leases regardless of clock errors, paused processes and
// delayed messages. The number of remembered tasks is bounded; the token of an evicted task is known to have
// been at most `floor_`.
#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <string_view>

#include "lease/types.hpp"

namespace cobaltshift::lease {

// Not thread-safe.
class Gate {
public:
    // `most`: number of tasks to remember, at least 1.
    explicit Gate(std::size_t most = kMaxTasks) : most_(most) {}

    // False: the token is 0 or lower than one admitted before.
    bool admit(std::string_view task, Fence fence) {
        const auto at = highest_.find(task);
        const Fence highest = at == highest_.end() ? floor_ : at->second;
        if (fence == 0 || fence < highest) {
            ++refused_;
            return false;
        }
        if (at != highest_.end()) {
            at->second = fence;
            return true;
        }
        // Tokens increase over all tasks together, so the floor of evicted tasks can only refuse valid
        // actions, never admit stale ones.
        while (highest_.size() >= most_) {
            auto lowest = highest_.begin();
            for (auto it = highest_.begin(); it != highest_.end(); ++it)
                if (it->second < lowest->second) lowest = it;
            floor_ = std::max(floor_, lowest->second);
            highest_.erase(lowest);
        }
        highest_.emplace(task, fence);
        return true;
    }
    Fence highest(std::string_view task) const {
        const auto at = highest_.find(task);
        return at == highest_.end() ? floor_ : at->second;
    }
    std::uint64_t refused() const { return refused_; }

private:
    std::size_t most_;
    std::map<std::string, Fence, std::less<>> highest_;
    Fence floor_ = 0;
    std::uint64_t refused_ = 0;
};

}  // namespace cobaltshift::lease
