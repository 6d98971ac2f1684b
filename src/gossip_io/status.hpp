// A node's view of the membership as JSON, for diagnostics. Entry: status_text(). Used by GossipTransport.
#pragma once

#include <string>

#include "gossip_io/gossip_transport.hpp"

namespace cobaltshift::gossip_io {

std::string status_text(const gossip::Gossip& gossip, const Counts& counts);

}  // namespace cobaltshift::gossip_io
