// The rights of this process, asked of keepers over sockets: lease::Holder with its lines and its timer.
// Whoever is to act asks right() just before, and passes the fence on to what it acts upon. Entry type:
// Rights.
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

class Rights {
public:
    // `name`: of this process, for people. `poll`: who waits in a queue asks again so often; 0: as usual.
    // Throws plan::SecretError.
    Rights(asio::io_context& io, const KeepersSettings& settings, const std::string& name, Millis poll = 0);
    ~Rights();

    void want(const std::string& task, Millis length, bool wait);
    // Not acted upon from now on. `next`: the name of who waits and is to have it.
    void give_up(const std::string& task, const std::string& next = "");
    // Now, by this machine's own clock (own_clock()).
    std::optional<Holder::Right> right(const std::string& task) const;
    Holder::State state(const std::string& task) const { return holder_.state(task); }
    const Answer* last(const std::string& task) const { return holder_.last(task); }
    // As lease::Holder has them.
    bool leave_note(const std::string& task, const std::string& text);
    Holder::Note note_state(const std::string& task) const { return holder_.note_state(task); }
    std::string note(const std::string& task) const { return holder_.note(task); }
    // Called after anything may have changed: an answer came, a right ended, a question went unanswered.
    void on_turn(std::function<void()> told) { told_ = std::move(told); }
    const Holder::Counts& counts() const { return holder_.counts(); }

private:
    void turn();

    asio::io_context& io_;
    const Secret secret_;
    Holder holder_;
    std::vector<std::unique_ptr<Line>> lines_;
    std::set<std::string> tasks_;
    asio::steady_timer timer_;
    std::function<void()> told_;
    bool posted_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cobaltshift::lease
