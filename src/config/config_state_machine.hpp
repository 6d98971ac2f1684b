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
#include <unordered_map>

#include "config/parse.hpp"

namespace cobaltshift::config {

// Outcomes of changes that were taken, the newest so many; 24 bytes each in a snapshot. A change that comes
// again after this many later ones is refused as stale: it was taken once and is not taken twice.
constexpr std::size_t kRemembered = 16384;

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
    void remember(const Taken& taken);

    struct DigestHash {
        std::size_t operator()(const Digest& digest) const { return static_cast<std::size_t>(digest[0]); }
    };
    std::deque<Taken> taken_;                                          // the oldest first
    std::unordered_map<Digest, Edition, DigestHash> taken_by_digest_;  // the same
    struct Prepared {
        Digest digest{};
        Edition base = 0;
        std::shared_ptr<const Configuration> configuration;
    } prepared_;
};

}  // namespace cobaltshift::config
