#include "lease_io/channel.hpp"

#include <sodium.h>

#include "lease/types.hpp"
#include "raft/types.hpp"

namespace cobaltshift::lease {

namespace {

constexpr std::string_view kMagic = "CSL";
constexpr char kFormat = 1;
constexpr std::size_t kNonce = 16, kHello = 3 + 1 + 1 + kNonce, kCode = 64, kFrameHead = 4;

std::string random_nonce() {
    std::string bytes(kNonce, '\0');
    randombytes_buf(bytes.data(), bytes.size());
    return bytes;
}

}  // namespace

Channel::Channel(tcp::socket socket, const Secret& secret, bool dialler, Role role, std::size_t largest)
    : socket_(std::move(socket)),
      secret_(secret),
      dialler_(dialler),
      role_(role),
      largest_(largest),
      timer_(socket_.get_executor()),
      nonce_(random_nonce()),
      chunk_(16 * 1024),
      heard_(std::chrono::steady_clock::now()) {}

std::shared_ptr<Channel> Channel::accepted(tcp::socket socket, const Secret& secret) {
    return std::shared_ptr<Channel>(new Channel(std::move(socket), secret, false, Role::client, 0));
}
std::shared_ptr<Channel> Channel::dialled(tcp::socket socket, const Secret& secret, Role role,
                                          std::size_t largest) {
    return std::shared_ptr<Channel>(new Channel(std::move(socket), secret, true, role, largest));
}

void Channel::start(Handlers handlers) {
    handlers_ = std::make_shared<Handlers>(std::move(handlers));
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    std::string hello(kMagic);
    hello += kFormat;
    hello += static_cast<char>(role_);
    hello += nonce_;
    queued_ += hello.size();
    out_.push_front(std::move(hello));  // ahead of frames that were queued by send()
    proven_ = dialler_;
    started_ = true;
    write();
    read();
    guard();
}

std::string Channel::code(bool from_dialler, FrameKind kind, std::string_view payload) const {
    const std::string &dialler = dialler_ ? nonce_ : theirs_, &other = dialler_ ? theirs_ : nonce_;
    const char about[] = {from_dialler ? 'd' : 'a', static_cast<char>(kind), static_cast<char>(role_)};
    return secret_.code({dialler, other, {about, sizeof about}, payload});
}

bool Channel::send(FrameKind kind, std::string_view payload, std::size_t most_queued) {
    if (!open_ || queued_ + payload.size() > most_queued) return false;
    // The code depends on the other side's nonce, which may be unknown still, so write() adds it.
    std::string frame(1, static_cast<char>(kind));
    frame += payload;
    queued_ += frame.size();
    out_.push_back(std::move(frame));
    write();
    return true;
}

void Channel::write() {
    if (writing_ || !started_ || !open_ || out_.empty()) return;
    // The hello is written first and without a code; frames wait until the other side's hello has arrived.
    const bool hello = !hello_written_;
    std::string& bytes = out_.front();
    if (!hello) {
        if (!hello_) return;
        const auto kind = static_cast<FrameKind>(bytes[0]);
        const std::size_t before = bytes.size();
        bytes += code(dialler_, kind, std::string_view(bytes).substr(1));
        std::string head;
        for (int i = 0; i < 4; ++i) head.push_back(static_cast<char>(bytes.size() >> 8 * i));
        bytes.insert(0, head);
        queued_ += bytes.size() - before;
    }
    writing_ = true;
    asio::async_write(socket_, asio::buffer(bytes),
                      [self = shared_from_this(), hello](error_code ec, std::size_t) {
                          self->writing_ = false;
                          if (!self->open_) return;
                          if (ec) return self->fail("write: " + ec.message());
                          if (hello) self->hello_written_ = true;
                          self->queued_ -= self->out_.front().size();
                          self->out_.pop_front();
                          self->write();
                      });
}

void Channel::read() {
    socket_.async_read_some(asio::buffer(chunk_), [self = shared_from_this()](error_code ec, std::size_t n) {
        if (!self->open_) return;
        if (ec) return self->fail(ec == asio::error::eof ? "ended" : "read: " + ec.message());
        self->heard_ = std::chrono::steady_clock::now();
        self->in_.append(self->chunk_.data(), n);
        if (!self->hello_ && !self->take_hello()) return;
        if (self->hello_ && !self->take_frames()) return;
        if (self->open_) self->read();
    });
}

// False: the channel has been closed.
bool Channel::take_hello() {
    const auto handlers = handlers_;
    const std::size_t had = std::min(in_.size(), kMagic.size());
    if (std::string_view(in_).substr(0, had) != kMagic.substr(0, had))
        return fail("speaks something else"), false;
    if (in_.size() < kHello) return true;
    if (in_[3] != kFormat)
        return fail("speaks format " + std::to_string(static_cast<unsigned char>(in_[3]))), false;
    const char role = in_[4];
    if (!dialler_) {
        if (role != static_cast<char>(Role::keeper) && role != static_cast<char>(Role::client))
            return fail("names no role"), false;
        role_ = static_cast<Role>(role);
    }
    theirs_ = in_.substr(5, kNonce);
    in_.erase(0, kHello);
    hello_ = true;
    if (dialler_) {
        // The proof precedes all queued frames.
        out_.insert(out_.begin() + (hello_written_ ? 0 : 1),
                    std::string(1, static_cast<char>(FrameKind::proof)));
        ++queued_;
        up_ = true;
    }
    write();
    if (dialler_ && handlers->up) handlers->up();
    return open_;
}

bool Channel::take_frames() {
    const auto handlers = handlers_;
    std::size_t at = 0;
    const std::size_t code_size = secret_.given() ? kCode : 0;
    while (open_ && in_.size() - at >= kFrameHead) {
        std::size_t length = 0;
        for (int i = 0; i < 4; ++i)
            length |=
                static_cast<std::size_t>(static_cast<unsigned char>(in_[at + static_cast<std::size_t>(i)]))
                << 8 * i;
        const std::size_t most = 1 + code_size + (proven_ ? largest_ : 0);
        if (length < 1 + code_size || length > most)
            return fail("sends a frame of " + std::to_string(length) + " bytes"), false;
        if (in_.size() - at < kFrameHead + length) break;
        const std::string_view frame(in_.data() + at + kFrameHead, length);
        const auto kind = static_cast<FrameKind>(frame[0]);
        const std::string_view payload = frame.substr(1, length - 1 - code_size);
        const std::string right = code(!dialler_, kind, payload);
        const std::string_view given = frame.substr(length - code_size);
        if (right.size() != given.size() || sodium_memcmp(right.data(), given.data(), right.size()) != 0)
            return fail("sends a frame with a wrong code"), false;
        at += kFrameHead + length;
        if (!proven_) {
            if (kind != FrameKind::proof) return fail("sends no proof"), false;
            proven_ = up_ = true;
            largest_ = role_ == Role::keeper ? raft::kMaxMessageBytes : kMaxQuestionBytes + 256;
            if (handlers->up) handlers->up();
            continue;
        }
        if (kind == FrameKind::ping)
            send(FrameKind::pong, payload, 64 * 1024);
        else if (kind != FrameKind::pong && kind != FrameKind::proof)
            handlers->frame(kind, payload);
    }
    if (open_) in_.erase(0, at);
    if (in_.empty() && in_.capacity() > 1024 * 1024)
        std::string().swap(in_);  // free the buffer of a rare large frame
    return open_;
}

void Channel::guard() {
    timer_.expires_after(up_ ? kPingEvery : kProofWithin);
    timer_.async_wait([self = shared_from_this()](error_code ec) {
        if (ec || !self->open_) return;
        if (!self->up_) return self->fail("no hello or proof in time");
        if (std::chrono::steady_clock::now() - self->heard_ > kSilence) return self->fail("is silent");
        if (self->dialler_) self->send(FrameKind::ping, {}, 64 * 1024);
        self->guard();
    });
}

void Channel::fail(const std::string& why) {
    if (!open_) return;
    const auto self = shared_from_this();
    const auto handlers = handlers_;
    close();
    if (handlers && handlers->closed) handlers->closed(why);
}

void Channel::close() {
    open_ = up_ = false;
    handlers_.reset();
    timer_.cancel();
    error_code ignored;
    socket_.close(ignored);
}

}  // namespace cobaltshift::lease
