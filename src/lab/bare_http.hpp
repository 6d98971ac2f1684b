// The least HTTP that can be spoken: a server that answers every request with the same few bytes and clients
// that ask again as soon as they are answered. For what a forwarder costs beside them, so that the cost of
// the tools is small and the same on both ways. Not for anything that has to be understood.
#pragma once

#include <cstdint>
#include <list>
#include <memory>
#include <string>

#include "net/http.hpp"

namespace cobaltshift::lab {

// Requests without a body, on connections that stay.
class BareServer {
public:
    explicit BareServer(asio::io_context& io);
    tcp::endpoint at() const { return acceptor_.local_endpoint(); }

private:
    struct Connection;
    void accept();
    tcp::acceptor acceptor_;
};

// So many connections, one request out on each. "00000000" in the request is filled with a running number.
class BareClients {
public:
    BareClients(asio::io_context& io, tcp::endpoint to, std::size_t connections, std::string request);
    ~BareClients();
    void pause(bool on);  // what is out is still read
    std::uint64_t answered() const { return answered_; }
    std::uint64_t other() const { return other_; }  // of these, not 200; and connections that broke
    // After so many answers in all.
    void when(std::uint64_t answers, std::function<void()> told) { due_ = answers, told_ = std::move(told); }

private:
    struct Connection;
    const std::string request_;
    const std::size_t number_at_;
    std::uint64_t asked_ = 0;
    std::list<std::shared_ptr<Connection>> connections_;
    std::uint64_t answered_ = 0, other_ = 0, due_ = 0;
    std::function<void()> told_;
    bool paused_ = false;
};

}  // namespace cobaltshift::lab
