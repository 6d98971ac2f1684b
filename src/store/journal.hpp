// A keeper's folder as one file of records, for whoever has nothing better than files: the world's disk.
// Records are appended and synced; with a snapshot the file is written anew and moved over the old one. Each
// record has a head with a checksum of its own, so that a tail cut short at a crash (what was never promised)
// is told from what has gone bad (a spoilt folder must not vote). Free of I/O.
#pragma once

#include <string>
#include <string_view>

#include "raft/raft_node.hpp"

namespace cobaltshift::store {

// Of all that is to be kept by `ready`, which has no snapshot: to be appended.
std::string records_of(const raft::Ready& ready);
// The file that leads to `stored` alone.
std::string records_of(const raft::Stored& stored);

struct Replayed {
    enum class Found { nothing, whole, torn, spoilt };
    Found found = Found::nothing;
    raft::Stored stored;
    std::size_t good = 0;  // bytes up to the last whole record; behind it a torn tail
    std::string why;       // where spoilt
};
Replayed replay(std::string_view bytes);

}  // namespace cobaltshift::store
