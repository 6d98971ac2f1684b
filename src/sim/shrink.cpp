#include "sim/shrink.hpp"

#include <algorithm>
#include <cmath>
#include <exception>

namespace cobaltshift::sim {

namespace {

constexpr std::uint64_t kOtherSeeds = 12;

class Search {
public:
    Search(Case day, const std::function<bool(const Case&)>& breaks, std::size_t most)
        : best_(std::move(day)), breaks_(breaks), most_(most) {}

    Shrunk run() {
        for (bool smaller = true; smaller && plays_ < most_;) {
            smaller = faults();
            smaller = count("forwarders", 12, 1) || smaller;
            smaller = count("servers", 12, 1) || smaller;
            smaller = count("planners", 3, 0) || smaller;
            smaller = shorter() || smaller;
            smaller = lighter() || smaller;
        }
        return {best_, plays_};
    }

private:
    bool take(const Case& tried) {
        if (plays_ >= most_ || tried == best_) return false;
        ++plays_;
        bool broken = false;
        try {
            broken = breaks_(tried);
        } catch (const std::exception&) {  // a fault of something that is no longer there
        }
        if (broken) best_ = tried;
        return broken;
    }
    // ddmin: drop ever smaller parts.
    bool faults() {
        bool smaller = false;
        for (std::size_t part = std::max<std::size_t>(1, best_.faults.size() / 2);; part /= 2) {
            for (std::size_t at = 0; at < best_.faults.size();) {
                Case tried = best_;
                const auto from = tried.faults.begin() + static_cast<std::ptrdiff_t>(at);
                tried.faults.erase(
                    from, from + static_cast<std::ptrdiff_t>(std::min(part, tried.faults.size() - at)));
                if (take(tried))
                    smaller = true;
                else
                    at += part;
            }
            if (part <= 1) return smaller;
        }
    }
    static bool of(const std::string& what, const Fault& fault) {
        if (fault.target.empty()) return false;  // of the way between them
        const bool planners =
            fault.kind.starts_with("planner") || fault.kind == "lying" || fault.kind == "lag";
        const bool forwarders = fault.kind == "restart";
        return what == "planners" ? planners : what == "forwarders" ? forwarders : !planners && !forwarders;
    }
    // The least number for which it still breaks, by halves and then one by one. Faults of what goes, go too,
    // or meet one of those left.
    bool count(const std::string& what, std::size_t otherwise, std::size_t least) {
        bool smaller = false;
        for (std::size_t now = best_.count(what, otherwise); now > least;) {
            std::size_t next = std::max(least, now / 2);
            while (next < now) {
                Case without = best_;
                without.set[what] = static_cast<double>(next);
                Case moved = without;
                std::erase_if(without.faults,
                              [&](const Fault& f) { return of(what, f) && std::stoul(f.target) >= next; });
                for (Fault& f : moved.faults)
                    if (next > 0 && of(what, f)) f.target = std::to_string(std::stoul(f.target) % next);
                if (take(without) || take(moved) || otherwise_drawn(what, now, next, without, moved)) break;
                next = next + (now - next + 1) / 2;
            }
            if (next >= now) return smaller;
            now = next;
            smaller = true;
        }
        return smaller;
    }
    // What breaks by a chance that the smaller day does not have: with as many requests as before (load is a
    // share of what the servers can do), and with other seeds.
    bool otherwise_drawn(const std::string& what, std::size_t now, std::size_t next, Case without,
                         Case moved) {
        if (what == "servers") {
            const double load = best_.get("load", 0.5) * static_cast<double>(now) / static_cast<double>(next);
            without.set["load"] = moved.set["load"] = load;
            if (take(without) || take(moved)) return true;
            Case one_whole = without;  // that nothing befalls: the others may need it
            std::erase_if(one_whole.faults,
                          [&](const Fault& f) { return of(what, f) && std::stoul(f.target) + 1 >= next; });
            if (take(one_whole)) return true;
        }
        for (std::uint64_t seed = 1; seed <= kOtherSeeds; ++seed) {
            without.seed = moved.seed = seed;
            if (take(without) || (moved.faults != without.faults && take(moved))) return true;
        }
        return false;
    }
    bool shorter() {
        bool smaller = false;
        for (double part = 0.5; part < 0.95;) {
            Case tried = best_;
            tried.length = std::floor(tried.length * part);
            if (tried.length >= 100 && take(tried))
                smaller = true;
            else
                part += 0.2;
        }
        return smaller;
    }
    bool lighter() {
        bool smaller = false;
        for (double part = 0.5; part < 0.95;) {
            Case tried = best_;
            tried.set["load"] = tried.get("load", 0.5) * part;
            if (tried.set["load"] > 0.001 && take(tried))
                smaller = true;
            else
                part += 0.2;
        }
        return smaller;
    }

    Case best_;
    const std::function<bool(const Case&)>& breaks_;
    std::size_t most_, plays_ = 0;
};

}  // namespace

Shrunk shrink(const Case& day, const std::function<bool(const Case&)>& breaks, std::size_t most_plays) {
    return Search(day, breaks, most_plays).run();
}

}  // namespace cobaltshift::sim
