// Writes answers to sockets that share one machine's link, in the order and at the rate that SendScheduler
// says. Entry type: PacedLink, one for all that leaves a process over that link. Called by Listener. Not used
// where no rate is known: a Listener without one writes as it always did.
#pragma once

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
    // `bytes_per_ms` of the link, over 0.
    PacedLink(asio::io_context& io, const Clock& clock, double bytes_per_ms);
    ~PacedLink();
    PacedLink(const PacedLink&) = delete;
    PacedLink& operator=(const PacedLink&) = delete;

    bool is_long(std::size_t bytes) const { return scheduler_.is_long(bytes); }
    std::size_t long_from() const { return scheduler_.long_from(); }
    // A short answer is being written by its owner.
    void sent(std::size_t bytes) { scheduler_.sent(clock_.now(), bytes); }
    // Writes `bytes` by turns, urgent from `urgent_at` on; `done` once all is with the kernel, or with the
    // error that ended it, unless withdrawn before. `socket` must live until then.
    using Write = SendScheduler::Id;
    Write write(tcp::socket& socket, std::string bytes, Millis urgent_at,
                std::function<void(error_code)> done);
    void withdraw(Write write);
    // No more turns: what waits and what comes is handed to the kernel at once, before the process ends.
    void release();
    // Bytes of it that the kernel has not taken.
    std::size_t left(Write write) const;
    // Since when a piece of it waits for its reader; none: it waits for its turn.
    std::optional<Millis> unread_since(Write write) const;

    // What long answers waited from write() until the kernel had all of them, since this was asked last.
    struct Waits {
        std::uint64_t answers = 0;
        Millis longest = 0;
        std::size_t longest_bytes = 0;  // of the answer that waited longest
    };
    Waits take_waits() { return std::exchange(waits_, {}); }

    // How long the link is taken by what waits for it, in ms.
    Millis backlog() const { return scheduler_.backlog(clock_.now()); }
    double bytes_per_ms() const { return bytes_per_ms_; }

private:
    struct Writing {
        tcp::socket* socket;
        std::string bytes;
        Millis since = 0;
        std::optional<Millis> piece_since;  // while the kernel has not taken the piece granted last
        std::size_t done = 0;
        std::function<void(error_code)> finished;
    };
    void pump();
    void wrote(Write write, error_code ec, std::size_t bytes);
    void count(const Writing& finished);

    asio::io_context& io_;
    const Clock& clock_;
    const double bytes_per_ms_;
    SendScheduler scheduler_;
    std::unordered_map<Write, Writing> writing_;
    Waits waits_;
    asio::steady_timer timer_;
    Millis armed_for_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cobaltshift
