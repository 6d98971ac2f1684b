#include "config/config_state_machine.hpp"

#include "config/bounded.hpp"
#include "config/codec.hpp"

namespace cobaltshift::config {

namespace {
constexpr std::uint64_t kChange = 0x4353434801, kLedger = 0x43534c4701;
}

std::string encode(const Change& change) {
    Out out;
    out << kChange << static_cast<std::uint64_t>(change.kind) << change.if_match
        << std::string_view(change.body);
    return out.sealed();
}

std::optional<Change> decode_change(std::string_view bytes) {
    try {
        In in(bytes);
        Change change;
        if (in.number() != kChange) return {};
        const std::uint64_t kind = in.number();
        if (kind > 1) return {};
        change.kind = static_cast<Change::Kind>(kind);
        change.if_match = in.number();
        change.body = in.text();
        in.end();
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

// Leaves in prepared_ what is taken.
ChangeOutcome ConfigStateMachine::judge(const Change& change, const Digest& digest) {
    if (const auto taken = taken_by_digest_.find(digest); taken != taken_by_digest_.end())
        return {ChangeOutcome::Kind::already, taken->second, {}};
    if (change.if_match != edition()) return {ChangeOutcome::Kind::stale, edition(), {}};
    if (!prepared_.configuration || prepared_.digest != digest || prepared_.base != edition()) {
        Parsed parsed;
        if (change.kind == Change::Kind::put)
            parsed = read_whole(change.body, edition());
        else if (current_)
            parsed = patch(*current_, change.body);
        else
            parsed.complaints.emplace_back("body: there is nothing yet that could be altered");
        // What can't be handed on whole must not be taken: nobody could read it back.
        if (parsed.configuration && encode(*parsed.configuration).size() > kMostConfigurationBytes * 3 / 4) {
            parsed.configuration.reset();
            parsed.complaints.push_back("the whole configuration: is over " +
                                        std::to_string(kMostConfigurationBytes * 3 / 4) + " bytes");
        }
        if (!parsed.configuration)
            return {ChangeOutcome::Kind::invalid, edition(), std::move(parsed.complaints)};
        prepared_ = {digest, edition(), std::move(parsed.configuration)};
    }
    return {ChangeOutcome::Kind::taken, prepared_.configuration->edition, {}};
}

ChangeOutcome ConfigStateMachine::check(const Change& change) { return judge(change, digest(change)); }

ChangeOutcome ConfigStateMachine::apply(const Change& change) {
    const Digest own = digest(change);
    ChangeOutcome verdict = judge(change, own);
    if (verdict.kind != ChangeOutcome::Kind::taken) return verdict;
    current_ = std::move(prepared_.configuration);
    prepared_ = {};
    remember({current_->edition, own});
    return verdict;
}

void ConfigStateMachine::remember(const Taken& taken) {
    taken_.push_back(taken);
    taken_by_digest_[taken.digest] = taken.edition;
    if (taken_.size() <= kRemembered) return;
    taken_by_digest_.erase(taken_.front().digest);
    taken_.pop_front();
}

std::string ConfigStateMachine::save() const {
    Out out;
    out << kLedger << (current_ ? encode(*current_) : std::string()) << std::uint64_t{taken_.size()};
    for (const Taken& taken : taken_) out << taken.edition << taken.digest[0] << taken.digest[1];
    return out.sealed();
}

bool ConfigStateMachine::load(std::string_view bytes) {
    try {
        In in(bytes);
        if (in.number() != kLedger) return false;
        const std::string whole = in.text();
        std::shared_ptr<const Configuration> current;
        std::string why;
        if (!whole.empty() && !(current = decode(whole, nullptr, why))) return false;
        std::vector<Taken> taken;
        for (std::size_t n = in.count(); n > 0; --n) {
            Taken one;
            one.edition = in.number();
            one.digest[0] = in.number();
            one.digest[1] = in.number();
            taken.push_back(one);
        }
        in.end();
        if (taken.size() > kRemembered) return false;
        current_ = std::move(current);
        taken_.clear();
        taken_by_digest_.clear();
        for (const Taken& one : taken) remember(one);
        prepared_ = {};
        return true;
    } catch (const std::exception&) {
        return false;
    }
}

}  // namespace cobaltshift::config
