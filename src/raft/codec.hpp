// Messages, entries and members as bytes: protozero (the protocol buffers' wire), with the XXH3 of all before
// it at the end, so that what is cut off at a field's border or bent does not pass for whole. Decoding takes
// nothing on trust: a field of another type, over its bound or out of its range makes no message.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "raft/types.hpp"

namespace cobaltshift::raft {

std::string encode(const Message& message);
// None: not a message; `why` then says what is wrong.
std::optional<Message> decode_message(std::string_view bytes, std::string& why);

std::string encode(const Members& members);
std::optional<Members> decode_members(std::string_view bytes);
std::string encode(const Entry& entry);
std::optional<Entry> decode_entry(std::string_view bytes);
std::string encode(const Snapshot& snapshot);
std::optional<Snapshot> decode_snapshot(std::string_view bytes);

}  // namespace cobaltshift::raft
