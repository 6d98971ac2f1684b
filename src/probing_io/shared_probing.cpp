#include "probing_io/shared_probing.hpp"

#include <algorithm>

#include "lease_io/clock.hpp"

namespace cobaltshift::probing {

using lease::boottime_now;

namespace {

constexpr std::chrono::milliseconds kLookEvery{200};  // at what is listed
constexpr std::size_t kSpareConnections = 2;          // beside the probes that are out

Upstream::Limits limits(const Config& config, const ProbingSettings& settings) {
    // An idle connection is kept for the next round where servers let it; else each round opens anew.
    return {settings.core.probe, config.idle_close, settings.core.at_once + kSpareConnections, 0};
}
ProberSettings core(const ProbingSettings& settings) {
    ProberSettings s = settings.core;
    s.instances = static_cast<std::uint32_t>(settings.instances.size());
    return s;
}

}  // namespace

SharedProbing::SharedProbing(asio::io_context& io, const Clock& clock, Sidecar& sidecar, const Config& config,
                             const lease::KeepersSettings& keepers, const ProbingSettings& settings)
    : io_(io),
      sidecar_(sidecar),
      settings_(settings),
      prober_(core(settings)),
      // Who waits asks again within a length: a keeper that has just begun to lead knows whom to answer.
      rights_(io, keepers, config.name, settings.length),
      probes_(io, clock, limits(config, settings),
              {nullptr, [this](ServerId server, Outcome outcome, Millis) { ended(server, outcome); }}),
      datagrams_(io, settings.listen, settings.instances, settings.core.number,
                 lease::Secret::from_file(keepers.secret_file),
                 [this](std::string_view message) {
                     prober_.heard(boottime_now(), message);
                     turn();
                 }),
      timer_(io),
      look_(io) {
    rights_.on_change([this] { turn(); });
    look();
}

SharedProbing::~SharedProbing() { *alive_ = false; }

void SharedProbing::stop() {
    look_.cancel();
    prober_.stop(boottime_now());
    turn();
}

std::string SharedProbing::tally() const {
    const Prober::Counts& c = prober_.counts();
    const Prober::Known known = prober_.known(boottime_now());
    return "probing: " + std::to_string(c.probes) + " probes, " + std::to_string(c.gained) +
           " shards gained, " + std::to_string(c.lost) + " lost, " + std::to_string(c.told) + " told, " +
           std::to_string(c.heard) + " heard, " + std::to_string(c.refused) + " refused; servers " +
           std::to_string(known.good) + " good, " + std::to_string(known.bad) + " bad, " +
           std::to_string(known.unknown) + " unknown";
}

void SharedProbing::metrics(MetricsText& m) const {
    const auto count = [](auto value) { return static_cast<double>(value); };
    std::size_t held = 0;
    for (std::uint32_t shard = 0; shard < settings_.core.shards; ++shard) held += prober_.holds(shard);
    m.gauge("cobaltshift_probing_shards", "held by this sidecar", count(held));
    const Prober::Known known = prober_.known(boottime_now());
    m.family("cobaltshift_probing_servers", MetricsText::Kind::gauge, "by the fleet's verdict");
    m.sample(count(known.good), {{"verdict", "good"}});
    m.sample(count(known.bad), {{"verdict", "bad"}});
    m.sample(count(known.unknown), {{"verdict", "unknown"}});
    const Prober::Counts& c = prober_.counts();
    m.family("cobaltshift_probing_events_total", MetricsText::Kind::counter, "by kind");
    m.sample(count(c.probes), {{"kind", "probe"}});
    m.sample(count(c.failed), {{"kind", "failed"}});
    m.sample(count(c.gained), {{"kind", "shard_gained"}});
    m.sample(count(c.lost), {{"kind", "shard_lost"}});
    m.sample(count(c.told), {{"kind", "told"}});
    m.sample(count(c.heard), {{"kind", "heard"}});
    m.sample(count(c.refused), {{"kind", "refused"}});
    const lease::Holder::Counts& rights = rights_.counts();
    m.family("cobaltshift_rights_events_total", MetricsText::Kind::counter, "of this process, by kind");
    m.sample(count(rights.questions), {{"kind", "question"}});
    m.sample(count(rights.unanswered), {{"kind", "unanswered"}});
    m.sample(count(rights.gained), {{"kind", "gained"}});
    m.sample(count(rights.renewed), {{"kind", "renewed"}});
    m.sample(count(rights.lost), {{"kind", "lost"}});
    m.sample(count(rights.ended), {{"kind", "ended"}});
}

void SharedProbing::look() {
    std::vector<ServerId> servers;
    for (const ServerInfo& info : sidecar_.listed())
        if (info.phase == Phase::on) servers.push_back(info.id);
    prober_.listed(boottime_now(), servers);
    turn();
    look_.expires_after(kLookEvery);
    look_.async_wait([this, alive = alive_](error_code ec) {
        if (!ec && *alive) look();
    });
}

// A probe that ends at once comes back in here: it is taken up in the same turn.
void SharedProbing::turn() {
    again_ = true;
    if (std::exchange(turning_, true)) return;
    while (std::exchange(again_, false)) {
        const Millis now = boottime_now();
        for (std::uint32_t shard = 0; shard < settings_.core.shards; ++shard)
            if (prober_.wants(shard)) prober_.right(now, shard, rights_.right(task_of(shard)));
        prober_.tick(now);
        carry_out();
    }
    turning_ = false;
    const Millis due = prober_.due() - boottime_now();
    if (due > 1e12) return timer_.cancel(), void();
    timer_.expires_after(std::chrono::microseconds(static_cast<long>(std::max(0.0, due) * 1000) + 100));
    timer_.async_wait([this, alive = alive_](error_code ec) {
        if (!ec && *alive) turn();
    });
}

void SharedProbing::carry_out() {
    const Prober::Output output = prober_.take();
    for (const std::string& message : output.tell) datagrams_.tell(message);
    for (const std::uint32_t shard : output.want) rights_.want(task_of(shard), settings_.length, true);
    for (const std::uint32_t shard : output.give_up) rights_.give_up(task_of(shard));
    for (const ServerId server : output.probe) {
        const auto at = sidecar_.endpoint_of(server);
        // The last look before the act: the clock, once more.
        const auto right = rights_.right(task_of(shard_of(server, settings_.core.shards)));
        if (!at || !right || right->until < boottime_now() + settings_.core.probe) {
            prober_.probed(boottime_now(), server, std::nullopt);
            continue;
        }
        probes_.probe(server, *at);
    }
    // Four bytes are the gossip's form of a rumour, from ourselves.
    for (const ServerId server : output.failed) {
        std::vector<std::uint8_t> rumour;
        for (int shift = 24; shift >= 0; shift -= 8)
            rumour.push_back(static_cast<std::uint8_t>(server >> shift));
        sidecar_.on_peer_message(sidecar_.config().settings.sidecar_index, std::move(rumour));
    }
}

void SharedProbing::ended(ServerId server, Outcome outcome) {
    std::optional<bool> good;
    if (outcome != Outcome::not_sent) good = outcome == Outcome::completed;
    prober_.probed(boottime_now(), server, good);
    turn();
}

}  // namespace cobaltshift::probing
