// The replicated state machine of the control nodes: the newest configuration, and the changes that led to
// it. Entry type: ConfigStateMachine. Called by control::Replica with the committed log entries in order.
// Free of I/O; deterministic: the same entries lead to the same state and outcomes on every node.
//
// Invariants:
// - A change takes effect only on top of the edition that it names, so of two changes to one edition one
//   wins.
// - An applied change that is submitted again gets its original outcome (for the last kMaxRememberedChanges).
// - Nothing else alters the state.
#pragma once

#include <array>
#include <deque>
#include <unordered_map>

#include "config/parse.hpp"

namespace cobaltshift::config {

// How many applied changes are remembered, at 24 bytes each in a snapshot. A change that is submitted again
// after this many later ones is refused as stale; it is never applied twice.
constexpr std::size_t kMaxRememberedChanges = 16384;

// A change requested by the operator.
struct Change {
    enum class Kind : std::uint8_t { put, patch };
    Kind kind = Kind::put;
    Edition if_match = 0;  // the edition that it builds on
    std::string body;
};
std::string encode(const Change& change);
// None if the bytes are not a valid change.
std::optional<Change> decode_change(std::string_view bytes);

struct ChangeOutcome {
    // taken: applied; duplicate: applied before; stale: not based on the current edition.
    enum class Kind : std::uint8_t { taken, duplicate, stale, invalid };
    Kind kind = Kind::invalid;
    Edition edition = 0;  // taken, duplicate: the edition of the change; else the current edition
    std::vector<std::string> complaints;  // invalid: what is wrong
};

class ConfigStateMachine {
public:
    // The outcome that apply() would have now. Keeps the parsed configuration for an apply() of the same
    // change.
    ChangeOutcome check(const Change& change);
    ChangeOutcome apply(const Change& change);

    // Null until the first change is applied.
    const std::shared_ptr<const Configuration>& current() const { return current_; }
    Edition edition() const { return current_ ? current_->edition : 0; }

    // A snapshot of the state.
    std::string save() const;
    // Restores a snapshot. Returns false and leaves the state unchanged if the bytes are not a valid one.
    bool load(std::string_view bytes);

private:
    using Digest = std::array<std::uint64_t, 2>;
    static Digest digest(const Change& change);
    struct AppliedChange {
        Edition edition = 0;
        Digest digest{};
    };
    ChangeOutcome evaluate(const Change& change, const Digest& digest);
    std::shared_ptr<const Configuration> current_;
    void remember(const AppliedChange& change);

    struct DigestHash {
        std::size_t operator()(const Digest& digest) const { return static_cast<std::size_t>(digest[0]); }
    };
    std::deque<AppliedChange> applied_;                                  // oldest first
    std::unordered_map<Digest, Edition, DigestHash> applied_by_digest_;  // index of applied_
    // The result of the last successful evaluate().
    struct Prepared {
        Digest digest{};
        Edition base = 0;
        std::shared_ptr<const Configuration> configuration;
    } prepared_;
};

}  // namespace cobaltshift::config
