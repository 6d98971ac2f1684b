// How a node divides its file descriptors and its memory; read from the program's own settings file.
#pragma once

namespace cobaltshift {

struct ResourceShares {
    // Fraction of the descriptors left after the program's own needs that goes to client connections, between
    // 0 and 1. Clients get more than servers because they also hold idle and never-used connections.
    double client_descriptors = 0.62;
    // Fraction of all descriptors that equals the clients' own limit on their connections for requests, which
    // the platform specifies.
    double clients_hold = 1.0 / 3;
    // Fraction of the memory for the bodies of pending requests. A body exists up to three times: as read, as
    // kept for further attempts, and as being sent.
    double body_memory = 1.0 / 12;
    // Seconds between the log lines that summarise the work so far; 0: only one, at the planned stop.
    double tally_seconds = 0;
};

}  // namespace cobaltshift
