#include "proxy/proxy.hpp"

#include <json/json.h>

#include <algorithm>

#include "log/log.hpp"

namespace cobaltshift::proxy {

namespace {
constexpr std::uint64_t kMaxCallBytes = 64 * 1024;  // body of a call to the control or readiness API
constexpr std::chrono::seconds kTallyInterval{60};
// Assumed for a server that has answered a health check but has not sent a heartbeat yet.
constexpr std::uint32_t kDefaultCapacity = 4;
constexpr std::size_t kMaxEarlyHeartbeats = 8;
// From the record of a server's end until its acknowledgement, so that the record leaves first.
constexpr std::chrono::milliseconds kEndAcknowledgementDelay{20};

// Part of the link that answers may use; the rest is for requests, gossip, packet headers and
// acknowledgements. At a higher rate than the link carries, answers would queue in the kernel, where short
// ones wait behind long ones.
constexpr double kLinkShare = 0.90, kBytesPerMsPerMbps = 125;

std::unique_ptr<PacedLink> make_link(asio::io_context& io, const Clock& clock, const boot::Boot& boot) {
    if (boot.link_mbps <= 0) return nullptr;
    return std::make_unique<PacedLink>(io, clock, boot.link_mbps * kBytesPerMsPerMbps * kLinkShare);
}

const char* name_of(Listener::OpenRequest::Stage stage) {
    using Stage = Listener::OpenRequest::Stage;
    switch (stage) {
        case Stage::reading:
            return "reading";
        case Stage::waiting:
            return "waiting";
        case Stage::answering:
            return "answering";
    }
    return "";
}

// `whose`: who waits for the answer; part of the message and a field of the log line.
void log_unanswered_request(const char* whose, const Listener::OpenRequest& request) {
    const std::string stage = name_of(request.stage);
    log_line("GD010 request cut",
             std::string("the process exits with ") + whose + " request unanswered: " + stage + " " +
                 request.name + " for " + std::to_string(static_cast<long>(request.age)) + " ms, " +
                 std::to_string(request.unsent_bytes) + " bytes left",
             {{"whose", whose},
              {"stage", stage},
              {"request", request.name},
              {"age_ms", request.age},
              {"answer_left", static_cast<std::uint64_t>(request.unsent_bytes)}});
}

// Of the descriptors that are not kept for files; the others are for connections to other nodes.
constexpr double kOutboundShare = 0.35, kInboundShare = 0.25, kApiShare = 0.02;
constexpr double kListenersShare = kOutboundShare + kInboundShare + 2 * kApiShare;
constexpr std::size_t kMinBacklog = 4;

Listener::Limits limits(const boot::Boot& boot, double share) {
    const auto descriptors = static_cast<std::size_t>(static_cast<double>(boot.file_limit - 200) * share);
    Listener::Limits limits{descriptors, descriptors, boot.memory_mb << 20};
    const double backlog = static_cast<double>(backlog_for(boot.memory_mb)) * share / kListenersShare;
    limits.backlog = std::clamp(static_cast<std::size_t>(backlog), kMinBacklog, limits.backlog);
    return limits;
}
}  // namespace

Proxy::Proxy(asio::io_context& io, boot::Boot boot, std::uint64_t seed)
    : io_(io),
      boot_(std::move(boot)),
      gossip_(io, boot_, registry::NodeRole::proxy, boot_.inbound ? boot_.inbound->port() : 0),
      distributor_(io, boot_.ip, static_cast<std::uint16_t>(boot_.first_port + 1)),
      confirmation_({}, clock_.now()),
      link_(make_link(io, clock_, boot_)),
      memory_(io, clock_, memory_for_clients(boot_.memory_mb)),
      inbound_(io, clock_, boot_,
               {[this] { return distributor_.held() ? distributor_.held()->edition : 0; },
                [this](std::uint64_t edition) {
                    // The sender is not known here, but the control nodes have the edition or know who has.
                    for (const std::uint32_t hub : gossip_.control_nodes()) distributor_.hint(hub, edition);
                },
                [this] { return outbound_.max_header_bytes(); }},
               link_.get(), &memory_),
      outbound_(
          io, clock_, boot_,
          {[this] { return gossip_.live_proxies(); },
           [this](const auto& visit) {
               visit(gossip_.self(), registry::MemberState::alive);
               gossip_.for_each_node([&](const registry::NodeRecord& node, registry::MemberState standing) {
                   if (node.role == registry::NodeRole::proxy) visit(node, standing);
               });
           },
           [this](std::uint32_t ip, std::uint64_t edition) { distributor_.hint(ip, edition); },
           [this](std::uint32_t ip) { gossip_.unreachable(ip); }},
          seed, &memory_),
      heartbeat_resource_({[this](const Heartbeat& heartbeat) { on_heartbeat(heartbeat); },
                           [this](const std::string& instance_id) { on_deregistered(instance_id); },
                           [this](const std::function<void()>& acknowledge) {
                               const auto timer =
                                   std::make_shared<asio::steady_timer>(io_, kEndAcknowledgementDelay);
                               timer->async_wait([timer, acknowledge](error_code) { acknowledge(); });
                           }}),
      readiness_resource_([this] { return ready(); }),
      control_front_(kMaxCallBytes),
      ready_front_(kMaxCallBytes),
      outbound_listener_(io, clock_, outbound_, limits(boot_, kOutboundShare), link_.get(), &memory_),
      inbound_listener_(io, clock_, inbound_, limits(boot_, kInboundShare), link_.get(), &memory_),
      control_listener_(io, clock_, control_front_, limits(boot_, kApiShare), nullptr, &memory_),
      ready_listener_(io, clock_, ready_front_, limits(boot_, kApiShare), nullptr, &memory_),
      timer_(io),
      tally_timer_(io),
      confirmation_timer_(io) {
    control_front_.add(heartbeat_resource_);
    ready_front_.add(readiness_resource_);
    gossip_.on_change = [this](const registry::NodeRecord&, registry::MemberState) {
        outbound_.registry_changed();
    };
    gossip_.on_newer_configuration = [this](std::uint32_t ip, std::uint64_t edition) {
        distributor_.hint(ip, edition);
    };
    gossip_.on_former_self = [this](const std::optional<registry::NodeRecord>& former) {
        on_former_self(former);
    };
    distributor_.on_new_configuration = [this](std::shared_ptr<const config::Configuration> t) {
        on_new_configuration(std::move(t));
    };
    distributor_.control_nodes = [this] { return gossip_.control_nodes(); };
    if (boot_.outbound) outbound_listener_.listen(*boot_.outbound);
    if (boot_.inbound) inbound_listener_.listen(*boot_.inbound);
    if (boot_.control) control_listener_.listen(*boot_.control);
    if (boot_.readiness) ready_listener_.listen(*boot_.readiness);
    schedule_tally_log();
    gossip_.start();
    update_configuration();
    log_line("GD001 started", "proxy " + boot_.node_name + " of " + boot_.service + " started");
}

bool Proxy::ready() const { return !leaving_ && outbound_.has_configuration() && gossip_.joined(); }

void Proxy::on_former_self(const std::optional<registry::NodeRecord>& former) {
    former_self_known_ = true;
    if (former && former->server) {
        inbound_.restore(*former->server);
        // Kept for a next restart, until the server's next heartbeat.
        gossip_.update_self([&](registry::NodeRecord& own) {
            if (!own.server) own.server = former->server;
        });
    }
    for (const Heartbeat& heartbeat : std::exchange(early_heartbeats_, {})) on_heartbeat(heartbeat);
    if (const auto configuration = distributor_.held()) check_health(*configuration);
}

void Proxy::on_heartbeat(const Heartbeat& heartbeat) {
    if (!former_self_known_) {
        early_heartbeats_.push_back(heartbeat);
        if (early_heartbeats_.size() > kMaxEarlyHeartbeats)
            early_heartbeats_.erase(early_heartbeats_.begin());
        return;
    }
    if (!inbound_.on_heartbeat(heartbeat.instance_id, heartbeat.capacity, heartbeat.closing,
                               heartbeat.call_seq))
        return;
    gossip_.update_self([&](registry::NodeRecord& own) {
        registry::ServerRecord server;
        server.instance_id = heartbeat.instance_id;
        server.service = heartbeat.service;
        server.edition = heartbeat.edition;
        server.capacity = heartbeat.capacity;
        server.closing = heartbeat.closing;
        server.call_seq = heartbeat.call_seq;
        server.warmup_left_s = heartbeat.warmup_left_s;
        own.server = server;
        own.ready = !leaving_;
    });
    outbound_.registry_changed();
}

void Proxy::on_deregistered(const std::string& instance_id) {
    inbound_.on_deregistered(instance_id);
    gossip_.update_self([&](registry::NodeRecord& own) {
        if (!own.server) {  // not heard of since this proxy's start; the others must know it all the same
            own.server.emplace();
            own.server->instance_id = instance_id;
            own.server->service = boot_.service;
        }
        if (own.server->instance_id == instance_id) own.server->closing = true;
    });
    outbound_.registry_changed();
}

void Proxy::on_new_configuration(std::shared_ptr<const config::Configuration> configuration) {
    gossip_.update_self([&](registry::NodeRecord& own) { own.config_edition = configuration->edition; });
    check_health(*configuration);
    update_configuration();
}

void Proxy::activate_configuration(std::shared_ptr<const config::Configuration> configuration) {
    in_force_ = configuration->edition;
    log_line("GD002 configuration", "configuration r" + std::to_string(in_force_) + " in force");
    outbound_.apply_configuration(std::move(configuration));
}

void Proxy::update_configuration() {
    using State = config::StartupConfirmation::State;
    const Millis now = clock_.now();
    if (const auto held = distributor_.held();
        held && held->edition > in_force_ && confirmation_.usable(now, held->edition))
        activate_configuration(held);
    const State state = in_force_ > 0 ? confirmation_.state(now, in_force_) : State::waiting;
    if (state != std::exchange(logged_state_, state) && state == State::unconfirmed)
        log_line("GD008 configuration unconfirmed",
                 "no majority confirmed which configuration is current: using r" + std::to_string(in_force_) +
                     ", the newest received");
    else if (state == State::confirmed && !std::exchange(was_confirmed_, true))
        log_line("GD009 configuration confirmed",
                 "a majority confirmed the configuration in force or an older one");
    if (const auto node = confirmation_.next_to_ask(now, gossip_.control_nodes()))
        distributor_.ask_current(*node, [this, node = *node](const config::CurrentAnswer& answer) {
            confirmation_.on_answer(answer);
            if (answer.kind == config::CurrentAnswer::Kind::current) distributor_.hint(node, answer.edition);
            update_configuration();
        });
    const auto due = confirmation_.due(now);
    if (!due) return;
    confirmation_timer_.expires_at(clock_.point(std::max(*due, now + 1)));
    confirmation_timer_.async_wait([this](error_code ec) {
        if (!ec) update_configuration();
    });
}

void Proxy::check_health(const config::Configuration& configuration) {
    if (boot_.first_boot || !former_self_known_ || health_checked_ || !boot_.app_address ||
        !inbound_.admission().instance_id().empty())
        return;
    const auto service = configuration.services.find(boot_.service);
    if (service == configuration.services.end()) return;
    health_checked_ = true;
    // Until its first heartbeat the server is assumed to have the capacity of others of its service.
    std::uint32_t capacity = kDefaultCapacity;
    gossip_.for_each_node([&](const registry::NodeRecord& node, registry::MemberState) {
        if (node.server && node.server->service == boot_.service)
            capacity = std::max(capacity, node.server->capacity);
    });
    inbound_.check_health(service->second.health_path, capacity,
                          [this, capacity](const std::string& instance_id) {
                              gossip_.update_self([&](registry::NodeRecord& own) {
                                  registry::ServerRecord server;
                                  server.instance_id = instance_id;
                                  server.service = boot_.service;
                                  server.capacity = capacity;
                                  own.server = server;
                                  own.ready = !leaving_;
                              });
                              outbound_.registry_changed();
                          });
}

void Proxy::schedule_tally_log() {
    tally_timer_.expires_after(kTallyInterval);
    tally_timer_.async_wait([this](error_code ec) {
        if (ec) return;
        log_line("GD007 tally", outbound_.status());
        log_link_waits();
        log_refusals();
        schedule_tally_log();
    });
}

void Proxy::reload(const boot::Boot& boot) {
    boot_.bounds = boot.bounds;
    log_line("GD003 settings", "settings reloaded");
}

void Proxy::stop(std::function<void()> done) {
    if (on_stopped_) return;
    on_stopped_ = std::move(done);
    leaving_ = true;
    shutdown_.emplace(clock_.now(), boot_.bound("grace_s", 6) * 1000);
    log_line("GD004 leaving", "received SIGTERM: shutting down");
    gossip_.update_self([](registry::NodeRecord& own) { own.leaving = true, own.ready = false; });
    outbound_.leave(shutdown_->answers_at());
    outbound_listener_.drain();
    advance_shutdown();
}

bool Proxy::holds_requests() const {
    // An answer to another proxy counts as pending until its last byte is written.
    return outbound_listener_.busy() || outbound_.busy() || inbound_.busy() ||
           !inbound_listener_.open_requests().empty();
}

void Proxy::advance_shutdown() {
    while (const auto step = shutdown_->take_due(clock_.now(), holds_requests())) {
        carry_out(*step);
        if (*step == shutdown::Step::end) return;
    }
    timer_.expires_at(clock_.point(shutdown_->next_check(clock_.now())));
    timer_.async_wait([this](error_code ec) {
        if (!ec) advance_shutdown();
    });
}

void Proxy::carry_out(shutdown::Step step) {
    switch (step) {
        case shutdown::Step::close_admission:
            inbound_.leave();
            return inbound_listener_.drain();
        case shutdown::Step::refuse_new:
            outbound_.refuse_new();
            outbound_listener_.stop_accepting();
            return inbound_listener_.stop_accepting();
        case shutdown::Step::answer_held:
            if (outbound_.busy())
                log_line("GD011 answers what it holds",
                         "the grace time is nearly over: answering all pending requests now");
            if (link_) link_->release();
            return outbound_.answer_all();
        case shutdown::Step::end:
            log_unanswered();
            log_link_waits();
            log_refusals();
            log_line("GD005 ended",
                     holds_requests() ? "stopped with requests pending" : "stopped with no requests pending");
            gossip_.stop();
            return on_stopped_();
    }
}

void Proxy::log_unanswered() const {
    for (const Listener::OpenRequest& request : outbound_listener_.open_requests())
        log_unanswered_request("a client's", request);
    for (const Listener::OpenRequest& request : inbound_listener_.open_requests())
        log_unanswered_request("another proxy's", request);
}

void Proxy::log_link_waits() {
    if (!link_) return;
    const PacedLink::WaitStats waits = link_->take_wait_stats();
    if (waits.answers == 0) return;
    log_line("GD012 link",
             std::to_string(waits.answers) + " long answers sent over the link; the slowest, of " +
                 std::to_string(waits.longest_bytes) + " bytes, took " +
                 std::to_string(static_cast<long>(waits.longest)) + " ms",
             {{"answers", waits.answers},
              {"longest_ms", waits.longest},
              {"longest_bytes", static_cast<std::uint64_t>(waits.longest_bytes)}});
}

void Proxy::log_refusals() {
    const hop::AttemptRules::Counts sent = outbound_.counts();
    const exchange::Irregularities& server = inbound_.irregularities();
    const auto text = [](std::uint64_t count) { return std::to_string(count); };
    log_line("GD013 refusals",
             "refused " + text(sent.refused.total()) + ": unsent " + text(sent.refused.unsent) +
                 ", by admissions " + text(sent.refused.by_admission) + ", by servers " +
                 text(sent.refused.by_server) + ", server unreachable " +
                 text(sent.refused.server_unreachable) + "; unmarked answers " + text(sent.unmarked) +
                 "; at the server: other answers " + text(server.other_answers) + ", late inputs " +
                 text(server.late_inputs) + ", unattributed " + text(server.unattributed) + ", cut short " +
                 text(server.cut_short),
             {{"refused", sent.refused.total()},
              {"unsent", sent.refused.unsent},
              {"by_admission", sent.refused.by_admission},
              {"by_server", sent.refused.by_server},
              {"server_unreachable", sent.refused.server_unreachable},
              {"unmarked", sent.unmarked},
              {"other_answers", server.other_answers},
              {"late_inputs", server.late_inputs},
              {"unattributed", server.unattributed},
              {"cut_short", server.cut_short}});
}

std::string Proxy::status() const {
    Json::Value all;
    all["node"] = boot_.node_name;
    all["ready"] = ready();
    all["configuration"] = Json::UInt64(in_force_);
    all["configuration_held"] = Json::UInt64(distributor_.edition());
    all["configuration_confirmed"] = was_confirmed_;
    all["life"] = inbound_.admission().instance_id();
    all["capacity"] = inbound_.admission().capacity();
    all["closing"] = inbound_.admission().closing();
    all["memory_held"] = Json::UInt64(memory_.held());
    all["memory_released"] = Json::UInt64(memory_.released());
    all["working"] = Json::UInt64(inbound_.admission().working());
    all["waiting"] = Json::UInt64(inbound_.admission().waiting());
    const auto nested = [](const std::string& text) {
        Json::Value value;
        Json::CharReaderBuilder builder;
        const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
        std::string ignored;
        reader->parse(text.data(), text.data() + text.size(), &value, &ignored);
        return value;
    };
    all["services"] = nested(outbound_.status());
    all["news"] = nested(gossip_.status());
    Json::StreamWriterBuilder writer;
    writer["indentation"] = "";
    return Json::writeString(writer, all);
}

}  // namespace cobaltshift::proxy
