// Account of the memory that a process holds for its clients and peers: heads, bodies and answers, input not
// yet handled, and the connections themselves. One account serves all listeners and connection pools of a
// process, so that its limit bounds their sum. Entry type: MemoryAccount. Used by Listener and Upstream.
//
// Each owner keeps a Charge up to date. A charge is never refused, as the bytes are already there; if the
// account is over its limit, holders release the charges with the highest costs in the next turn of the event
// loop, until it is not. A charge's cost is its bytes times its age: clients that send or read slowly are
// released before those that hold much for a moment.
//
// Long answers are granted their bytes before they are read: one that has no room waits in line, and stays
// with its sender meanwhile. The one with the earliest deadline is first. While it waits, the costliest of
// the charges whose clients have been slow for a while are released for it, and those of long requests that
// have yet to arrive whole: they have not run, and new ones would fill each room before an answer gets it.
//
// Not thread-safe: runs on the io_context's thread. Holders must not outlive their account; charges may, as
// handlers that never ran are destroyed with the io_context.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "net/clock.hpp"
#include "net/http.hpp"

namespace cobaltshift {

class MemoryAccount {
public:
    // Which charges may be released: those of at least this age, and others if they are named.
    struct Eligible {
        Millis min_age = 0;
        bool long_requests = false;  // that have yet to arrive whole, whatever their age
    };

    // A party whose charges can be released.
    class Holder {
    public:
        virtual ~Holder() = default;
        // The highest cost among the eligible charges that this holder can release, in bytes times
        // milliseconds; none if there are none.
        virtual std::optional<double> highest_cost(Millis now, const Eligible& eligible) const = 0;
        // Releases the charge with that cost.
        virtual void release_costliest(Millis now, const Eligible& eligible) = 0;
    };

    class Charge;

    // `limit`: bytes.
    MemoryAccount(asio::io_context& io, const Clock& clock, std::size_t limit);
    ~MemoryAccount() { sum_->account = nullptr; }
    MemoryAccount(const MemoryAccount&) = delete;
    MemoryAccount& operator=(const MemoryAccount&) = delete;

    void add(Holder& holder) { holders_.push_back(&holder); }
    void remove(const Holder& holder) { std::erase(holders_, &holder); }
    // Whether so many bytes more would keep within the limit.
    bool has_room(std::size_t bytes) const { return sum_->held + bytes <= limit_; }

    // A place in the line of those that wait for room.
    struct Place {
        Millis until = 0;  // deadline
        std::uint64_t number = 0;
        auto operator<=>(const Place&) const = default;
    };
    // Whether so many bytes can be granted beside what is held, if nobody else waits for them. A part of the
    // limit is left to what is charged without asking.
    bool has_room_to_grant(std::size_t bytes) const { return sum_->held + bytes <= grantable(); }
    // Whether so many bytes may be charged now, before those that wait in line.
    bool may_take(std::size_t bytes) const { return line_.empty() && has_room_to_grant(bytes); }
    // Whether so many bytes can be granted at all.
    bool can_ever_take(std::size_t bytes) const { return bytes <= grantable(); }
    // Calls `on_room` from the event loop once so many bytes may be charged, which it does at once.
    Place wait_for_room(std::size_t bytes, Millis until, std::function<void()> on_room);
    void leave_line(const Place& place) { line_.erase(place); }
    std::size_t waiting() const { return line_.size(); }

    std::size_t limit() const { return limit_; }
    std::size_t held() const { return sum_->held; }
    std::uint64_t released() const { return released_; }  // charges that were released, since the start

private:
    // Shared with the charges.
    struct Sum {
        std::size_t held = 0;
        std::size_t freed = 0;   // since free blocks were returned to the system
        MemoryAccount* account;  // null: it is gone
    };
    struct Waiting {
        std::size_t bytes;
        std::function<void()> on_room;
    };
    void on_increase() {
        if (sum_->held > limit_ && !release_scheduled_) schedule_release();
        if (sum_->held > limit_ / kFullPart && sum_->freed > limit_ / kFreedPart) return_free_blocks();
    }
    void on_decrease() {
        if (!line_.empty() && !line_scheduled_) schedule_line();
    }
    // What was freed below blocks in use stays resident, and larger blocks can't take its place: free blocks
    // are returned to the system once so large a part of the limit was freed and the account is so full.
    static constexpr std::size_t kFreedPart = 8, kFullPart = 2;
    void return_free_blocks();
    std::size_t grantable() const;
    void schedule_release();
    void release();
    bool release_one(const Eligible& eligible);
    void schedule_line();
    void advance_line();
    void start_line_timer();

    asio::io_context& io_;
    const Clock& clock_;
    const std::size_t limit_;
    const std::shared_ptr<Sum> sum_;
    std::uint64_t released_ = 0;
    bool release_scheduled_ = false;
    bool line_scheduled_ = false;
    std::vector<Holder*> holders_;
    std::map<Place, Waiting> line_;
    std::uint64_t next_place_ = 1;
    asio::steady_timer line_timer_;
};

// Bytes held by one owner, until they are set anew or the owner goes. Without an account: not counted.
class MemoryAccount::Charge {
public:
    explicit Charge(MemoryAccount* account = nullptr) : sum_(account ? account->sum_ : nullptr) {}
    Charge(Charge&& other) noexcept : sum_(std::move(other.sum_)), bytes_(std::exchange(other.bytes_, 0)) {}
    Charge& operator=(Charge&&) = delete;
    ~Charge() { set(0); }

    void set(std::size_t bytes) {
        const std::size_t before = std::exchange(bytes_, bytes);
        if (!sum_) return;
        sum_->held += bytes - before;
        if (bytes < before) sum_->freed += before - bytes;
        if (bytes > before && sum_->account) sum_->account->on_increase();
        if (bytes < before && sum_->account) sum_->account->on_decrease();
    }
    std::size_t bytes() const { return bytes_; }

private:
    std::shared_ptr<Sum> sum_;
    std::size_t bytes_ = 0;
};

// The share of a process's memory that its account may hold. The rest is for the program itself, for what the
// allocator can't reuse, and for a buffer that is copied while it grows.
std::size_t memory_for_clients(std::size_t memory_mb);

// How many connections may wait to be accepted, at all listeners of a process together: an eighth of its
// memory for what the kernel may have received for them.
std::size_t backlog_for(std::size_t memory_mb);

// Makes the allocator return large blocks to the system as soon as they are freed. Without it, freed bodies
// and answers stay resident below blocks that are still in use. Called once, before any other thread starts.
void return_freed_memory();

}  // namespace cobaltshift
