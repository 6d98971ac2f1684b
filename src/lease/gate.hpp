// What is acted upon: lets an act pass only under a fence that is not lower than any it has let pass for the
// task. Whatever clocks, pauses and late messages do, acts then take effect in the order of their rights. It
// remembers bounded tasks; of one that was dropped it knows only that its fence was at most `floor_`. Entry
// type: Gate.
#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <string_view>

#include "lease/types.hpp"

namespace cobaltshift::lease {

class Gate {
public:
    explicit Gate(std::size_t most = kMaxTasks) : most_(most) {}

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
        // Fences are one row over all tasks, so a floor of those dropped refuses too much, never too little.
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
