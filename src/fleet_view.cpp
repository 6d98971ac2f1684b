#include "fleet_view.hpp"

#include <algorithm>

namespace kelplb {

namespace {
constexpr Millis kReportTtlMs = 600;  // by then most of the attempts reported have ended
constexpr std::size_t kMaxPeers = 1024;
}  // namespace

std::vector<std::uint8_t> FleetView::encode(Millis now, const Shares& shares,
                                            std::vector<ServerCount> counts) {
    std::vector<std::uint8_t> bytes{kCountTag};
    for (std::uint32_t t = 0; t < shares.tenants() && bytes.size() < kMaxReportBytes / 2; ++t)
        bytes.push_back(Shares::encode_rate(shares.rate(now, t)));
    std::sort(counts.begin(), counts.end(), [](const ServerCount& a, const ServerCount& b) {
        return a.outstanding != b.outstanding ? a.outstanding > b.outstanding : a.server < b.server;
    });
    const auto add_entry = [&](std::uint16_t id, int number) {
        if (number <= 0 || bytes.size() + 3 > kMaxReportBytes) return;
        bytes.push_back(static_cast<std::uint8_t>(id >> 8));
        bytes.push_back(static_cast<std::uint8_t>(id));
        bytes.push_back(static_cast<std::uint8_t>(std::min(number, 255)));
    };
    std::size_t list_bytes = 0, count_bytes = 0;  // of the entries in either form
    for (const ServerCount& c : counts) {
        list_bytes += 2 * static_cast<std::size_t>(c.outstanding + c.failed);
        count_bytes += 3 * static_cast<std::size_t>((c.outstanding > 0) + (c.failed > 0));
    }
    if (list_bytes >= count_bytes || bytes.size() + list_bytes > kMaxReportBytes) {
        for (const ServerCount& c : counts)
            add_entry(short_id(c.server), c.outstanding), add_entry(inverted_id(c.server), c.failed);
        return bytes;
    }
    bytes[0] = kListTag;
    for (const ServerCount& c : counts)
        for (int n = 0; n < c.outstanding + c.failed; ++n) {
            const std::uint16_t id = n < c.outstanding ? short_id(c.server) : inverted_id(c.server);
            bytes.push_back(static_cast<std::uint8_t>(id >> 8));
            bytes.push_back(static_cast<std::uint8_t>(id));
        }
    return bytes;
}

bool FleetView::receive(Millis now, std::uint32_t from, const std::vector<std::uint8_t>& bytes,
                        Shares& shares) {
    const std::size_t rates = std::min(shares.tenants(), kMaxReportBytes / 2 - 1), head = 1 + rates;
    if (bytes.size() < head || bytes.size() > kMaxReportBytes) return false;
    const std::size_t entry = bytes[0] == kListTag ? 2 : 3;
    if ((bytes[0] != kCountTag && bytes[0] != kListTag) || (bytes.size() - head) % entry != 0) return false;
    if (peers_.size() >= kMaxPeers && !peers_.count(from)) return true;  // bounds memory; these are enough
    for (std::size_t t = 0; t < rates; ++t)
        shares.receive(now, from, static_cast<std::uint32_t>(t), Shares::decode_rate(bytes[1 + t]));
    Report& report = peers_[from];
    remove_from_sums(report);
    report.at = now;
    for (std::size_t i = head; i < bytes.size(); i += entry) {
        const auto id = static_cast<std::uint16_t>(bytes[i] << 8 | bytes[i + 1]);
        const int number = entry == 2 ? 1 : bytes[i + 2];
        if (number == 0) continue;
        report.entries.emplace_back(id, number);
        sums_[id] += number;
    }
    return true;
}

void FleetView::remove_from_sums(Report& report) {
    for (const auto& [id, number] : report.entries)
        if (const auto at = sums_.find(id); (at->second -= number) == 0) sums_.erase(at);
    report.entries.clear();
}

void FleetView::expire(Millis now) {
    if (now < oldest_ + kReportTtlMs) return;
    oldest_ = now;
    for (auto it = peers_.begin(); it != peers_.end();) {
        if (now >= it->second.at + kReportTtlMs) {
            remove_from_sums(it->second);
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
