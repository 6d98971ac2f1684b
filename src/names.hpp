// Numbers for names. A server's number is the same at every sidecar, which peers need to understand one
// another.
#pragma once

#include <string_view>

#include "module.hpp"

namespace cobaltshift {

// FNV-1a of the name. `taken(id)` tells whether another server has that number already: the next free one is
// used then, and peers mean another server by it, which costs a tie.
template <class Taken>
ServerId server_number(std::string_view name, Taken taken) {
    ServerId id = 2166136261u;
    for (const char c : name) id = (id ^ static_cast<unsigned char>(c)) * 16777619u;
    while (taken(id)) ++id;
    return id;
}

}  // namespace cobaltshift
