// Client of the lease service: lease::Holder with its connections to the replicas and its timer. Code that
// acts on a task calls right() immediately before each action and passes the fencing token to the resource
// that it acts on. Entry type: LeaseClient. Not thread-safe: all calls are made on the thread that runs `io`.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "lease/holder.hpp"
#include "lease_io/line.hpp"
#include "lease_io/settings.hpp"

namespace cobaltshift::lease {

class LeaseClient {
public:
    // `name`: display name of this process. `poll`: interval of requests while waiting in a queue, ms; 0:
    // default. Throws plan::SecretError.
    LeaseClient(asio::io_context& io, const KeepersSettings& settings, const std::string& name,
                Millis poll = 0);
    ~LeaseClient();

    void want(const std::string& task, Millis length, bool wait);
    // See lease::Holder for this and want().
    void give_up(const std::string& task, const std::string& next = "");
    // The lease, if it may be acted upon now, by the clock of lease_io/clock.hpp.
    std::optional<Holder::Right> right(const std::string& task) const;
    Holder::State state(const std::string& task) const { return holder_.state(task); }
    const Response* last(const std::string& task) const { return holder_.last(task); }
    // See lease::Holder for these.
    bool leave_note(const std::string& task, const std::string& text);
    Holder::Note note_state(const std::string& task) const { return holder_.note_state(task); }
    std::string note(const std::string& task) const { return holder_.note(task); }
    // `told` is called after anything may have changed: a response arrived, a lease ended, a request timed
    // out. It runs from the event loop, never from within a call to this object.
    void on_change(std::function<void()> told) { told_ = std::move(told); }
    const Holder::Counts& counts() const { return holder_.counts(); }

private:
    void turn();

    asio::io_context& io_;
    const Secret secret_;
    Holder holder_;
    std::vector<std::unique_ptr<ReplicaConnection>> lines_;
    std::set<std::string> tasks_;
    asio::steady_timer timer_;
    std::function<void()> told_;
    bool posted_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cobaltshift::lease
