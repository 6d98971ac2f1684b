// A stand-in application server of a soak: answers on the machine's app address, beats to the proxy beside
// it, and tells the ledger what it ran. Entry type: SoakServer.
#pragma once

#include <memory>
#include <string>

#include "lab/soak_ledger.hpp"
#include "net/http.hpp"
#include "random.hpp"

namespace cobaltshift::lab {

struct SoakServerPlace {
    std::string ip, service, life;
    std::uint16_t app_port = 0, control_port = 0;
};

// Runs on `io` until `stopped` is true.
void start_soak_server(asio::io_context& io, SoakServerPlace place, SoakLedger& ledger, std::uint64_t seed,
                       std::shared_ptr<const bool> stopped);

}  // namespace cobaltshift::lab
