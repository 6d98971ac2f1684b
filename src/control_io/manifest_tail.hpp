// How much of a LevelDB manifest is whole records. Entry: whole_manifest_bytes(). Called by DurableEnv.
//
// A manifest's newest record is synced after it is written: a loss of power between the two may leave it
// torn, and LevelDB then takes the whole folder for corrupt. What the record would have replaced is still
// there, as LevelDB removes it only after the sync; without the torn record the folder is as it was before.
// Format: doc/log_format.md of LevelDB.
#pragma once

#include <cstddef>
#include <string_view>

namespace cobaltshift::control {

// The bytes up to the end of the last whole record, where nothing but a torn one follows; all of them where
// another whole record stands behind the torn one, as then it is not the end that is broken.
std::size_t whole_manifest_bytes(std::string_view manifest);

}  // namespace cobaltshift::control
