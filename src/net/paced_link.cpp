#include "net/paced_link.hpp"

#include <algorithm>

namespace cobaltshift {

namespace {
// The most link time handed to the kernel in advance, and the link time of one piece. A short answer waits at
// most this long behind a piece.
constexpr Millis kMaxLeadMs = 16;
constexpr std::size_t kMinPieceBytes = 8 * 1024;

SendScheduler::Settings settings_for(double bytes_per_ms) {
    SendScheduler::Settings settings;
    settings.bytes_per_ms = bytes_per_ms;
    settings.max_lead = kMaxLeadMs;
    settings.piece_bytes = std::max(kMinPieceBytes, static_cast<std::size_t>(bytes_per_ms * kMaxLeadMs));
    settings.long_answer_bytes = settings.piece_bytes;
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

std::array<asio::const_buffer, 2> PacedLink::Message::part(std::size_t start, std::size_t bytes) const {
    const asio::const_buffer in_head = asio::buffer(asio::buffer(head) + start, bytes);
    const std::size_t body_start = start > head.size() ? start - head.size() : 0;
    return {in_head, asio::buffer(asio::buffer(body) + body_start, bytes - in_head.size())};
}

PacedLink::WriteId PacedLink::write(tcp::socket& socket, Message message, Millis urgent_at,
                                    std::function<void(error_code)> done) {
    const WriteId id = scheduler_.add(message.size(), urgent_at);
    auto shared = std::make_shared<const Message>(std::move(message));
    writes_[id] = {&socket, std::move(shared), clock_.now(), {}, 0, std::move(done)};
    asio::post(io_, [this, alive = alive_] {
        if (*alive) write_granted();
    });
    return id;
}

void PacedLink::cancel(WriteId id) {
    scheduler_.remove(id);
    writes_.erase(id);
}

void PacedLink::release() {
    scheduler_.release();
    write_granted();
}

std::size_t PacedLink::unsent_bytes(WriteId id) const {
    const auto at = writes_.find(id);
    return at == writes_.end() ? 0 : at->second.message->size() - at->second.written_bytes;
}

std::optional<Millis> PacedLink::piece_pending_since(WriteId id) const {
    const auto at = writes_.find(id);
    return at == writes_.end() ? std::nullopt : at->second.piece_started_at;
}

void PacedLink::record_wait(const PendingWrite& write) {
    const Millis waited = clock_.now() - write.queued_at;
    ++wait_stats_.answers;
    if (waited <= wait_stats_.longest) return;
    wait_stats_.longest = waited;
    wait_stats_.longest_bytes = write.message->size();
}

void PacedLink::write_granted() {
    while (const auto grant = scheduler_.next(clock_.now())) {
        PendingWrite& write = writes_.at(grant->id);
        write.piece_started_at = clock_.now();
        // The operation shares the message: the write may be cancelled before the operation completes.
        asio::async_write(
            *write.socket, write.message->part(write.written_bytes, grant->bytes),
            [this, alive = alive_, id = grant->id, message = write.message](error_code ec, std::size_t n) {
                if (*alive) on_piece_written(id, ec, n);
            });
    }
    const auto due = scheduler_.due();
    if (!due || *due == timer_due_) return;
    timer_due_ = *due;
    timer_.expires_at(clock_.point(*due));
    timer_.async_wait([this, alive = alive_](error_code ec) {
        if (ec || !*alive) return;
        timer_due_ = 0;
        write_granted();
    });
}

void PacedLink::on_piece_written(WriteId id, error_code ec, std::size_t bytes) {
    const auto at = writes_.find(id);
    if (at == writes_.end()) return;  // cancelled meanwhile
    at->second.written_bytes += bytes;
    at->second.piece_started_at.reset();
    if (ec) scheduler_.remove(id);
    if (ec || scheduler_.on_piece_written(id)) {
        if (!ec) record_wait(at->second);
        const auto done = std::move(at->second.on_done);
        writes_.erase(at);
        done(ec);
    }
    write_granted();
}

}  // namespace cobaltshift
