#include "sim/network.hpp"

#include <algorithm>

namespace cobaltshift::sim {

namespace {
constexpr Millis kRetransmit = 200;  // Linux's least time-out of TCP; doubles
}

Network::Network(Kernel& kernel, Link usual)
    : kernel_(kernel), lots_(kernel.stream("network")), usual_(usual) {}

Network::Endpoint Network::endpoint(const std::string& name) {
    const auto [at, fresh] = endpoints_.try_emplace(name, static_cast<Endpoint>(names_.size()));
    if (fresh) names_.push_back(name);
    return at->second;
}

std::uint64_t Network::impose(Match match, Link link) {
    rules_.push_front({next_rule_, std::move(match), link, {}});
    return next_rule_++;
}

void Network::lift(std::uint64_t rule) {
    rules_.remove_if([rule](const Rule& r) { return r.number == rule; });
}

const Link& Network::link(Endpoint from, Endpoint to) {
    for (Rule& rule : rules_) {
        const auto [at, fresh] = rule.known.try_emplace(key(from, to), false);
        if (fresh) at->second = rule.match(names_[from], names_[to]);
        if (at->second) return rule.link;
    }
    return usual_;
}

Millis Network::delay(const Link& link, Endpoint from, Endpoint to, std::size_t bytes) {
    Millis takes = link.delay.least + link.delay.spread * lots_.unit();
    if (link.delay.tail_chance > 0 && lots_.chance(link.delay.tail_chance))
        takes += link.delay.tail * lots_.unit();
    if (link.bytes_per_ms > 0) {
        Millis& busy = busy_[key(from, to)];
        busy = std::max(busy, kernel_.now()) + static_cast<double>(bytes) / link.bytes_per_ms;
        takes += busy - kernel_.now();
    }
    return takes;
}

void Network::send(Endpoint from, Endpoint to, std::string bytes, Arrive arrive) {
    const Link& way = link(from, to);
    ++counts_.sent;
    if (way.cut || (way.loss > 0 && lots_.chance(way.loss))) {
        ++counts_.lost;
        return;
    }
    if (way.bent > 0 && !bytes.empty() && lots_.chance(way.bent)) {
        ++counts_.bent;
        bytes[lots_.below(bytes.size())] ^= static_cast<char>(1 << lots_.below(8));
    }
    const Millis first = delay(way, from, to, bytes.size());
    if (way.doubled > 0 && lots_.chance(way.doubled)) {
        ++counts_.doubled;
        kernel_.after(first + delay(way, from, to, bytes.size()) + 700 * lots_.unit(),
                      [arrive, bytes] { arrive(bytes); });
    }
    kernel_.after(first, [arrive = std::move(arrive), bytes = std::move(bytes)] { arrive(bytes); });
}

void Network::pass(Endpoint from, Endpoint to, Task arrive, std::size_t bytes) {
    const Link& way = link(from, to);
    ++counts_.sent;
    if (way.cut) {
        ++counts_.lost;
        return;
    }
    Millis at = kernel_.now() + delay(way, from, to, bytes);
    Millis again = kRetransmit;
    for (int tries = 0; tries < 8 && way.loss > 0 && lots_.chance(way.loss); ++tries, again *= 2) at += again;
    Millis& last = last_[key(from, to)];
    last = at = std::max(at, last);
    kernel_.at(at, std::move(arrive));
}

}  // namespace cobaltshift::sim
