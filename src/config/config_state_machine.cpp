#include "config/config_state_machine.hpp"

#include "config/binary_io.hpp"
#include "config/codec.hpp"

namespace cobaltshift::config {

namespace {
constexpr std::uint64_t kChangeFormat = 0x4353434801, kSnapshotFormat = 0x43534c4701;
}

std::string encode(const Change& change) {
    BinaryWriter out;
    out << kChangeFormat << static_cast<std::uint64_t>(change.kind) << change.if_match
        << std::string_view(change.body);
    return out.finish();
}

std::optional<Change> decode_change(std::string_view bytes) {
    try {
        BinaryReader in(bytes);
        Change change;
        if (in.number() != kChangeFormat) return {};
        const std::uint64_t kind = in.number();
        if (kind > 1) return {};
        change.kind = static_cast<Change::Kind>(kind);
        change.if_match = in.number();
        change.body = in.text();
        in.expect_end();
        return change;
    } catch (const std::exception&) {
        return {};
    }
}

ConfigStateMachine::Digest ConfigStateMachine::digest(const Change& change) {
    const XXH64_hash_t seed = XXH3_64bits_withSeed(&change.if_match, sizeof change.if_match,
                                                   static_cast<XXH64_hash_t>(change.kind) + 1);
    const XXH128_hash_t hash = XXH3_128bits_withSeed(change.body.data(), change.body.size(), seed);
    return {hash.low64, hash.high64};
}

// Leaves the configuration of a valid change in prepared_.
ChangeOutcome ConfigStateMachine::evaluate(const Change& change, const Digest& digest) {
    if (const auto known = applied_by_digest_.find(digest); known != applied_by_digest_.end())
        return {ChangeOutcome::Kind::duplicate, known->second, {}};
    if (change.if_match != edition()) return {ChangeOutcome::Kind::stale, edition(), {}};
    if (!prepared_.configuration || prepared_.digest != digest || prepared_.base != edition()) {
        Parsed parsed;
        if (change.kind == Change::Kind::put)
            parsed = parse_configuration(change.body, edition());
        else if (current_)
            parsed = patch(*current_, change.body);
        else
            parsed.complaints.emplace_back("body: there is nothing yet that could be altered");
        // Other nodes must be able to receive and decode the full configuration, so its size is bounded.
        if (parsed.configuration && encode(*parsed.configuration).size() > kMaxConfigurationBytes * 3 / 4) {
            parsed.configuration.reset();
            parsed.complaints.push_back("the whole configuration: is over " +
                                        std::to_string(kMaxConfigurationBytes * 3 / 4) + " bytes");
        }
        if (!parsed.configuration)
            return {ChangeOutcome::Kind::invalid, edition(), std::move(parsed.complaints)};
        prepared_ = {digest, edition(), std::move(parsed.configuration)};
    }
    return {ChangeOutcome::Kind::taken, prepared_.configuration->edition, {}};
}

ChangeOutcome ConfigStateMachine::check(const Change& change) { return evaluate(change, digest(change)); }

ChangeOutcome ConfigStateMachine::apply(const Change& change) {
    const Digest own_digest = digest(change);
    ChangeOutcome outcome = evaluate(change, own_digest);
    if (outcome.kind != ChangeOutcome::Kind::taken) return outcome;
    current_ = std::move(prepared_.configuration);
    prepared_ = {};
    remember({current_->edition, own_digest});
    return outcome;
}

void ConfigStateMachine::remember(const AppliedChange& change) {
    applied_.push_back(change);
    applied_by_digest_[change.digest] = change.edition;
    if (applied_.size() <= kMaxRememberedChanges) return;
    applied_by_digest_.erase(applied_.front().digest);
    applied_.pop_front();
}

std::string ConfigStateMachine::save() const {
    BinaryWriter out;
    out << kSnapshotFormat << (current_ ? encode(*current_) : std::string())
        << std::uint64_t{applied_.size()};
    for (const AppliedChange& change : applied_)
        out << change.edition << change.digest[0] << change.digest[1];
    return out.finish();
}

bool ConfigStateMachine::load(std::string_view bytes) {
    try {
        BinaryReader in(bytes);
        if (in.number() != kSnapshotFormat) return false;
        const std::string whole = in.text();
        std::shared_ptr<const Configuration> current;
        std::string why;
        if (!whole.empty() && !(current = decode(whole, nullptr, why))) return false;
        std::vector<AppliedChange> applied;
        for (std::size_t n = in.count(); n > 0; --n) {
            AppliedChange change;
            change.edition = in.number();
            change.digest[0] = in.number();
            change.digest[1] = in.number();
            applied.push_back(change);
        }
        in.expect_end();
        if (applied.size() > kMaxRememberedChanges) return false;
        current_ = std::move(current);
        applied_.clear();
        applied_by_digest_.clear();
        for (const AppliedChange& change : applied) remember(change);
        prepared_ = {};
        return true;
    } catch (const std::exception&) {
        return false;
    }
}

}  // namespace cobaltshift::config
