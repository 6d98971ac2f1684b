// Clients that nobody controls, for the tests of hostile clients and the soak. Each keeps to its behaviour on
// one connection after another until it is told to stop. Entry types: Crowd and the behaviours.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "lab/soak_io.hpp"

namespace cobaltshift::lab {

// What a client does on one connection until that ends. Sets `part_done` once it has sent what it means to
// send and only stays, or reads on.
using Behaviour = std::function<awaitable<void>(tcp::socket& socket, bool& part_done)>;

// Asks for a long answer and reads it slowly.
Behaviour read_slowly(asio::io_context& io);
// Sends `piece` again and again after `start` until `bytes` are sent, then keeps the connection open.
Behaviour send_pieces(std::string start, std::string piece, std::size_t bytes);
// Sends a whole request with a chunked body of `bytes` and awaits the answer.
Behaviour send_chunked_body(std::size_t chunk_bytes, std::size_t bytes);

// The head of a request to the test's route, without the empty line at its end.
std::string request_head(const std::string& method, unsigned deadline_ms = 8000);
// The same as another proxy sends it, for the server `instance_id`.
std::string hop_head(const std::string& method, const std::string& instance_id);
// One chunk with its frame.
std::string chunk_of(std::size_t bytes);

class Crowd {
public:
    Crowd(asio::io_context& io, tcp::endpoint to) : io_(io), to_(to) {}
    ~Crowd() { *stopped_ = true; }
    void add(std::size_t clients, const Behaviour& behaviour);
    // Returns once each client has done its part on a connection, or that was closed on it, and all have
    // stayed for a while after; a minute at most. The clients go on until the Crowd goes.
    awaitable<void> run();

private:
    struct Client {
        Behaviour behaviour;
        bool part_done = false;
    };
    static awaitable<void> keep_on(asio::io_context& io, tcp::endpoint to, std::shared_ptr<Client> client,
                                   std::shared_ptr<const bool> stopped);

    asio::io_context& io_;
    const tcp::endpoint to_;
    std::vector<std::shared_ptr<Client>> clients_;
    std::shared_ptr<bool> stopped_ = std::make_shared<bool>(false);
};

}  // namespace cobaltshift::lab
