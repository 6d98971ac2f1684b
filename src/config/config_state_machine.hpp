// What the hubs agree on: the newest configuration, and which changes led there. Entry type:
// ConfigStateMachine, the replicated state machine. Called by control::Replica with the committed entries in
// their order; free of I/O. The same entries lead to the same state and verdicts on every machine.
//
// Invariants: a change takes effect only on top of the very edition that it names, so that of two on one
// edition one wins; a change that was taken, sent again, is answered as it was (the last kRemembered of
// them); nothing else alters the state.
#pragma once

#include <array>
#include <deque>

#include "config/parse.hpp"

namespace cobaltshift::config {

constexpr std::size_t kRemembered = 512;

struct Change {
    enum class Kind : std::uint8_t { put, patch };
    Kind kind = Kind::put;
    Edition if_match = 0;
    std::string body;
};
std::string encode(const Change& change);
std::optional<Change> decode_change(std::string_view bytes);

struct ChangeOutcome {
    enum class Kind : std::uint8_t { taken, already, stale, invalid };
    Kind kind = Kind::invalid;
    Edition edition = 0;  // taken, already: the change's; else the current one
    std::vector<std::string> complaints;
};

class ConfigStateMachine {
public:
    // What would come of it now; a later apply() of the same change finds its work done.
    ChangeOutcome check(const Change& change);
    ChangeOutcome apply(const Change& change);

    const std::shared_ptr<const Configuration>& current() const {
        return current_;
    }  // none: nothing has been put yet
    Edition edition() const { return current_ ? current_->edition : 0; }

    std::string save() const;
    // False: the bytes are no state machine's; this one is as it was.
    bool load(std::string_view bytes);

private:
    using Digest = std::array<std::uint64_t, 2>;
    static Digest digest(const Change& change);
    struct Taken {
        Edition edition = 0;
        Digest digest{};
    };
    ChangeOutcome judge(const Change& change, const Digest& digest);
    std::shared_ptr<const Configuration> current_;
    std::deque<Taken> taken_;
    struct Prepared {
        Digest digest{};
        Edition base = 0;
        std::shared_ptr<const Configuration> configuration;
    } prepared_;
};

}  // namespace cobaltshift::config
