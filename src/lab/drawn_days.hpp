// Plays many drawn days at once, one to a thread, and adds up what came of them. Called by control-world and
// request-world.
#pragma once

#include <algorithm>
#include <atomic>
#include <future>
#include <thread>
#include <vector>

namespace cobaltshift::lab {

// `play(sum, i)` plays day i of `count` into its thread's sum; Sum has add(const Sum&).
template <class Sum, class Play>
Sum sum_of_days(std::size_t count, const Play& play) {
    const std::size_t workers = std::max(1U, std::thread::hardware_concurrency());
    std::atomic<std::size_t> next{0};
    std::vector<std::future<Sum>> parts;
    for (std::size_t worker = 0; worker < workers; ++worker)
        parts.push_back(std::async(std::launch::async, [&] {
            Sum sum;
            for (std::size_t i = next++; i < count; i = next++) play(sum, i);
            return sum;
        }));
    Sum all;
    for (auto& part : parts) all.add(part.get());
    return all;
}

}  // namespace cobaltshift::lab
