#include "sim_mesh/request_day.hpp"

#include <algorithm>
#include <cstdio>

#include "random.hpp"

namespace cobaltshift::simmesh {

namespace {

constexpr double kTroubleFrom = 6, kTroubleTo = 20, kTrafficFrom = 3, kTrafficTo = 26;  // s
constexpr std::size_t kLeastProxies = 4, kMoreProxies = 5, kHubs = 3, kServices = 2;
constexpr double kMostRequests = 140, kMostLoad = 0.4;  // a second; of what all servers can do
constexpr std::size_t kLeastTroubles = 3, kMoreTroubles = 7;

class Draw {
public:
    explicit Draw(std::uint64_t seed) : random_(seed) {}
    double between(double from, double to) { return from + (to - from) * random_.unit(); }
    std::size_t below(std::size_t count) {
        return static_cast<std::size_t>(random_.unit() * static_cast<double>(count));
    }
    const char* one_of(std::initializer_list<const char*> words) {
        return words.begin()[below(words.size())];
    }

private:
    kelplb::Random random_;
};

std::string number(double value) {
    char text[32];
    std::snprintf(text, sizeof text, "%.2f", value);
    return text;
}

std::string option(const char* name, double value) { return std::string(" ") + name + "=" + number(value); }

class Troubles {
public:
    // `moves`: servers whose addresses may go to the other service; each keeps one of its own.
    Troubles(Draw& draw, std::size_t proxies, std::size_t moves)
        : draw_(draw), proxies_(proxies), moves_(moves) {}

    std::string line() {
        std::string text = "at " + number(draw_.between(kTroubleFrom, kTroubleTo)) + " " + one();
        // Several at once, often at the same machine: a fault that only two together bring about.
        while (draw_.below(3) == 0) text += "; " + one();
        return text;
    }

private:
    std::string proxy() {
        if (draw_.below(3) > 0) last_ = draw_.below(proxies_);  // else the same as before
        return "proxy " + std::to_string(last_);
    }
    std::string one() {
        switch (draw_.below(8)) {
            case 0:
            case 1:
            case 2:
                return answers();
            case 3:
                return connections();
            case 4:
                return machines();
            case 5:
                return servers();
            case 6:
                return many();
            default:
                return operators();
        }
    }
    std::string answers() {
        const char* how =
            draw_.one_of({"reset", "silence", "half", "extra", "extra", "twice", "idle", "fails", "refuses"});
        // Not of a service: its last server may have gone to the other.
        const std::string whom = draw_.below(4) == 0 ? draw_.one_of({"half", "proxies"}) : proxy();
        return "lose " + whom + " " + how + option("share", draw_.between(0.1, 0.9)) +
               option("for", draw_.between(1, 8));
    }
    std::string connections() {
        if (draw_.below(2) == 0) return "reset " + proxy() + option("share", draw_.between(0.2, 1));
        return "cut " + proxy() + option("for", draw_.between(0.3, 5)) +
               " from=" + draw_.one_of({"proxies", "all", "hubs"}) +
               draw_.one_of({"", " one_way=in", " one_way=out"});
    }
    std::string machines() {
        return std::string(draw_.one_of({"kill", "freeze", "freeze", "power", "sigterm"})) + " " + proxy() +
               option("for", draw_.between(0.2, 4));
    }
    std::string servers() {
        if (draw_.below(3) == 0) return "crash " + proxy() + option("for", draw_.between(0.5, 4));
        std::string text = "close " + proxy() + option("for", draw_.between(1, 4));
        if (moves_ > 0 && draw_.below(3) == 0) {
            --moves_;
            text += " service=" + std::to_string(draw_.below(kServices));
        }
        return text;
    }
    std::string many() {
        switch (draw_.below(3)) {
            case 0:
                return "kill half" + option("for", draw_.between(0.2, 2));
            case 1:
                return "reset proxies" + option("share", draw_.between(0.2, 1));
            default:
                return "loss " + number(draw_.between(0.05, 0.6)) + option("for", draw_.between(1, 6));
        }
    }
    std::string operators() { return draw_.one_of({"put", "put swap", "patch", "put routes=50"}); }

    Draw& draw_;
    const std::size_t proxies_;
    std::size_t moves_;
    std::size_t last_ = 0;
};

// Machines get their services zone by zone, as World has it.
std::size_t servers_of_smaller_service(std::size_t proxies, std::size_t zones) {
    std::size_t of[kServices] = {};
    for (std::size_t i = 0; i < proxies; ++i) ++of[i / zones % kServices];
    return std::max<std::size_t>(1, *std::min_element(std::begin(of), std::end(of)));
}

std::string rule_broken(const Played& played) {
    return played.findings.empty() ? "" : played.findings.front().rule;
}

}  // namespace

RequestDay drawn_request_day(std::uint64_t seed) {
    Draw draw(seed * 0x9E3779B97F4A7C15ULL + 1);
    RequestDay day;
    day.seed = seed;
    const std::size_t proxies = kLeastProxies + draw.below(kMoreProxies + 1);
    const std::size_t zones = 1 + draw.below(3);
    const std::size_t capacity = 2 + draw.below(7);
    const double work_ms = draw.between(10, 90);
    // Within what the fleet can do: half of it may be with one service, or away.
    const double most_a_second = static_cast<double>(proxies * capacity) * 1000 / work_ms;
    const double rate = std::min(kMostRequests, most_a_second * draw.between(0.1, kMostLoad));
    const double registered = draw.between(0.3, 0.9);
    day.fixed.push_back("fleet proxies=" + std::to_string(proxies) + " hubs=" + std::to_string(kHubs) +
                        " zones=" + std::to_string(zones) + " services=" + std::to_string(kServices) +
                        " capacity=" + std::to_string(capacity) + option("work", work_ms) +
                        " slack=20 seed=" + std::to_string(1 + seed % 1'000'000'000));
    day.fixed.push_back("traffic" + option("plain", rate * (1 - registered)) +
                        option("registered", rate * registered) + option("from", kTrafficFrom) +
                        option("to", kTrafficTo) + option("leave", draw.below(2) == 0 ? 0 : 0.2));
    day.fixed.emplace_back("at 1 put");
    day.fixed.emplace_back("must rules");
    Troubles troubles(draw, proxies, servers_of_smaller_service(proxies, zones) - 1);
    const std::size_t count = kLeastTroubles + draw.below(kMoreTroubles + 1);
    for (std::size_t i = 0; i < count; ++i) day.troubles.push_back(troubles.line());
    return day;
}

std::string text_of(const RequestDay& day) {
    std::string text;
    for (const auto* lines : {&day.fixed, &day.troubles})
        for (const std::string& line : *lines) text += line + "\n";
    return text;
}

Played play_request_day(const RequestDay& day, const Safeguards& safeguards) {
    return play(read_scenario("request day " + std::to_string(day.seed), text_of(day)), safeguards);
}

RequestDay shrunk(const RequestDay& day, const Safeguards& safeguards) {
    RequestDay best = day;
    const std::string rule = rule_broken(play_request_day(day, safeguards));
    for (std::size_t i = best.troubles.size(); i-- > 0;) {
        RequestDay fewer = best;
        fewer.troubles.erase(fewer.troubles.begin() + static_cast<std::ptrdiff_t>(i));
        if (rule_broken(play_request_day(fewer, safeguards)) == rule) best = fewer;
    }
    return best;
}

}  // namespace cobaltshift::simmesh
