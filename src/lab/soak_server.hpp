// A stand-in application server of a soak: answers on the machine's app address, sends heartbeats to the
// proxy beside it, and tells the ledger what it ran. It has the habits that servers in the field have: it
// turns requests away, resets connections, sends answers late or twice, and is replaced by another instance
// at its address. Entry type: start_soak_server().
#pragma once

#include <memory>
#include <string>

#include "lab/soak_ledger.hpp"
#include "net/http.hpp"
#include "random.hpp"

namespace cobaltshift::lab {

struct SoakServerPlace {
    std::string ip, service, name;
    std::uint16_t app_port = 0, control_port = 0;
};

// Shares are of the requests or answers that they speak of; 0: never.
struct SoakServerHabits {
    std::size_t capacity = 16;        // requests at work at once; any more are turned away with Not-Run
    std::size_t max_connections = 0;  // any more are reset; 0: no limit
    double late_copy = 0;             // the answer is sent once more, up to kMaxLateCopyMs after it
    double nameless_refusal = 0;      // a refusal that names no request follows an answer late
    double early_refusal = 0;         // of long requests: turned away before the body is read
    double reset_after_run = 0;       // a reset takes the place of the answer
    double closing_answer = 0;        // Connection: close
    double large = 0.05;              // the answer has `large_bytes` more than its request's id
    std::size_t large_bytes = 300 * 1024;
    std::size_t large_from_body = 0;  // bytes; answers to requests with shorter bodies are never large
    bool endless_gets = false;        // a GET gets an answer in chunks that never ends
    bool replaced = false;            // its instances end and others take their place at the same address
};

// Runs on `io` until `stopped` is true.
void start_soak_server(asio::io_context& io, SoakServerPlace place, SoakServerHabits habits,
                       SoakLedger& ledger, std::uint64_t seed, std::shared_ptr<const bool> stopped);

}  // namespace cobaltshift::lab
