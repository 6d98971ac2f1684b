// Binary encoding of messages, entries, members and snapshots in the protocol buffers wire format. A message
// ends with the XXH3 of all bytes before it, which detects corruption and truncation, also at a field
// boundary. Decoding validates its input: a field of a wrong type, over its size limit or out of range is an
// error.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "raft/types.hpp"

namespace cobaltshift::raft {

std::string encode(const Message& message);
// None if the bytes are no valid message; `why` then holds the reason.
std::optional<Message> decode_message(std::string_view bytes, std::string& why);

// The decode functions return none if the bytes are invalid.
std::string encode(const Members& members);
std::optional<Members> decode_members(std::string_view bytes);
std::string encode(const Entry& entry);
std::optional<Entry> decode_entry(std::string_view bytes);
std::string encode(const Snapshot& snapshot);
std::optional<Snapshot> decode_snapshot(std::string_view bytes);

}  // namespace cobaltshift::raft
