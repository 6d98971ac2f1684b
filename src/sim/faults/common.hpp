// What kinds of faults share: whom a target names, and links that are otherwise for a while.
#pragma once

#include <charconv>
#include <utility>

#include "sim/scene.hpp"

namespace cobaltshift::sim {

// The part of this kind that the fault's target numbers. Throws ModelError if there is none.
template <class T>
T& one_of(Scene& scene, const Fault& fault, const char* what) {
    std::size_t number = 0;
    const std::string& text = fault.target;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size() ||
        number >= scene.all<T>().size())
        throw ModelError("fault " + fault.kind + ": there is no " + what + " '" + text + "'");
    return *scene.all<T>().at(number);
}

// Links that match are so for the fault's length. Where `counted`, it is booked as having struck.
inline void impose(Scene& scene, const Fault& fault, Network::Match match, Link link, bool counted = false) {
    scene.kernel.at(fault.at, [&scene, fault, match = std::move(match), link, counted] {
        if (counted) scene.figure("struck: " + fault.kind) += 1;
        const std::uint64_t rule = scene.network.impose(match, link);
        scene.kernel.at(fault.at + fault.length, [&scene, rule] { scene.network.lift(rule); });
    });
}

}  // namespace cobaltshift::sim
