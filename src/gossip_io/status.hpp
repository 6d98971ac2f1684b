// What a node knows of the others as JSON, for the doctor. Entry: status_text(). Called by GossipTransport.
#pragma once

#include <string>

#include "gossip_io/gossip_transport.hpp"

namespace cobaltshift::gossip_io {

std::string status_text(const gossip::Gossip& gossip, const Counts& counts);

}  // namespace cobaltshift::gossip_io
