#include "fleet_view.hpp"

#include <algorithm>

namespace kelplb {

namespace {
constexpr Millis kFresh = 600;  // by then most of what was out has ended
constexpr std::size_t kMostPeers = 1024;
}  // namespace

std::vector<std::uint8_t> FleetView::say(Millis now, const Shares& shares, std::vector<Out> out) {
    std::vector<std::uint8_t> bytes{kTag};
    for (std::uint32_t t = 0; t < shares.tenants() && bytes.size() < kLongest / 2; ++t)
        bytes.push_back(Shares::pack(shares.rate(now, t)));
    std::sort(out.begin(), out.end(), [](const Out& a, const Out& b) {
        return a.out != b.out ? a.out > b.out : a.server < b.server;
    });
    const auto put = [&](std::uint16_t id, int number) {
        if (number <= 0 || bytes.size() + 3 > kLongest) return;
        bytes.push_back(static_cast<std::uint8_t>(id >> 8));
        bytes.push_back(static_cast<std::uint8_t>(id));
        bytes.push_back(static_cast<std::uint8_t>(std::min(number, 255)));
    };
    std::size_t each = 0, pairs = 0;  // bytes, by either form
    for (const Out& o : out) {
        each += 2 * static_cast<std::size_t>(o.out + o.failed);
        pairs += 3 * static_cast<std::size_t>((o.out > 0) + (o.failed > 0));
    }
    if (each >= pairs || bytes.size() + each > kLongest) {
        for (const Out& o : out) put(brief(o.server), o.out), put(turned(o.server), o.failed);
        return bytes;
    }
    bytes[0] = kTagEach;
    for (const Out& o : out)
        for (int n = 0; n < o.out + o.failed; ++n) {
            const std::uint16_t id = n < o.out ? brief(o.server) : turned(o.server);
            bytes.push_back(static_cast<std::uint8_t>(id >> 8));
            bytes.push_back(static_cast<std::uint8_t>(id));
        }
    return bytes;
}

bool FleetView::hear(Millis now, std::uint32_t from, const std::vector<std::uint8_t>& bytes, Shares& shares) {
    const std::size_t rates = std::min(shares.tenants(), kLongest / 2 - 1), head = 1 + rates;
    if (bytes.size() < head || bytes.size() > kLongest) return false;
    const std::size_t entry = bytes[0] == kTagEach ? 2 : 3;
    if ((bytes[0] != kTag && bytes[0] != kTagEach) || (bytes.size() - head) % entry != 0) return false;
    if (peers_.size() >= kMostPeers && !peers_.count(from)) return true;  // bounded; the rest is not needed
    for (std::size_t t = 0; t < rates; ++t)
        shares.heard(now, from, static_cast<std::uint32_t>(t), Shares::unpack(bytes[1 + t]));
    Said& said = peers_[from];
    take_back(said);
    said.at = now;
    for (std::size_t i = head; i < bytes.size(); i += entry) {
        const auto id = static_cast<std::uint16_t>(bytes[i] << 8 | bytes[i + 1]);
        const int number = entry == 2 ? 1 : bytes[i + 2];
        if (number == 0) continue;
        said.out.emplace_back(id, number);
        sums_[id] += number;
    }
    return true;
}

void FleetView::take_back(Said& said) {
    for (const auto& [id, out] : said.out)
        if (const auto at = sums_.find(id); (at->second -= out) == 0) sums_.erase(at);
    said.out.clear();
}

void FleetView::pass(Millis now) {
    if (now < oldest_ + kFresh) return;
    oldest_ = now;
    for (auto it = peers_.begin(); it != peers_.end();) {
        if (now >= it->second.at + kFresh) {
            take_back(it->second);
            it = peers_.erase(it);
        } else {
            oldest_ = std::min(oldest_, it->second.at);
            ++it;
        }
    }
}

int FleetView::sum(std::uint16_t id) const {
    const auto at = sums_.find(id);
    return at == sums_.end() ? 0 : at->second;
}

}  // namespace kelplb
