// What the parties of the world say to one another, the bounds of a site, and the safeguards that a test may
// take out.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "config/configuration.hpp"
#include "outcome/outcome.hpp"
#include "sim_mesh/timeline.hpp"

namespace cobaltshift::simmesh {

using Ip = std::uint32_t;

struct Bounds {  // of the site, in ms
    Millis contact = 5000, apply = 3000, drain = 2000, grace = 6000, recover = 10000, retry_window = 10000,
           heartbeat = 1000;
    double retry_ratio = 0.2, retry_slack = 20;
};

// Each keeps a promise; a test takes one out and sees the rule's checker speak.
struct Safeguards {
    bool closing_at_admission = true;  // an acknowledged `closing` holds
    bool once_at_admission = true;     // an id runs once in a server's life
    bool registered_once = true;       // the caller's side never repeats them
    bool life_expected = true;         // admission and server ask for the life that was meant
    bool proof_of_refusal = true;      // 503 only for what has not run
    bool caller_named = true;          // Caller is set
    bool ids_compared = true;          // an answer of another id is none
    bool refusals_attributed = true;   // without an id, only in a first exchange
    bool budget = true;                // further tries are counted
    bool commit_first = true;          // 200 after the commit
    bool newer_only = true;            // a configuration that is older isn't taken
    bool fetches = true;               // news of a configuration is followed
    bool checks_changes = true;        // a hub judges a change
    bool confirms_at_start = true;     // a proxy that starts asks which configuration is current
    bool deadline_kept = true;         // a request is given up in time for its client
    bool withdrawn_when_gone = true;   // what waits for a client that has left goes nowhere
    bool answers_before_end = true;    // a proxy that ends in order answers what it has read
    bool answers_at_end = true;        // what it holds at the end of its grace time too
    bool hears_beats = true;           // a proxy that comes back finds its server again
};

// A request of a client: one try, with its own id.
struct Request {
    std::string id, host = "shop", path, caller;
    bool registered = false;
    Ip origin = 0;  // machine
    Millis sent = 0, deadline = 0;
    Millis leaves = 0;  // its client, long before the deadline; 0: it does not
};
using RequestPtr = std::shared_ptr<const Request>;

struct Answer {  // to a client; status 0: the connection closed
    unsigned status = 0;
    std::string id;  // of the request that the server answered
    Millis retry_in = 0;
    bool unread = false;  // closed, and the sidecar had not read it
    bool promises() const { return status == 429 || status == 503 || status == 408 || status == 421; }
};

// What a server or its proxy says of a request that came over a hop.
struct HopAnswer {
    std::optional<Failure> failure;
    Answer answer;
    config::Edition edition = 0;
};

// A call of the operator.
struct Order {
    std::string mark;  // in the body: tells one configuration from all others
    config::Edition base = 0, edition = 0;
    bool valid = true;
    std::string body;
};

}  // namespace cobaltshift::simmesh
