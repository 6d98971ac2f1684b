// Finds the end of the complete records in a LevelDB manifest. Used by DurableEnv.
//
// A loss of power between the write and the sync of the newest manifest record may leave that record torn,
// and LevelDB then reports the whole database as corrupt. The files that the record would have made obsolete
// still exist, because LevelDB removes them only after the sync. Without the torn record the database is
// therefore in its previous state. The format is described in LevelDB's doc/log_format.md.
#pragma once

#include <cstddef>
#include <string_view>

namespace cobaltshift::control {

// Size in bytes up to the end of the last complete record, if nothing but a torn record follows. The full
// size if a complete record follows the damaged one: then the manifest is corrupt rather than torn at its
// end, and LevelDB must report that.
std::size_t whole_manifest_bytes(std::string_view manifest);

}  // namespace cobaltshift::control
