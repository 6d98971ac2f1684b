// The outstanding and failed attempts of other sidecars at each server, as reported by them, and the codec
// of the reports. They only order or narrow the balancer's own choices. No I/O; time is passed in.
//
// A report: kCountTag; the request rate of each tenant, one byte each; then for each server with something
// to report the lower half of its id, big-endian, and the number of outstanding attempts, three bytes. The
// number of recent failures has an entry of its own under the id with all bits inverted, which is of no
// effect at sidecars whose version doesn't know it. Where that is shorter, as for a low-traffic sidecar with
// one attempt at each of its servers, the tag is kListTag and each attempt is an entry of its server's two
// bytes: the cost of the reports grows with the square of the number of sidecars. A malformed report is
// dropped as a whole. If reports are lost, the last one stays in force until it expires.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "shares.hpp"

namespace kelplb {

class FleetView {
public:
    static constexpr std::uint8_t kCountTag = 0xF1, kListTag = 0xF2;
    static constexpr std::size_t kMaxReportBytes = 256;  // of a datagram between sidecars

    struct ServerCount {
        ServerId server = 0;
        int outstanding = 0;
        int failed = 0;  // recently
    };
    // Encodes a report; the servers with the most attempts come first, as many as fit.
    static std::vector<std::uint8_t> encode(Millis now, const Shares& shares,
                                            std::vector<ServerCount> counts);
    // Replaces the last report of `from` and passes its rates to `shares`. False: the bytes are no report;
    // then nothing has changed.
    bool receive(Millis now, std::uint32_t from, const std::vector<std::uint8_t>& bytes, Shares& shares);
    // Removes expired reports. To be called as time goes on, before the queries below.
    void expire(Millis now);
    // Other sidecars' outstanding attempts at the server: one look-up, whatever the number of sidecars.
    int outstanding_elsewhere(ServerId server) const { return sum(short_id(server)); }
    // Other sidecars' recent failures there.
    int failed_elsewhere(ServerId server) const { return sum(inverted_id(server)); }

private:
    struct Report {
        Millis at = 0;
        std::vector<std::pair<std::uint16_t, int>> entries;
    };
    static std::uint16_t short_id(ServerId id) { return static_cast<std::uint16_t>(id); }
    static std::uint16_t inverted_id(ServerId id) { return static_cast<std::uint16_t>(~id); }
    int sum(std::uint16_t id) const;
    void remove_from_sums(Report& report);

    std::map<std::uint32_t, Report> peers_;
    std::unordered_map<std::uint16_t, int> sums_;  // over peers_; no entry is 0
    Millis oldest_ = 0;                            // no report is older
};

}  // namespace kelplb
