// Clients of a soak: each keeps its connection to a proxy until the process behind it is gone or an answer
// closes it, and tells the ledger how each request ended. Entry type: start_soak_client().
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "lab/soak_ledger.hpp"
#include "net/http.hpp"
#include "random.hpp"

namespace cobaltshift::lab {

struct SoakClients {
    asio::io_context& io;
    SoakLedger& ledger;
    std::function<tcp::endpoint()> pick_proxy;  // for the next connection
    std::shared_ptr<const bool> stopped;        // no further requests
    std::size_t open = 0;                       // clients that have not ended
};

void start_soak_client(SoakClients& clients, std::uint64_t seed);

}  // namespace cobaltshift::lab
