// Server ids derived from server names. Every sidecar gets the same id for a name, so that ids have a
// meaning in messages between sidecars.
#pragma once

#include <string_view>

#include "module.hpp"

namespace cobaltshift {

// FNV-1a hash of the name. `taken(id)` tells whether another server of this sidecar has the id already. The
// next free one is used then; peers take it for another server, which costs no more than a wrong tie-break.
template <class Taken>
ServerId server_number(std::string_view name, Taken taken) {
    ServerId id = 2166136261u;
    for (const char c : name) id = (id ^ static_cast<unsigned char>(c)) * 16777619u;
    while (taken(id)) ++id;
    return id;
}

}  // namespace cobaltshift
