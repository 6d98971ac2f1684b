// Encoding of a Raft member's persistent state as a log file, used by the simulator's disks. Records are
// appended and synced; a snapshot is written as a new file that replaces the old one. The header of each
// record has a checksum of its own, which distinguishes a torn tail after a crash (never acknowledged, can be
// cut off) from corruption (the member must not vote with this state). Free of I/O.
#pragma once

#include <string>
#include <string_view>

#include "raft/raft_node.hpp"

namespace cobaltshift::store {

// The records to append for what `ready` asks to persist. `ready` must not have a snapshot.
std::string records_of(const raft::Ready& ready);
// A complete file that replays to `stored`.
std::string records_of(const raft::PersistentState& stored);

struct Replayed {
    enum class Found {
        nothing,  // empty, or torn before the member id was written
        intact,   // intact
        torn,     // intact up to `good`, followed by an incomplete record
        corrupt,  // corrupt; `stored` must not be used
    };
    Found found = Found::nothing;
    raft::PersistentState stored;
    std::size_t good = 0;  // size in bytes of the intact records at the start of the file
    std::string why;       // if corrupt: the reason
};
Replayed replay(std::string_view bytes);

}  // namespace cobaltshift::store
