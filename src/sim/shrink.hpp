// Makes a case that breaks a rule smaller while it still breaks that rule: delta debugging (Zeller and
// Hildebrandt 2002) over its faults, then fewer processes, a shorter day and less load, until nothing more
// can go.
#pragma once

#include <functional>
#include <string>

#include "sim/case.hpp"

namespace cobaltshift::sim {

struct Shrunk {
    Case day;
    std::size_t plays = 0;
};
// `breaks` plays a case and tells whether the rule is broken; what throws does not. `most_plays` bounds the
// search.
Shrunk shrink(const Case& day, const std::function<bool(const Case&)>& breaks, std::size_t most_plays = 400);

}  // namespace cobaltshift::sim
