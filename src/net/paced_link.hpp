// Writes long answers to the sockets that share one machine's link, in the order and at the rate that
// SendScheduler determines. Entry type: PacedLink; one instance serves all listeners of a process on that
// link. Used by Listener. If the link's rate is not known, a Listener works without a PacedLink and writes
// every answer directly. Not thread-safe: runs on the io_context's thread.
#pragma once

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

#include "net/clock.hpp"
#include "net/http.hpp"
#include "net/send_scheduler.hpp"

namespace cobaltshift {

class PacedLink {
public:
    // `bytes_per_ms`: rate of the link, greater than 0.
    PacedLink(asio::io_context& io, const Clock& clock, double bytes_per_ms);
    ~PacedLink();
    PacedLink(const PacedLink&) = delete;
    PacedLink& operator=(const PacedLink&) = delete;

    // A message as it goes over the wire.
    struct Message {
        std::string head, body;
        std::size_t size() const { return head.size() + body.size(); }
        // The part of `bytes` bytes from `start` on.
        std::array<asio::const_buffer, 2> part(std::size_t start, std::size_t bytes) const;
    };

    bool is_long(std::size_t bytes) const { return scheduler_.is_long(bytes); }
    std::size_t long_answer_bytes() const { return scheduler_.long_answer_bytes(); }
    // Accounts for a short answer that the caller writes itself.
    void record_sent(std::size_t bytes) { scheduler_.record_sent(clock_.now(), bytes); }
    // Queues `message` for `socket`; the write becomes urgent at `urgent_at`. `done` is called once the
    // kernel has accepted all bytes, or with the error that ended the write; never after cancel(). `socket`
    // must live until then.
    using WriteId = SendScheduler::Id;
    WriteId write(tcp::socket& socket, Message message, Millis urgent_at,
                  std::function<void(error_code)> done);
    void cancel(WriteId id);
    // Ends pacing: hands everything queued now or later to the kernel at once. Called before the process
    // exits.
    void release();
    // Bytes of the write that the kernel has not accepted.
    std::size_t unsent_bytes(WriteId id) const;
    // When the piece being written was handed to the socket, which waits for its reader; none: the write is
    // queued for the link.
    std::optional<Millis> piece_pending_since(WriteId id) const;

    // Time from write() until the kernel had the whole answer, over the long answers completed since the last
    // take_wait_stats().
    struct WaitStats {
        std::uint64_t answers = 0;
        Millis longest = 0;
        std::size_t longest_bytes = 0;  // size of the answer that waited longest
    };
    WaitStats take_wait_stats() { return std::exchange(wait_stats_, {}); }

    // How long the link needs for everything sent and queued, in ms.
    Millis backlog() const { return scheduler_.backlog(clock_.now()); }
    double bytes_per_ms() const { return bytes_per_ms_; }

private:
    struct PendingWrite {
        tcp::socket* socket;
        std::shared_ptr<const Message> message;  // shared with the operation that writes a piece
        Millis queued_at = 0;
        std::optional<Millis> piece_started_at;  // while the kernel has not accepted the piece granted last
        std::size_t written_bytes = 0;
        std::function<void(error_code)> on_done;
    };
    void write_granted();
    void on_piece_written(WriteId id, error_code ec, std::size_t bytes);
    void record_wait(const PendingWrite& write);

    asio::io_context& io_;
    const Clock& clock_;
    const double bytes_per_ms_;
    SendScheduler scheduler_;
    std::unordered_map<WriteId, PendingWrite> writes_;
    WaitStats wait_stats_;
    asio::steady_timer timer_;
    Millis timer_due_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cobaltshift
