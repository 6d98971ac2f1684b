// One TCP connection between two replicas or between a client and a replica. It carries frames of bounded
// size, each with a message authentication code if a secret is configured. Entry type: Channel;
// ReplicaConnection (line.hpp) keeps one connected.
//
//   hello   sent by both sides on connecting: "CSL", format, role of the connecting side, nonce of 16 bytes
//   frame   length of the rest (4 bytes, little-endian), kind, payload, code (64 hex digits, with a secret)
//
// The code (HMAC-SHA-256) covers both sides' nonces, the direction, the kind and the payload, so that frames
// recorded on one connection can't be replayed on another. Within a connection an attacker in between can
// still drop, duplicate or reorder frames, as with datagrams; the protocols on top tolerate that
// (docs/design/agree.md). The connecting side's first frame is `proof`: until a valid one has arrived,
// larger frames are refused and nothing is passed to the handlers. The connecting side sends a ping every
// second; either side closes the connection after receiving nothing for kSilence.
#pragma once

#include <boost/asio.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "plan_io/auth.hpp"

namespace cobaltshift::lease {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using plan::Secret;

enum class FrameKind : std::uint8_t {
    proof = 1,  // empty
    ping,       // the payload, which may be empty, is echoed
    pong,
    message,   // raft::encode(Message); between replicas only
    question,  // lease::encode(Request)
    answer,    // lease::encode(Response)
    order,     // operator's command, JSON; answered by `report`
    report,    // JSON
};

enum class Role : std::uint8_t { keeper = 1, client = 2 };

// Not thread-safe: all calls are made on the socket's executor.
class Channel : public std::enable_shared_from_this<Channel> {
public:
    static constexpr std::chrono::milliseconds kProofWithin{5000}, kPingEvery{1000}, kSilence{5000};

    struct Handlers {
        std::function<void()> up;  // the hello and, on the accepting side, the proof are valid
        std::function<void(FrameKind, std::string_view)> frame;
        std::function<void(const std::string& why)> closed;  // called once, never from within send()
    };
    // Call start() on the result. `secret` must outlive the channel. `largest`: limit of a received payload,
    // bytes.
    static std::shared_ptr<Channel> accepted(tcp::socket socket, const Secret& secret);
    static std::shared_ptr<Channel> dialled(tcp::socket socket, const Secret& secret, Role role,
                                            std::size_t largest);
    void start(Handlers handlers);

    // Role of the connecting side; known once up() is true.
    Role role() const { return role_; }
    bool up() const { return up_; }
    // Queues a frame; before up() it waits. False: dropped, because the channel is closed or the queue would
    // exceed `most_queued` bytes (the other side is slow or silent).
    bool send(FrameKind kind, std::string_view payload, std::size_t most_queued);
    void close();  // no handler is called afterwards, not even `closed`

private:
    Channel(tcp::socket socket, const Secret& secret, bool dialler, Role role, std::size_t largest);
    std::string code(bool from_dialler, FrameKind kind, std::string_view payload) const;
    void fail(const std::string& why);
    void read();
    bool take_hello();
    bool take_frames();
    void write();
    void guard();

    tcp::socket socket_;
    const Secret& secret_;
    const bool dialler_;
    Role role_;
    std::size_t largest_;
    std::shared_ptr<Handlers> handlers_;  // shared: close() may be called from within one of them
    asio::steady_timer timer_;
    std::string nonce_, theirs_, in_;
    std::vector<char> chunk_;
    std::deque<std::string> out_;  // the first one is being written
    std::size_t queued_ = 0;
    bool started_ = false, hello_ = false, proven_ = false, up_ = false, open_ = true, writing_ = false,
         hello_written_ = false;
    std::chrono::steady_clock::time_point heard_;
};

}  // namespace cobaltshift::lease
