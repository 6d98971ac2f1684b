#include "proxy/proxy.hpp"

#include <json/json.h>

#include "log/log.hpp"

namespace cobaltshift::proxy {

namespace {
constexpr std::uint64_t kMostCall = 64 * 1024;  // bytes of a beat
constexpr std::chrono::seconds kTallyEvery{60};
constexpr std::uint32_t kCapacityUnheard = 4;  // of a server whose health answered before its first beat

// Some of the link is for what is not answers: requests, gossip, heads of packets, acknowledgements. Shared
// out at a higher rate than it bears, it makes a queue in the kernel, in which short answers wait.
constexpr double kLinkShare = 0.90, kBytesPerMsOfMbps = 125;

std::unique_ptr<PacedLink> link_of(asio::io_context& io, const Clock& clock, const boot::Boot& boot) {
    if (boot.link_mbps <= 0) return nullptr;
    return std::make_unique<PacedLink>(io, clock, boot.link_mbps * kBytesPerMsOfMbps * kLinkShare);
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

// `whose`: who waits for the answer.
void log_request_cut(const char* whose, const Listener::OpenRequest& request) {
    const std::string stage = name_of(request.stage);
    log_line("GD010 request cut",
             std::string("the process ends with ") + whose + " request unanswered: " + stage + " " +
                 request.name + " for " + std::to_string(static_cast<long>(request.age)) + " ms, " +
                 std::to_string(request.answer_left) + " bytes left",
             {{"whose", whose},
              {"stage", stage},
              {"request", request.name},
              {"age_ms", request.age},
              {"answer_left", static_cast<std::uint64_t>(request.answer_left)}});
}

Listener::Limits limits(const boot::Boot& boot, double share) {
    const auto descriptors = static_cast<std::size_t>(static_cast<double>(boot.file_limit - 200) * share);
    return {descriptors, descriptors, (boot.memory_mb << 20) / 4};
}
}  // namespace

Proxy::Proxy(asio::io_context& io, boot::Boot boot, std::uint64_t seed)
    : io_(io),
      boot_(std::move(boot)),
      gossip_(io, boot_, registry::NodeRole::proxy, boot_.inbound ? boot_.inbound->port() : 0),
      distributor_(io, boot_.ip, static_cast<std::uint16_t>(boot_.first_port + 1)),
      confirmation_({}, clock_.now()),
      link_(link_of(io, clock_, boot_)),
      inbound_(io, clock_, boot_,
               {[this] { return distributor_.held() ? distributor_.held()->edition : 0; },
                [this](std::uint64_t edition) {
                    // Whom it came from is not known here; the hubs have it, or know who has.
                    for (const std::uint32_t hub : gossip_.hubs()) distributor_.hint(hub, edition);
                }},
               link_.get()),
      outbound_(io, clock_, boot_,
                {[this] { return gossip_.live_proxies(); },
                 [this](const auto& visit) {
                     visit(gossip_.self(), registry::Standing::alive);
                     gossip_.each([&](const registry::NodeRecord& node, registry::Standing standing) {
                         if (node.role == registry::NodeRole::proxy) visit(node, standing);
                     });
                 },
                 [this](std::uint32_t ip, std::uint64_t edition) { distributor_.hint(ip, edition); },
                 [this](std::uint32_t ip) { gossip_.unreachable(ip); }},
                seed),
      beats_({[this](const Beat& beat) { heard_beat(beat); },
              [this](const std::string& life) { heard_gone(life); }}),
      ready_([this] { return ready(); }),
      control_front_(kMostCall),
      ready_front_(kMostCall),
      outbound_listener_(io, clock_, outbound_, limits(boot_, 0.35), link_.get()),
      inbound_listener_(io, clock_, inbound_, limits(boot_, 0.25), link_.get()),
      control_listener_(io, clock_, control_front_, limits(boot_, 0.02)),
      ready_listener_(io, clock_, ready_front_, limits(boot_, 0.02)),
      timer_(io),
      tally_timer_(io),
      confirmation_timer_(io) {
    control_front_.add(beats_);
    ready_front_.add(ready_);
    gossip_.on_change = [this](const registry::NodeRecord&, registry::Standing) {
        outbound_.registry_changed();
    };
    gossip_.on_configuration = [this](std::uint32_t ip, std::uint64_t edition) {
        distributor_.hint(ip, edition);
    };
    distributor_.on_new = [this](std::shared_ptr<const config::Configuration> t) { took(std::move(t)); };
    distributor_.control_nodes = [this] { return gossip_.hubs(); };
    if (boot_.outbound) outbound_listener_.listen(*boot_.outbound);
    if (boot_.inbound) inbound_listener_.listen(*boot_.inbound);
    if (boot_.control) control_listener_.listen(*boot_.control);
    if (boot_.readiness) ready_listener_.listen(*boot_.readiness);
    tally();
    gossip_.start();
    reconsider_configuration();
    log_line("GD001 started", "proxy " + boot_.node_name + " of " + boot_.service + " started");
}

bool Proxy::ready() const { return !leaving_ && outbound_.holds() && gossip_.joined(); }

void Proxy::heard_beat(const Beat& beat) {
    if (!inbound_.beat(beat.life, beat.capacity, beat.closing, beat.call_seq)) return;
    gossip_.tell([&](registry::NodeRecord& own) {
        registry::ServerRecord server;
        server.life = beat.life;
        server.service = beat.service;
        server.edition = beat.edition;
        server.capacity = beat.capacity;
        server.closing = beat.closing;
        server.call_seq = beat.call_seq;
        server.warmup_left_s = beat.warmup_left_s;
        own.server = server;
        own.ready = !leaving_;
    });
    outbound_.registry_changed();
}

void Proxy::heard_gone(const std::string& life) {
    inbound_.gone(life);
    gossip_.tell([&](registry::NodeRecord& own) {
        if (own.server && own.server->life == life) own.server->closing = true;
    });
    outbound_.registry_changed();
}

void Proxy::took(std::shared_ptr<const config::Configuration> configuration) {
    gossip_.tell([&](registry::NodeRecord& own) { own.config_edition = configuration->edition; });
    ask_health(*configuration);
    reconsider_configuration();
}

void Proxy::put_in_force(std::shared_ptr<const config::Configuration> configuration) {
    in_force_ = configuration->edition;
    log_line("GD002 configuration", "configuration r" + std::to_string(in_force_) + " in force");
    outbound_.hold(std::move(configuration));
}

void Proxy::reconsider_configuration() {
    using State = config::StartupConfirmation::State;
    const Millis now = clock_.now();
    if (const auto held = distributor_.held();
        held && held->edition > in_force_ && confirmation_.usable(now, held->edition))
        put_in_force(held);
    const State state = in_force_ > 0 ? confirmation_.state(now, in_force_) : State::waiting;
    if (state != std::exchange(told_state_, state) && state == State::unconfirmed)
        log_line("GD008 configuration unconfirmed",
                 "no majority could be asked which configuration is current: r" + std::to_string(in_force_) +
                     " is the newest that anybody told");
    else if (state == State::confirmed && !std::exchange(told_confirmed_, true))
        log_line("GD009 configuration confirmed",
                 "a majority confirmed the configuration in force or an older one");
    if (const auto node = confirmation_.next_to_ask(now, gossip_.hubs()))
        distributor_.ask_current(*node, [this, node = *node](const config::CurrentAnswer& answer) {
            confirmation_.on_answer(answer);
            if (answer.kind == config::CurrentAnswer::Kind::current) distributor_.hint(node, answer.edition);
            reconsider_configuration();
        });
    const auto due = confirmation_.due(now);
    if (!due) return;
    confirmation_timer_.expires_at(clock_.point(std::max(*due, now + 1)));
    confirmation_timer_.async_wait([this](error_code ec) {
        if (!ec) reconsider_configuration();
    });
}

void Proxy::ask_health(const config::Configuration& configuration) {
    if (boot_.first_boot || asked_health_ || !boot_.app_address || !inbound_.admission().life().empty())
        return;
    const auto service = configuration.services.find(boot_.service);
    if (service == configuration.services.end()) return;
    asked_health_ = true;
    // As large as the others of its service, until it says so itself.
    std::uint32_t capacity = kCapacityUnheard;
    gossip_.each([&](const registry::NodeRecord& node, registry::Standing) {
        if (node.server && node.server->service == boot_.service)
            capacity = std::max(capacity, node.server->capacity);
    });
    inbound_.ask_health(service->second.health_path, capacity, [this, capacity](const std::string& life) {
        gossip_.tell([&](registry::NodeRecord& own) {
            registry::ServerRecord server;
            server.life = life;
            server.service = boot_.service;
            server.capacity = capacity;
            own.server = server;
            own.ready = !leaving_;
        });
        outbound_.registry_changed();
    });
}

void Proxy::tally() {
    tally_timer_.expires_after(kTallyEvery);
    tally_timer_.async_wait([this](error_code ec) {
        if (ec) return;
        log_line("GD007 tally", outbound_.status());
        log_link_waits();
        tally();
    });
}

void Proxy::reload(const boot::Boot& boot) {
    boot_.bounds = boot.bounds;
    log_line("GD003 settings", "settings read again");
}

void Proxy::stop(std::function<void()> done) {
    if (stopped_) return;
    stopped_ = std::move(done);
    leaving_ = true;
    shutdown_.emplace(clock_.now(), boot_.bound("grace_s", 6) * 1000);
    log_line("GD004 leaving", "SIGTERM: takes no new work");
    gossip_.tell([](registry::NodeRecord& own) { own.leaving = true, own.ready = false; });
    outbound_.leave(shutdown_->answers_at());
    outbound_listener_.drain();
    proceed_to_end();
}

bool Proxy::holds_requests() const {
    // An answer to another proxy is not over before its last byte is written.
    return outbound_listener_.busy() || outbound_.busy() || inbound_.busy() ||
           !inbound_listener_.open_requests().empty();
}

void Proxy::proceed_to_end() {
    while (const auto step = shutdown_->take_due(clock_.now(), holds_requests())) {
        carry_out(*step);
        if (*step == shutdown::Step::end) return;
    }
    timer_.expires_at(clock_.point(shutdown_->next_look(clock_.now())));
    timer_.async_wait([this](error_code ec) {
        if (!ec) proceed_to_end();
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
                         "the grace time is nearly over: requests that are held are answered as they are");
            if (link_) link_->release();
            return outbound_.answer_all();
        case shutdown::Step::end:
            log_unanswered();
            log_link_waits();
            log_line("GD005 ended",
                     holds_requests() ? "ended with requests held" : "ended with nothing held");
            gossip_.stop();
            return stopped_();
    }
}

void Proxy::log_unanswered() const {
    for (const Listener::OpenRequest& request : outbound_listener_.open_requests())
        log_request_cut("a client's", request);
    for (const Listener::OpenRequest& request : inbound_listener_.open_requests())
        log_request_cut("another proxy's", request);
}

void Proxy::log_link_waits() {
    if (!link_) return;
    const PacedLink::Waits waits = link_->take_waits();
    if (waits.answers == 0) return;
    log_line("GD012 link",
             std::to_string(waits.answers) +
                 " long answers left by the link; the one that waited longest, of " +
                 std::to_string(waits.longest_bytes) + " bytes, took " +
                 std::to_string(static_cast<long>(waits.longest)) + " ms",
             {{"answers", waits.answers},
              {"longest_ms", waits.longest},
              {"longest_bytes", static_cast<std::uint64_t>(waits.longest_bytes)}});
}

std::string Proxy::status() const {
    Json::Value all;
    all["node"] = boot_.node_name;
    all["ready"] = ready();
    all["configuration"] = Json::UInt64(in_force_);
    all["configuration_held"] = Json::UInt64(distributor_.edition());
    all["configuration_confirmed"] = told_confirmed_;
    all["life"] = inbound_.admission().life();
    all["capacity"] = inbound_.admission().capacity();
    all["closing"] = inbound_.admission().closing();
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
