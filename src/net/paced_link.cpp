#include "net/paced_link.hpp"

#include <algorithm>

namespace cobaltshift {

namespace {
// Ahead of the link by this much at most, in pieces of as much: what comes short waits no longer for its
// turn.
constexpr Millis kAhead = 16;
constexpr std::size_t kLeastPiece = 8 * 1024;

SendScheduler::Settings settings_for(double bytes_per_ms) {
    SendScheduler::Settings settings;
    settings.bytes_per_ms = bytes_per_ms;
    settings.ahead = kAhead;
    settings.piece = std::max(kLeastPiece, static_cast<std::size_t>(bytes_per_ms * kAhead));
    settings.long_from = settings.piece;
    return settings;
}
}  // namespace

PacedLink::PacedLink(asio::io_context& io, const Clock& clock, double bytes_per_ms)
    : io_(io),
      clock_(clock),
      bytes_per_ms_(bytes_per_ms),
      scheduler_(settings_for(bytes_per_ms)),
      timer_(io) {}

PacedLink::~PacedLink() { *alive_ = false; }

PacedLink::Write PacedLink::write(tcp::socket& socket, std::string bytes, Millis urgent_at,
                                  std::function<void(error_code)> done) {
    const Write write = scheduler_.add(bytes.size(), urgent_at);
    writing_[write] = {&socket, std::move(bytes), clock_.now(), {}, 0, std::move(done)};
    asio::post(io_, [this, alive = alive_] {
        if (*alive) pump();
    });
    return write;
}

void PacedLink::withdraw(Write write) {
    scheduler_.remove(write);
    writing_.erase(write);
}

void PacedLink::release() {
    scheduler_.release();
    pump();
}

std::size_t PacedLink::left(Write write) const {
    const auto at = writing_.find(write);
    return at == writing_.end() ? 0 : at->second.bytes.size() - at->second.done;
}

std::optional<Millis> PacedLink::unread_since(Write write) const {
    const auto at = writing_.find(write);
    return at == writing_.end() ? std::nullopt : at->second.piece_since;
}

void PacedLink::count(const Writing& finished) {
    const Millis waited = clock_.now() - finished.since;
    ++waits_.answers;
    if (waited <= waits_.longest) return;
    waits_.longest = waited;
    waits_.longest_bytes = finished.bytes.size();
}

void PacedLink::pump() {
    while (const auto grant = scheduler_.next(clock_.now())) {
        Writing& one = writing_.at(grant->id);
        one.piece_since = clock_.now();
        const auto piece = asio::buffer(one.bytes.data() + one.done, grant->bytes);
        // The bytes stay where they are until the operation ends, though the answer may be withdrawn before.
        auto keep = std::make_shared<std::string>(static_cast<const char*>(piece.data()), piece.size());
        const auto buffer = asio::buffer(*keep);
        asio::async_write(*one.socket, buffer,
                          [this, alive = alive_, id = grant->id, keep](error_code ec, std::size_t n) {
                              if (*alive) wrote(id, ec, n);
                          });
    }
    const auto due = scheduler_.due();
    if (!due || *due == armed_for_) return;
    armed_for_ = *due;
    timer_.expires_at(clock_.point(*due));
    timer_.async_wait([this, alive = alive_](error_code ec) {
        if (ec || !*alive) return;
        armed_for_ = 0;
        pump();
    });
}

void PacedLink::wrote(Write write, error_code ec, std::size_t bytes) {
    const auto at = writing_.find(write);
    if (at == writing_.end()) return;  // withdrawn
    at->second.done += bytes;
    at->second.piece_since.reset();
    if (ec) scheduler_.remove(write);
    if (ec || scheduler_.finished(write)) {
        if (!ec) count(at->second);
        const auto done = std::move(at->second.finished);
        writing_.erase(at);
        done(ec);
    }
    pump();
}

}  // namespace cobaltshift
