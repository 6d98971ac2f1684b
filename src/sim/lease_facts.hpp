// What keepers, holders and what is acted upon tell the bus.
#pragma once

#include <string>

#include "lease/types.hpp"
#include "sim/facts.hpp"

namespace cobaltshift::sim {

inline std::string keeper_name(Node keeper) { return "keeper " + std::to_string(keeper); }
inline std::string holder_name(Node holder) { return "holder " + std::to_string(holder); }

struct KeeperTurned {
    Node keeper;
    const char* how;
    std::string text() const { return keeper_name(keeper) + " " + how; }
};
struct Led {
    Node keeper;
    raft::MemberId id;
    raft::Term term;
    std::string text() const { return keeper_name(keeper) + " leads in term " + std::to_string(term); }
};
struct Agreed {  // has applied this entry
    Node keeper;
    raft::Index index;
    std::uint64_t hash;
    std::string text() const {
        return keeper_name(keeper) + " applies entry " + std::to_string(index) + " " + std::to_string(hash);
    }
};
struct BookAt {  // after all up to index
    Node keeper;
    raft::Index index;
    std::uint64_t digest;
    std::string text() const { return keeper_name(keeper) + " is at entry " + std::to_string(index); }
};
struct RightHeld {  // from now until then, in true time
    Node holder;
    std::string task;
    lease::Fence fence;
    Millis until;
    std::string text() const {
        return holder_name(holder) + " holds " + task + " under " + std::to_string(fence) + " until " +
               std::to_string(until);
    }
};
struct RightOver {  // before its end
    Node holder;
    std::string task;
    std::string text() const { return holder_name(holder) + " no longer holds " + task; }
};
struct Noted {  // a keeper has said that it is left
    Node holder;
    std::string task;
    lease::Fence fence;
    std::uint64_t value;
    std::string text() const {
        return holder_name(holder) + " has left " + std::to_string(value) + " for " + task + " under " +
               std::to_string(fence);
    }
};
struct Acted {
    std::string task;
    Node holder;
    lease::Fence fence;
    bool admitted;
    std::string text() const {
        return task + (admitted ? ": act under " : ": refuses an act under ") + std::to_string(fence) +
               " of " + holder_name(holder);
    }
};

}  // namespace cobaltshift::sim
