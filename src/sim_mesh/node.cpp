#include "sim_mesh/node.hpp"

#include <algorithm>

#include "config/codec.hpp"
#include "sim_mesh/world.hpp"

namespace cobaltshift::simmesh {

namespace {
constexpr Millis kSilence = 300;  // as config_io/config_distributor.hpp

gossip::GossipSettings settings_of(World& world, Ip ip, bool restarted) {
    gossip::GossipSettings settings;
    for (const Ip seed : world.seeds())
        if (seed != ip) settings.seeds.push_back(seed);
    settings.seed = world.draw();
    settings.restarted = restarted;
    return settings;
}
registry::NodeRecord record_of(World& world, Ip ip, registry::NodeRole role) {
    registry::NodeRecord record;
    record.ip = ip;
    record.role = role;
    record.zone = world.net.machine(ip).zone;
    record.traffic_port = 8624;
    return record;
}
}  // namespace

Node::Node(World& world, Ip ip, registry::NodeRole role, bool restarted)
    : world_(world), ip_(ip), gossip_(settings_of(world, ip, restarted), record_of(world, ip, role)) {}

Millis Node::now() const { return world_.time.now(); }
void Node::after(Millis delay, Task what) { world_.net.after(ip_, delay, std::move(what)); }

void Node::begin() {
    gossip_.start(now());
    act_soon();
}

void Node::act_soon() {
    if (acting_soon_) return;
    acting_soon_ = true;
    after(0, [this] {
        acting_soon_ = false;
        act();
    });
}

void Node::act() {
    if (now() >= gossip_.due()) gossip_.tick(now());
    const gossip::Gossip::Output out = gossip_.take_output();
    for (const auto& datagram : out.datagrams)
        world_.net.datagram(ip_, datagram.to,
                            [&world = world_, to = datagram.to, bytes = gossip::encode(datagram.message)] {
                                Node* node = world.node(to);
                                const auto message = gossip::decode(bytes);
                                if (!node || !message) return;
                                node->gossip_.on_message(node->now(), *message);
                                node->act();
                            });
    if (gossip_.due() < armed_ && gossip_.due() < 1e17) {
        armed_ = gossip_.due();
        after(std::max(0.0, armed_ - now()), [this, due = armed_] {
            if (armed_ == due) armed_ = 1e18;
            act();
        });
    }
    if (!former_self_reported_ && gossip_.former_self_settled()) {
        former_self_reported_ = true;
        on_former_self(gossip_.former_self());
    }
    if (!out.changed.empty()) registry_changed();
    for (const auto& edition : out.editions)
        if (edition.config_edition > gossip_.self().config_edition)
            heard_of(edition.ip, edition.config_edition);
}

void Node::tell(const std::function<void(registry::NodeRecord&)>& change) {
    registry::NodeRecord record = registry::Registry::current_record(now(), *gossip_.registry().find(ip_));
    change(record);
    gossip_.update_self(now(), record);
    act_soon();
}

void Node::unreachable(Ip ip) {
    gossip_.unreachable(now(), ip);
    act_soon();
}

std::vector<Ip> Node::hubs() const {
    std::vector<Ip> all;
    for (const registry::Entry& entry : gossip_.registry().entries())
        if (entry.record.role == registry::NodeRole::control_node &&
            entry.state != registry::MemberState::gone && entry.record.ip != ip_)
            all.push_back(entry.record.ip);
    for (const Ip seed : world_.seeds())
        if (seed != ip_ && !gossip_.registry().find(seed)) all.push_back(seed);
    return all;
}

std::size_t Node::live_proxies() const {
    const auto& entries = gossip_.registry().entries();
    return static_cast<std::size_t>(
        std::count_if(entries.begin(), entries.end(), [](const registry::Entry& e) {
            return e.state != registry::MemberState::gone && e.record.role == registry::NodeRole::proxy &&
                   !e.record.leaving;
        }));
}

// ---- The feed --------------------------------------------------------------------------------------------

void Node::hold(std::shared_ptr<const config::Configuration> configuration) {
    if (!configuration || (configuration->edition <= edition() && world_.safeguards.newer_only)) return;
    held_ = std::move(configuration);
    schedule_.hold(edition());
}

void Node::hint(Ip ip, config::Edition edition) {
    if (ip == ip_ || edition <= this->edition()) return;
    schedule_.hint(ip, edition);
    fetch();
}

void Node::fetch() {
    if (!world_.safeguards.fetches) return;
    while (const auto from = schedule_.next(now(), hubs())) ask(*from);
    const auto due = schedule_.due();
    if (due && !std::exchange(fetch_armed_, true))
        after(std::max(1.0, *due - now()), [this] {
            fetch_armed_ = false;
            fetch();
        });
}

void Node::ask(Ip from) {
    const Ip asked =
        world_.safeguards.newer_only ? from : world_.seeds()[world_.draw() % world_.seeds().size()];
    auto over = std::make_shared<bool>(false);
    const auto end = [this, from, over](std::shared_ptr<const config::Configuration> got, bool answered) {
        if (std::exchange(*over, true)) return;
        asking_.erase(from);
        fetched(from, std::move(got), answered);
    };
    const CallPtr call = world_.net.call(
        ip_, asked, 0,
        [&world = world_, have = held_, end](const CallPtr& c) {
            const Node* other = world.node(c->to);
            std::string bytes;
            if (other && other->held_ && other->edition() > (have ? have->edition : 0))
                bytes = have ? config::encode_delta(*have, *other->held_) : config::encode(*other->held_);
            else if (other && other->held_ && !world.safeguards.newer_only)
                bytes = config::encode(*other->held_);
            world.net.reply(c, [bytes, have, end] {
                std::string why;
                end(bytes.empty() ? nullptr : config::decode(bytes, have.get(), why), true);
            });
        },
        [end](bool) { end(nullptr, false); });
    asking_[from] = [this, call, over] {
        *over = true;
        world_.net.close(call);
    };
    after(kSilence, [this, call, over, end] {
        if (*over) return;
        world_.net.close(call);
        end(nullptr, false);
    });
}

void Node::ask_current(Ip ip, std::function<void(config::CurrentAnswer)> done) {
    auto over = std::make_shared<bool>(false);
    const auto end = [done = std::move(done), over](const config::CurrentAnswer& answer) {
        if (!std::exchange(*over, true)) done(answer);
    };
    const CallPtr call = world_.net.call(
        ip_, ip, 0,
        [&world = world_, end](const CallPtr& c) {
            auto* hub = dynamic_cast<Hub*>(world.node(c->to));
            if (!hub) return;
            hub->read([&world, c, end](const control::Reply& reply) {
                world.net.reply(c, [end, answer = control::current_answer(reply)] { end(answer); });
            });
        },
        [end](bool) { end({}); });
    after(kSilence, [this, call, over, end] {
        if (*over) return;
        world_.net.close(call);
        end({});
    });
}

void Node::fetched(Ip from, std::shared_ptr<const config::Configuration> got, bool answered) {
    using End = config::FetchSchedule::End;
    const config::Edition before = edition();
    if (got) hold(std::move(got));
    const bool newer = edition() != before;
    schedule_.ended(from, newer ? End::newer : answered ? End::nothing_newer : End::failed);
    if (newer) {
        for (const auto& [ip, drop] : std::exchange(asking_, {})) {
            drop();
            schedule_.ended(ip, End::failed);
        }
        on_new_configuration();
    }
    fetch();
}

}  // namespace cobaltshift::simmesh
