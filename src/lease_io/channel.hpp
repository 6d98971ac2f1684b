// One TCP connection between keepers, or of a client with a keeper: frames of bounded size, each with a code
// over it where there is a secret. Entry type of the wire: Channel; Line (line.hpp) keeps one dialled.
//
//   hello   both, at once: "CSL", format, role of the dialler, 16 drawn bytes
//   frame   length of the rest (4 bytes, little-endian), kind, payload, code (64 hex digits, with a secret)
//
// The code (HMAC-SHA-256) covers both sides' drawn bytes, the direction, kind and payload: what was recorded
// on one connection is worth nothing on another. Within one connection frames may be lost, doubled or
// overtaken by whoever stands between, as on a datagram's way: what is said on top of it bears that
// (docs/design/agree.md). The dialler's first frame is `proof`: until it has come and is right, no larger
// frame is taken and nothing is handed on. The dialler asks for a sign of life each second; who hears nothing
// for kSilence closes.
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
    ping,       // empty, or what is to be sent back
    pong,
    message,   // raft::encode(Message); between keepers only
    question,  // lease::encode(Question)
    answer,    // lease::encode(Answer)
    order,     // an operator's, JSON; answered by `report`
    report,    // JSON
};

enum class Role : std::uint8_t { keeper = 1, client = 2 };

class Channel : public std::enable_shared_from_this<Channel> {
public:
    static constexpr std::chrono::milliseconds kProofWithin{5000}, kPingEvery{1000}, kSilence{5000};

    struct Handlers {
        std::function<void()> up;  // hello and, if dialled to us, proof are right
        std::function<void(FrameKind, std::string_view)> frame;
        std::function<void(const std::string& why)> closed;  // once, never from within send()
    };
    // Both: call start() after the handlers are set. `largest`: payload taken from the other side.
    static std::shared_ptr<Channel> accepted(tcp::socket socket, const Secret& secret);
    static std::shared_ptr<Channel> dialled(tcp::socket socket, const Secret& secret, Role role,
                                            std::size_t largest);
    void start(Handlers handlers);

    // Of the dialler; known once up.
    Role role() const { return role_; }
    bool up() const { return up_; }
    // May be called before up(): it waits. False: not taken, as more than `most_queued` bytes wait (the other
    // side is slow or silent) or it is closed.
    bool send(FrameKind kind, std::string_view payload, std::size_t most_queued);
    void close();  // handlers are called no more, `closed` neither

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
    std::deque<std::string> out_;  // the first is being written
    std::size_t queued_ = 0;
    bool started_ = false, hello_ = false, proven_ = false, up_ = false, open_ = true, writing_ = false,
         hello_written_ = false;
    std::chrono::steady_clock::time_point heard_;
};

}  // namespace cobaltshift::lease
