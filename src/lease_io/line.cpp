#include "lease_io/line.hpp"

namespace cobaltshift::lease {

namespace {
constexpr double kInitialBackoffMs = 20, kMaxBackoffMs = 1000;
constexpr std::chrono::milliseconds kConnectTimeout{3000};
}  // namespace

ReplicaConnection::ReplicaConnection(asio::io_context& io, tcp::endpoint to, const Secret& secret, Role role,
                                     std::size_t largest, std::size_t most_queued, std::uint64_t draw,
                                     Frame frame)
    : io_(io),
      to_(std::move(to)),
      secret_(secret),
      role_(role),
      largest_(largest),
      most_queued_(most_queued),
      random_(draw),
      frame_(std::move(frame)),
      timer_(io) {}

ReplicaConnection::~ReplicaConnection() {
    *alive_ = false;
    drop();
}

void ReplicaConnection::drop() {
    timer_.cancel();
    error_code ignored;
    if (dialling_) dialling_->close(ignored);
    dialling_.reset();
    if (channel_) channel_->close();
    channel_.reset();
    waiting_ = false;
    first_.clear();
}

void ReplicaConnection::send(FrameKind kind, std::string_view payload) {
    if (channel_) {
        if (!channel_->send(kind, payload, most_queued_)) ++counts_.lost;
        return;
    }
    // Only the newest frame is kept, as callers repeat older requests themselves.
    if (!first_.empty()) ++counts_.lost;
    first_kind_ = kind;
    first_ = payload;
    dial();
}

void ReplicaConnection::dial() {
    if (dialling_ || channel_ || waiting_) return;
    ++counts_.dialled;
    dialling_ = std::make_shared<tcp::socket>(io_);
    const auto socket = dialling_;
    timer_.expires_after(kConnectTimeout);
    timer_.async_wait([socket](error_code ec) {
        error_code ignored;
        if (!ec) socket->close(ignored);
    });
    socket->async_connect(to_, [this, socket, alive = alive_](error_code ec) {
        if (!*alive || dialling_ != socket) return;
        dialling_.reset();
        timer_.cancel();
        if (ec) return broken();
        channel_ = Channel::dialled(std::move(*socket), secret_, role_, largest_);
        if (!first_.empty()) channel_->send(first_kind_, first_, most_queued_);
        first_.clear();
        // Capturing `this` is safe: drop() closes the channel, after which no handler is called.
        channel_->start({[this] { pause_ = 0; }, frame_,
                         [this](const std::string&) {
                             channel_.reset();
                             broken();
                         }});
    });
}

void ReplicaConnection::broken() {
    ++counts_.broken;
    pause_ = std::min(kMaxBackoffMs, std::max(kInitialBackoffMs, 2 * pause_));
    waiting_ = true;
    timer_.expires_after(
        std::chrono::microseconds(static_cast<long>(1000 * pause_ * (0.5 + random_.unit() / 2))));
    timer_.async_wait([this, alive = alive_](error_code ec) {
        if (ec || !*alive) return;
        waiting_ = false;
        if (keep_ || !first_.empty()) dial();
    });
}

}  // namespace cobaltshift::lease
