#include "net/tally.hpp"

#include <cstdio>

namespace cobaltshift {

std::string tally_line(const kelplb::Balancer::Tally& m, const Upstream::Counts& s) {
    const auto n = [](std::uint64_t v) { return static_cast<unsigned long long>(v); };
    const auto& o = m.outcomes;
    char line[256];
    std::snprintf(line, sizeof line,
                  "tally in=%llu out=%llu again=%llu ok=%llu err=%llu full=%llu over=%llu conn=%llu cut=%llu "
                  "room=%llu fit=%llu cold=%llu none=%llu end=%llu opened=%llu probes=%llu told=%llu "
                  "place=%.1f crowd=%.2f list=%zu/%zu/%zu",
                  n(m.arrived), n(m.sent), n(m.retries), n(o[0]), n(o[1]), n(o[2]), n(o[3]), n(o[4]), n(o[5]),
                  n(m.failed_by_limit), n(m.failed_by_latency), n(m.failed_by_cold), n(m.failed_by_no_server),
                  n(m.failed_by_exhaustion), n(s.opened), n(m.probes), n(m.told), m.concurrency_limit,
                  m.latency_ratio, m.listed, m.cold, m.removed);
    return line;
}

void tally_metrics(const kelplb::Balancer::Tally& m, const Upstream::Counts& s, MetricsText& text) {
    const auto count = [](std::uint64_t value) { return static_cast<double>(value); };
    static constexpr std::pair<std::size_t, const char*> kOutcomes[] = {
        {0, "completed"}, {1, "errored"}, {2, "saturated"}, {3, "overdue"},
        {4, "refused"},   {5, "severed"}, {6, "recalled"},  {7, "superseded"}};
    text.counter("cobaltshift_requests_total", "taken from clients", count(m.arrived));
    text.counter("cobaltshift_attempts_total", "handed to servers", count(m.sent));
    text.family("cobaltshift_attempts_ended_total", MetricsText::Kind::counter, "by outcome");
    for (const auto& [at, name] : kOutcomes) text.sample(count(m.outcomes[at]), {{"outcome", name}});
    text.family("cobaltshift_given_up_total", MetricsText::Kind::counter, "refused or failed, by hindrance");
    text.sample(count(m.failed_by_limit), {{"hindrance", "room"}});
    text.sample(count(m.failed_by_latency), {{"hindrance", "fit"}});
    text.sample(count(m.failed_by_cold), {{"hindrance", "cold"}});
    text.sample(count(m.failed_by_no_server), {{"hindrance", "none"}});
    text.sample(count(m.failed_by_exhaustion), {{"hindrance", "end"}});
    text.counter("cobaltshift_connections_opened_total", "to servers", count(s.opened));
    text.counter("cobaltshift_probes_total", "of the decision module", count(m.probes));
    text.family("cobaltshift_servers", MetricsText::Kind::gauge, "as this sidecar sees them");
    text.sample(static_cast<double>(m.listed), {{"state", "listed"}});
    text.sample(static_cast<double>(m.cold), {{"state", "cold"}});
    text.sample(static_cast<double>(m.removed), {{"state", "removed"}});
    text.gauge("cobaltshift_room", "attempts out that admission lets be", m.concurrency_limit);
}

}  // namespace cobaltshift
