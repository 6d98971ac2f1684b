#include "sim_mesh/linearizability.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>

namespace cobaltshift::simmesh {

namespace {

using Answer = Operation::Answer;

// One state of the configuration: a change on top of another state. States form a tree; 0 is the empty one.
struct State {
    std::uint64_t change = 0, edition = 0;
    std::size_t parent = 0;
};

// One possible past: where it stands, and which of the open operations took effect in it.
struct Past {
    std::size_t state = 0;
    std::set<std::size_t> done;
    auto operator<=>(const Past&) const = default;
};

class Search {
public:
    Search(const std::vector<Operation>& history, std::size_t most) : history_(history), most_(most) {
        states_.push_back({});
        pasts_.insert(Past{});
    }

    Linearizability run() {
        struct Event {
            double at;
            bool is_return;
            std::size_t operation;
        };
        std::vector<Event> events;
        for (std::size_t i = 0; i < history_.size(); ++i) {
            events.push_back({history_[i].called, false, i});
            if (history_[i].answer != Answer::none) events.push_back({history_[i].returned, true, i});
        }
        // At one moment calls come first: what touches overlaps.
        std::sort(events.begin(), events.end(), [](const Event& a, const Event& b) {
            return std::tie(a.at, a.is_return, a.operation) < std::tie(b.at, b.is_return, b.operation);
        });
        for (const Event& event : events) {
            if (!event.is_return) {
                open_.insert(event.operation);
                continue;
            }
            explain(event.operation);
            result_.configurations = std::max(result_.configurations, pasts_.size());
            if (pasts_.empty()) {
                result_.holds = false;
                result_.why = describe(event.operation);
                return result_;
            }
            if (pasts_.size() > most_) {
                result_.complete = false;
                return result_;
            }
        }
        return result_;
    }

private:
    // Keeps the pasts in which `operation` took effect with the answer that it got, with any open changes
    // before it.
    void explain(std::size_t operation) {
        std::set<Past> explained, seen;
        std::vector<Past> work(pasts_.begin(), pasts_.end());
        while (!work.empty()) {
            Past past = std::move(work.back());
            work.pop_back();
            settle(past);
            if (!seen.insert(past).second) continue;
            if (seen.size() > 4 * most_) break;
            if (past.done.count(operation) > 0) {
                past.done.erase(operation);
                explained.insert(std::move(past));
                continue;
            }
            for (const std::size_t next : open_) {
                if (past.done.count(next) > 0) continue;
                if (auto after = apply(past, next)) work.push_back(std::move(*after));
            }
        }
        open_.erase(operation);
        pasts_ = std::move(explained);
        forget_impossible();
    }

    // What the present state explains takes effect in it at once: it alters nothing, so that it is never
    // better to wait.
    void settle(Past& past) {
        for (const std::size_t next : open_) {
            if (past.done.count(next) > 0) continue;
            const auto after = apply(past, next);
            if (after && after->state == past.state) past.done.insert(next);
        }
    }

    // Editions only rise: what builds on one that is past everywhere can't take effect any more.
    void forget_impossible() {
        std::uint64_t least = UINT64_MAX;
        for (const Past& past : pasts_) least = std::min(least, states_[past.state].edition);
        std::erase_if(open_, [&](std::size_t open) {
            const Operation& one = history_[open];
            return one.kind == Operation::Kind::change && one.answer == Answer::none && one.base < least;
        });
        // Nor has a reading without an answer any effect.
        std::erase_if(open_, [&](std::size_t open) {
            return history_[open].kind == Operation::Kind::read && history_[open].answer == Answer::none;
        });
    }

    std::optional<Past> apply(const Past& past, std::size_t operation) {
        const Operation& one = history_[operation];
        const State& now = states_[past.state];
        const auto unchanged = [&] {
            Past after = past;
            after.done.insert(operation);
            return after;
        };
        if (one.kind == Operation::Kind::read)
            return one.seen_change == now.change ? std::optional(unchanged()) : std::nullopt;
        switch (one.answer) {
            case Answer::invalid:
                return one.valid ? std::nullopt : std::optional(unchanged());
            case Answer::stale:
                if (now.edition == one.base || now.edition != one.seen_edition || was(past.state, one.change))
                    return {};
                return unchanged();
            case Answer::taken:
                if (was(past.state, one.change)) return unchanged();  // sent again
                break;
            default:
                break;
        }
        if (!one.valid || now.edition != one.base || was(past.state, one.change)) return {};
        Past after = unchanged();
        after.state = child(past.state, one);
        // It has no answer, and can't take effect twice: there is nothing to be kept of it.
        if (one.answer == Answer::none) after.done.erase(operation);
        return after;
    }

    bool was(std::size_t state, std::uint64_t change) const {
        for (; state != 0; state = states_[state].parent)
            if (states_[state].change == change) return true;
        return false;
    }
    std::size_t child(std::size_t parent, const Operation& one) {
        const auto [at, fresh] = children_.try_emplace({parent, one.change}, states_.size());
        if (fresh) states_.push_back({one.change, one.edition, parent});
        return at->second;
    }
    std::string describe(std::size_t operation) const {
        const Operation& one = history_[operation];
        static const char* const names[] = {"none", "taken", "stale", "invalid", "value"};
        std::string text =
            one.kind == Operation::Kind::read ? "a reading" : "change " + std::to_string(one.change);
        text += " of " + one.who + ", called at " + std::to_string(one.called) + ", answered '" +
                names[static_cast<std::size_t>(one.answer)] + "' at " + std::to_string(one.returned);
        if (one.answer == Answer::value) text += " with change " + std::to_string(one.seen_change);
        if (one.answer == Answer::stale) text += " with edition " + std::to_string(one.seen_edition);
        return text + ", fits no order of the calls";
    }

    const std::vector<Operation>& history_;
    const std::size_t most_;
    std::vector<State> states_;
    std::map<std::pair<std::size_t, std::uint64_t>, std::size_t> children_;
    std::set<std::size_t> open_;
    std::set<Past> pasts_;
    Linearizability result_;
};

}  // namespace

Linearizability check_linearizable(const std::vector<Operation>& history, std::size_t most_configurations) {
    return Search(history, most_configurations).run();
}

}  // namespace cobaltshift::simmesh
