#include "site_io/lead_node.hpp"

#include <set>

#include "lease/codec.hpp"
#include "lease_io/clock.hpp"
#include "lease_io/draw.hpp"
#include "log/log.hpp"
#include "names.hpp"
#include "site_io/orders.hpp"

namespace cobaltshift::site {

using lease::boottime_now;
using lease::error_code;

namespace {

constexpr lease::Millis kOrdersEvery = 1000, kReleaseWithin = 1000;
constexpr std::size_t kMostQueued = 64 * 1024;

Config for_discovery(const SiteSettings& settings) {
    Config config;
    config.discovery = settings.discovery;
    return config;
}
probing::ProberSettings ear(const probing::ProbingSettings& settings) {
    probing::ProberSettings s = settings.core;
    s.instances = static_cast<std::uint32_t>(settings.instances.size());
    return s;
}

}  // namespace

LeadNode::LeadNode(lease::asio::io_context& io, const std::string& name,
                   const lease::KeepersSettings& keepers, const probing::ProbingSettings& probing,
                   const SiteSettings& settings)
    : io_(io),
      settings_(settings),
      secret_(lease::Secret::from_file(keepers.secret_file)),
      name_(name),
      config_(for_discovery(settings)),
      lead_(settings.lead),
      ear_(ear(probing)),
      datagrams_(io, probing.listen, probing.instances, probing.core.number,
                 lease::Secret::from_file(keepers.secret_file),
                 [this](std::string_view message) {
                     ear_.heard(boottime_now(), message);
                     heard();
                 }),
      rights_(io, keepers, name, settings.length),
      asker_(lease::random_id()),
      discovery_(io, config_, {[this](const HostList& list) { told(list); }, [] {}}),
      look_(io) {
    for (const auto& at : keepers.keepers)
        lines_.push_back(std::make_unique<lease::ReplicaConnection>(
            io_, at, secret_, lease::Role::client, lease::kLargestAnswer, kMostQueued, lease::random_id(),
            [this](lease::FrameKind kind, std::string_view payload) {
                std::string why;
                if (kind != lease::FrameKind::answer) return;
                const auto answer = lease::decode_answer(payload, why);
                if (!answer || answer->kind != lease::Response::Kind::listed || answer->number != question_)
                    return;
                // TASK ... NOTE, by tabs; of no order yet there is no row.
                orders_.clear();
                const auto end = answer->text.find('\n');
                if (end != std::string::npos && answer->text.starts_with(kOrderTask + "\t"))
                    orders_ =
                        read_orders(answer->text.substr(0, end).substr(answer->text.rfind('\t', end) + 1));
            }));
    rights_.on_change([this] { turn(); });
    rights_.want(kLeadTask, settings_.length, true);
    discovery_.watch(true);
    look();
}

LeadNode::~LeadNode() { *alive_ = false; }

void LeadNode::stop(std::function<void()> done) {
    stopped_ = std::move(done);
    lead_.end();
    rights_.give_up(kLeadTask);
    look_.expires_after(std::chrono::milliseconds(static_cast<long>(kReleaseWithin)));
    look_.async_wait([this](error_code ec) {
        if (!ec) stopped_();
    });
}

void LeadNode::told(const HostList& list) {
    if (list.is_full) servers_.clear();
    std::set<kelplb::ServerId> taken;
    for (const auto& [name, server] : servers_) taken.insert(server.first);
    for (const Host& host : list.hosts) {
        const auto known = servers_.find(host.name);
        if (host.phase == Phase::off) {
            if (known != servers_.end()) servers_.erase(known);
            continue;
        }
        if (known != servers_.end()) {
            known->second.second = host.zone;
            continue;
        }
        const auto id = server_number(host.name, [&](kelplb::ServerId n) { return taken.count(n) > 0; });
        taken.insert(id);
        servers_[host.name] = {id, host.zone};
    }
    std::map<kelplb::ServerId, std::string> sites;
    std::vector<kelplb::ServerId> all;
    for (const auto& [name, server] : servers_) {
        sites[server.first] = server.second;
        all.push_back(server.first);
    }
    ear_.listed(boottime_now(), all);
    lead_.listed(boottime_now(), sites);
}

void LeadNode::heard() {
    for (const auto& found : ear_.take().found) lead_.verdict(boottime_now(), found.server, found.good);
}

void LeadNode::ask_orders() {
    if (boottime_now() < orders_due_) return;
    orders_due_ = boottime_now() + kOrdersEvery;
    lease::Request q;
    q.kind = lease::Request::Kind::list;
    q.holder = asker_;
    q.number = ++question_;
    q.name = name_;
    q.task = kOrderTask;
    for (const auto& line : lines_) line->send(lease::FrameKind::question, lease::encode(q));
}

// Looks at the right, at what has become of the note, and at all sites.
void LeadNode::turn() {
    const Millis now = boottime_now();
    if (stopped_) {
        if (rights_.state(kLeadTask) == lease::Holder::State::idle) look_.cancel(), stopped_();
        return;
    }
    const auto right = rights_.right(kLeadTask);
    if (lead_.leads() && (!right || right->fence != fence_)) {
        lead_.end();
        log_line("site.follows", "does not lead the sites any more", {{"fence", fence_}});
    }
    if (!right) return;
    if (!lead_.leads()) {
        fence_ = right->fence;
        const std::string note = rights_.note(kLeadTask);
        if (!lead_.begin(now, note))
            log_line("site.note", "the note of the sites can't be read: all begin as whole",
                     {{"note", note}});
        logged_ = lead_.book();
        log_line("site.leads", "leads the sites, fence " + std::to_string(fence_) + ", from '" + note + "'",
                 {{"fence", fence_}, {"note", note}});
    }
    switch (rights_.note_state(kLeadTask)) {
        case lease::Holder::Note::left:
            lead_.left(now);
            log_turns();
            break;
        case lease::Holder::Note::not_left:
            lead_.not_left();
            break;
        default:
            break;
    }
    for (const auto& [site, drained] : orders_) lead_.ordered(site, drained);
    if (const auto note = lead_.tick(now); note && !rights_.leave_note(kLeadTask, *note)) lead_.not_left();
}

void LeadNode::log_turns() {
    for (const auto& [name, is] : lead_.book().sites) {
        const auto was = logged_.sites.find(name);
        if (was != logged_.sites.end() && was->second == is) continue;
        std::string text = name + " is " + name_of(is.state);
        if (is.state == State::returning)
            text += ", step " + std::to_string(is.step + 1) + " of " +
                    std::to_string(settings_.lead.paced.steps.size());
        log_line(
            "site.turn", text,
            {{"site", name}, {"state", std::string(name_of(is.state))}, {"step", std::uint64_t{is.step}}});
    }
    logged_ = lead_.book();
}

void LeadNode::look() {
    ask_orders();
    turn();
    if (stopped_) return;
    look_.expires_after(std::chrono::milliseconds(static_cast<long>(settings_.look)));
    look_.async_wait([this, alive = alive_](error_code ec) {
        if (!ec && *alive && !stopped_) look();
    });
}

void LeadNode::metrics(MetricsText& m) const {
    const auto count = [](auto value) { return static_cast<double>(value); };
    m.gauge("cobaltshift_site_leads", "1 at the one that leads the sites", lead_.leads());
    m.gauge("cobaltshift_site_version", "of the book of sites, as left last", count(lead_.book().version));
    m.family("cobaltshift_site_state", MetricsText::Kind::gauge, "1 for the state that a site is in");
    for (const auto& [name, entry] : lead_.book().sites)
        m.sample(1, {{"site", name}, {"state", name_of(entry.state)}});
    m.family("cobaltshift_site_part", MetricsText::Kind::gauge, "of a site's load that it is to have");
    for (const auto& [name, entry] : lead_.book().sites) {
        const bool out =
            entry.state == State::lost || entry.state == State::drained || entry.state == State::cut_off;
        const auto& steps = settings_.lead.paced.steps;
        m.sample(out                               ? 0
                 : entry.state == State::returning ? steps.at(std::min(entry.step, steps.size() - 1))
                                                   : 1,
                 {{"site", name}});
    }
    const Lead::Counts& c = lead_.counts();
    m.family("cobaltshift_site_turns_total", MetricsText::Kind::counter, "by this process while it led");
    m.sample(count(c.turns), {{"kind", "all"}});
    m.sample(count(c.forth), {{"kind", "step_forth"}});
    m.sample(count(c.back), {{"kind", "step_back"}});
}

}  // namespace cobaltshift::site
