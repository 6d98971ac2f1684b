#include "wire.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <istream>
#include <ostream>

#include "names.hpp"

namespace cobaltshift::wire {

namespace {

template <class T>
bool parse(std::string_view text, T& value) {
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc() && end == text.data() + text.size();
}

template <class T>
using Names = std::vector<std::pair<std::string_view, T>>;

template <class T>
T value_of(const Message& message, std::string_view field, const Names<T>& names) {
    const std::string_view text = message.text(field);
    for (const auto& [name, value] : names)
        if (name == text) return value;
    message.fail(field, "is not a known word");
}

const Names<Phase> phases{{"on", Phase::on}, {"fading", Phase::draining}, {"off", Phase::off}};
const Names<ListKind> list_kinds{{"INCREMENTAL", ListKind::incremental},
                                 {"FULL", ListKind::full},
                                 {"SAVED", ListKind::saved},
                                 {"FAILED", ListKind::failed}};
const Names<Effect> effects{
    {"repeatable", Effect::repeatable}, {"by_key", Effect::by_key}, {"once", Effect::once}};
const Names<DedupScope> scopes{
    {"all", DedupScope::all}, {"zone", DedupScope::zone}, {"cell", DedupScope::cell}};
const Names<Outcome> outcomes{{"completed", Outcome::completed},
                              {"errored", Outcome::errored},
                              {"saturated", Outcome::saturated},
                              {"overdue", Outcome::timed_out},
                              {"refused_conn", Outcome::refused_connection},
                              {"severed", Outcome::connection_lost},
                              {"recalled", Outcome::cancelled},
                              {"superseded", Outcome::not_sent}};

std::vector<std::string> split(std::string_view list) {
    std::vector<std::string> items;
    while (!list.empty()) {
        const auto comma = list.find(',');
        items.emplace_back(list.substr(0, comma));
        list = comma == std::string_view::npos ? std::string_view() : list.substr(comma + 1);
    }
    return items;
}

void add_number(std::string& line, double value) {
    char buffer[40];
    const auto end = std::to_chars(buffer, buffer + sizeof buffer, value, std::chars_format::fixed, 3).ptr;
    line.append(buffer, end);
}

void add_hex(std::string& line, const std::vector<std::uint8_t>& bytes) {
    if (bytes.empty()) line += '-';
    for (const std::uint8_t byte : bytes) {
        line += "0123456789abcdef"[byte >> 4];
        line += "0123456789abcdef"[byte & 15];
    }
}

template <class... Ts>
struct Overloaded : Ts... {
    using Ts::operator()...;
};
template <class... Ts>
Overloaded(Ts...) -> Overloaded<Ts...>;

}  // namespace

// ---- Codec ----------------------------------------------------------------------------------------------

Message::Message(std::string_view line, std::size_t number) : line_(number) {
    if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
    const auto space = line.find(' ');
    kind_ = line.substr(0, space);
    if (kind_.empty()) throw WireError("line " + std::to_string(line_) + ": empty line");
    std::string_view rest = space == std::string_view::npos ? std::string_view() : line.substr(space + 1);
    while (!rest.empty()) {
        const auto gap = rest.find(' ');
        const std::string_view pair = rest.substr(0, gap);
        rest = gap == std::string_view::npos ? std::string_view() : rest.substr(gap + 1);
        const auto equals = pair.find('=');
        if (equals == std::string_view::npos || equals == 0) fail(pair, "is not name=value");
        fields_.emplace_back(pair.substr(0, equals), pair.substr(equals + 1));
    }
}

void Message::fail(std::string_view field, std::string_view what) const {
    throw WireError("line " + std::to_string(line_) + ": " + std::string(kind_) + ": field '" +
                    std::string(field) + "' " + std::string(what));
}

const std::string_view* Message::find(std::string_view field) const {
    for (const auto& [name, value] : fields_)
        if (name == field) return &value;
    return nullptr;
}

std::string_view Message::text(std::string_view field) const {
    const auto* value = find(field);
    if (!value) fail(field, "is missing");
    return *value;
}

double Message::number(std::string_view field) const {
    double value = 0;
    if (!parse(text(field), value) || !std::isfinite(value)) fail(field, "is not a number");
    return value;
}

double Message::number_or(std::string_view field, double fallback) const {
    return has(field) ? number(field) : fallback;
}

std::uint64_t Message::integer(std::string_view field) const {
    std::uint64_t value = 0;
    if (!parse(text(field), value)) fail(field, "is not a whole number");
    return value;
}

std::uint64_t Message::integer_or(std::string_view field, std::uint64_t fallback) const {
    return has(field) ? integer(field) : fallback;
}

bool Message::flag_or(std::string_view field, bool fallback) const {
    if (!has(field)) return fallback;
    const std::string_view value = text(field);
    if (value == "1" || value == "true") return true;
    if (value == "0" || value == "false") return false;
    fail(field, "is not a truth value");
}

ZoneId StartConfig::zone(std::string_view name) {
    const auto at = std::find(zones.begin(), zones.end(), name);
    const auto id = static_cast<ZoneId>(at - zones.begin());
    if (at == zones.end()) zones.emplace_back(name);
    return id;
}

StartConfig read_start(const Message& start) {
    StartConfig config;
    Settings& s = config.settings;
    if (start.has("azs")) config.zones = split(start.text("azs"));
    if (start.has("my-zone")) s.my_zone = config.zone(start.text("my-zone"));
    for (std::uint64_t i = 0, count = start.integer("classes.count"); i < count; ++i) {
        const std::string prefix = "classes." + std::to_string(i) + ".";
        RequestClass c;
        c.effect = value_of(start, prefix + "effect", effects);
        if (start.has(prefix + "dedup-scope"))
            c.dedup_scope = value_of(start, prefix + "dedup-scope", scopes);
        c.dedup_window = start.number_or(prefix + "dedup-window-ms", c.dedup_window);
        c.latency_target = start.number(prefix + "on-time-ms");
        c.latency_target_stretch = start.number_or(prefix + "aim-stretch", c.latency_target_stretch);
        c.worth = start.number_or(prefix + "credit", c.worth);
        c.late_worth = start.number_or(prefix + "late-value", c.late_worth);
        s.classes.push_back(c);
        config.classes.emplace_back(start.text(prefix + "name"));
    }
    if (start.has("membership-mode")) s.subscribe_to_list = start.text("membership-mode") == "on_request";
    s.sidecar_count = static_cast<std::uint32_t>(start.integer_or("siblings", s.sidecar_count));
    s.max_attempts = static_cast<std::uint32_t>(start.integer_or("limits.max-attempts", s.max_attempts));
    s.parallel_attempts = start.flag_or("limits.parallel-tries", s.parallel_attempts);
    s.may_cancel = start.flag_or("limits.may-cancel", false);
    s.may_probe = start.flag_or("limits.may-probe", false);
    s.may_message_peers = start.flag_or("limits.may-tell", false);
    s.sidecar_index = static_cast<std::uint32_t>(start.integer_or("my-number", 0));
    s.cold_capacity = start.number_or("rules.cold-from", s.cold_capacity);
    s.overload_multiple = start.number_or("rules.fall-multiple", s.overload_multiple);
    s.warmup_time = start.number_or("rules.warm-within-ms", s.warmup_time);
    s.fees.cross_zone = start.number_or("fees.cross-zone", s.fees.cross_zone);
    s.fees.peer = start.number_or("fees.peer", s.fees.peer);
    s.fees.probe = start.number_or("fees.probe", s.fees.probe);
    s.fees.handshake = start.number_or("fees.handshake", s.fees.handshake);
    for (std::uint64_t i = 0, count = start.integer_or("tenants.count", 0); i < count; ++i) {
        const std::string prefix = "tenants." + std::to_string(i) + ".";
        config.tenants.emplace_back(start.text(prefix + "name"));
        s.tenants.push_back({start.number_or(prefix + "quota-per-s", 0)});
    }
    s.over_quota_worth = start.number_or("over-share-worth", s.over_quota_worth);
    return config;
}

Outcome read_outcome(const Message& message) { return value_of(message, "rc", outcomes); }

std::vector<std::uint8_t> read_bytes(const Message& message, std::string_view field) {
    std::vector<std::uint8_t> bytes;
    const std::string_view hex = message.text(field);
    if (hex == "-") return bytes;
    if (hex.size() % 2) message.fail(field, "is not hex");
    for (std::size_t i = 0; i < hex.size(); i += 2) {
        std::uint8_t byte = 0;
        const auto [end, error] = std::from_chars(hex.data() + i, hex.data() + i + 2, byte, 16);
        if (error != std::errc() || end != hex.data() + i + 2) message.fail(field, "is not hex");
        bytes.push_back(byte);
    }
    return bytes;
}

// ---- Host -----------------------------------------------------------------------------------------------

// One simulated sidecar: its balancer, and the simulator's names of the balancer's ids. A request's name is
// kept until the request and all its attempts have ended, a server's while it is listed or has an outstanding
// attempt.
struct Host::Instance {
    struct Request {
        std::string name;
        std::uint32_t outstanding = 0;
        bool ended = false;
    };
    struct Server {
        std::string name;
        std::uint32_t outstanding = 0;
        bool listed = false;
    };

    Instance(std::string name_, StartConfig config_, std::uint64_t seed)
        : name(std::move(name_)), config(std::move(config_)), balancer(config.settings, seed) {}

    ServerId server(const std::string& server_name) {
        const auto known = server_ids.find(server_name);
        if (known != server_ids.end()) return known->second;
        const ServerId id = server_number(server_name, [&](ServerId n) { return servers.count(n) > 0; });
        server_ids[server_name] = id;
        servers[id].name = server_name;
        return id;
    }

    void erase_request_if_ended(RequestId id) {
        const auto at = requests.find(id);
        if (at == requests.end() || !at->second.ended || at->second.outstanding > 0) return;
        request_ids.erase(at->second.name);
        requests.erase(at);
    }
    void end_request(RequestId id) {
        if (const auto at = requests.find(id); at != requests.end()) at->second.ended = true;
        erase_request_if_ended(id);
    }
    void erase_server_if_unused(ServerId id) {
        const auto at = servers.find(id);
        if (at == servers.end() || at->second.listed || at->second.outstanding > 0) return;
        server_ids.erase(at->second.name);
        servers.erase(at);
    }

    std::string name;
    StartConfig config;
    Balancer balancer;
    std::unordered_map<std::string, RequestId> request_ids;
    std::unordered_map<RequestId, Request> requests;
    std::unordered_map<std::string, ServerId> server_ids;
    std::map<ServerId, Server> servers;
    RequestId next_request = 1;
};

Host::Host(std::istream& in, std::ostream& out, std::ostream& err) : in_(in), out_(out), err_(err) {}
Host::~Host() = default;

bool Host::next_line(std::string& line) {
    if (!std::getline(in_, line)) return false;
    ++line_;
    return true;
}

int Host::run() {
    try {
        for (std::string line; next_line(line);) {
            const Message mark(line, line_);
            if (mark.kind() != "MARK") mark.fail(mark.kind(), "stands where MARK is due");
            run_batch(mark);
        }
    } catch (const WireError& error) {
        err_ << "kelplb_simhost: " << error.what() << '\n';
        return 2;
    }
    return 0;
}

void Host::run_batch(const Message& mark) {
    now_ = mark.number("now-ms");
    const std::uint64_t frame = mark.integer("frame");
    reply_.clear();
    for (std::string line;;) {
        if (!next_line(line))
            throw WireError("line " + std::to_string(line_) + ": MARK: input ends before 'OVER_TO_YOU'");
        const Message message(line, line_);
        if (message.kind() == "OVER_TO_YOU") break;
        handle_event(message);
    }
    out_ << reply_ << "END frame=" << frame << '\n' << std::flush;
}

void Host::handle_event(const Message& message) {
    const std::string_view kind = message.kind();
    if (kind == "CATALOG") return read_catalog(message);
    if (kind == "START") return start_instance(message);
    static const std::vector<std::string_view> known{"POWER_OFF",     "PEERS_KNOWN", "ACCEPT",
                                                     "HEAD_RECEIVED", "VERDICT",     "EXPIRED",
                                                     "TICK_DUE",      "HEALTH",      "MEMO"};
    if (std::find(known.begin(), known.end(), kind) == known.end()) {
        if (std::find(unknown_kinds_.begin(), unknown_kinds_.end(), kind) == unknown_kinds_.end()) {
            unknown_kinds_.emplace_back(kind);
            err_ << "kelplb_simhost: line " << line_ << ": unknown event " << kind << " skipped\n";
        }
        return;
    }
    const auto at = instances_.find(message.text("who"));
    if (at == instances_.end()) message.fail("who", "names an instance that is not running");
    Instance& instance = at->second;
    if (kind == "POWER_OFF") {
        instances_.erase(at);
    } else if (kind == "PEERS_KNOWN") {
        handle_list(instance, message);
    } else if (kind == "ACCEPT") {
        RequestArrived arrived;
        arrived.time_left = message.number("time-left-ms");
        arrived.effort = message.number_or("effort-ms", 0);
        arrived.repeat = message.flag_or("repeat", false);
        const auto& classes = instance.config.classes;
        const auto grade = std::find(classes.begin(), classes.end(), message.text("grade"));
        arrived.class_index = static_cast<std::uint32_t>(grade - classes.begin());
        if (message.has("realm")) {
            const auto& tenants = instance.config.tenants;
            const auto realm = std::find(tenants.begin(), tenants.end(), message.text("realm"));
            arrived.tenant = static_cast<std::uint32_t>(realm - tenants.begin());
        }
        const std::string rid(message.text("rid"));
        const auto [known_id, fresh] = instance.request_ids.try_emplace(rid, instance.next_request);
        if (!fresh) message.fail("rid", "was given before");
        arrived.id = known_id->second;
        instance.requests[instance.next_request++].name = rid;
        deliver(instance, arrived);
    } else if (kind == "HEAD_RECEIVED" || kind == "EXPIRED") {
        const auto request = instance.request_ids.find(std::string(message.text("rid")));
        const bool gone = kind == "EXPIRED";
        const auto hop = gone ? 0 : static_cast<std::uint32_t>(message.integer("hop"));
        if (request == instance.request_ids.end()) return;  // the instance has already ended it
        const RequestId id = request->second;
        deliver(instance, gone ? Event(ClientGone{id}) : Event(FirstByte{id, hop}));
        if (gone) instance.end_request(id);
    } else if (kind == "VERDICT") {
        handle_attempt_ended(instance, message);
    } else if (kind == "TICK_DUE") {
        deliver(instance, TimerFired{message.integer("nonce")});
    } else if (kind == "HEALTH") {
        const auto server = instance.server_ids.find(std::string(message.text("server")));
        const ProbeEnded probed{server == instance.server_ids.end() ? 0 : server->second,
                                read_outcome(message), message.number_or("duration-ms", 0)};
        if (server != instance.server_ids.end()) deliver(instance, probed);
    } else {
        deliver(instance, PeerMessage{static_cast<std::uint32_t>(message.integer("src-peer")),
                                      read_bytes(message, "msg")});
    }
}

void Host::read_catalog(const Message& message) {
    const std::uint64_t ref = message.integer("ref");
    if (ref >= catalogs_.size()) message.fail("ref", "is out of range");
    const std::uint64_t count = message.integer("items");
    std::vector<CatalogEntry> entries;
    for (std::uint64_t i = 0; i < count; ++i) {
        std::string line;
        if (!next_line(line))
            throw WireError("line " + std::to_string(line_) + ": CATALOG: input ends within 'items'");
        const Message entry(line, line_);
        if (entry.kind() != "M") message.fail("items", "does not match the entries that follow");
        CatalogEntry e;
        e.server = entry.text("server");
        if (entry.has("rack-zone")) e.zone = entry.text("rack-zone");
        e.cell = static_cast<std::uint32_t>(entry.integer_or("pod", 0));
        e.phase = value_of(entry, "phase", phases);
        e.online_since = entry.number_or("online-since-ms", 0);
        e.units = entry.number_or("units", 1);
        entries.push_back(std::move(e));
    }
    catalogs_[ref] = std::move(entries);
}

void Host::start_instance(const Message& message) {
    const std::string name(message.text("who"));
    const std::uint64_t seed = message.integer("entropy");
    instances_.erase(name);
    try {
        const auto at = instances_.try_emplace(name, name, read_start(message), seed).first;
        deliver(at->second, Started{});
    } catch (const std::invalid_argument& error) {
        reply_ += "FAULT who=" + name + " words=" + error.what() + "\n";
    }
}

void Host::handle_list(Instance& instance, const Message& message) {
    ServerList list{value_of(message, "mode", list_kinds), {}};
    if (list.kind != ListKind::failed) {
        const std::uint64_t ref = message.integer("ref");
        if (ref >= catalogs_.size()) message.fail("ref", "is out of range");
        if (list.kind != ListKind::incremental)
            for (auto& [id, server] : instance.servers) server.listed = false;
        for (const CatalogEntry& e : catalogs_[ref]) {
            const ServerId id = instance.server(e.server);
            instance.servers[id].listed = e.phase != Phase::off;
            list.servers.push_back(
                {id, instance.config.zone(e.zone), e.cell, e.phase, e.online_since, e.units});
        }
    }
    deliver(instance, list);
    if (list.kind == ListKind::failed) return;
    std::vector<ServerId> ids;
    for (const auto& [id, server] : instance.servers) ids.push_back(id);
    for (const ServerId id : ids) instance.erase_server_if_unused(id);
}

void Host::handle_attempt_ended(Instance& instance, const Message& message) {
    AttemptEnded ended;
    ended.attempt = static_cast<std::uint32_t>(message.integer("hop"));
    ended.outcome = read_outcome(message);
    ended.duration = message.number_or("duration-ms", 0);
    ended.request_ended = message.flag_or("terminal", false);
    const auto server = instance.server_ids.find(std::string(message.text("server")));
    const auto request = instance.request_ids.find(std::string(message.text("rid")));
    if (request == instance.request_ids.end()) return;
    ended.id = request->second;
    Instance::Request& request_state = instance.requests.at(ended.id);
    if (request_state.outstanding > 0) --request_state.outstanding;
    if (ended.request_ended) request_state.ended = true;
    deliver(instance, ended);
    instance.erase_request_if_ended(ended.id);
    if (server == instance.server_ids.end()) return;
    const ServerId id = server->second;
    if (Instance::Server& s = instance.servers.at(id); s.outstanding > 0) --s.outstanding;
    instance.erase_server_if_unused(id);
}

void Host::deliver(Instance& instance, const Event& event) {
    actions_.clear();
    try {
        instance.balancer.handle(now_, event, actions_);
    } catch (const std::exception& error) {
        reply_ += "FAULT who=" + instance.name + " words=" + error.what() + "\n";
        return;
    }
    for (const Action& action : actions_) write_action(instance, action);
}

void Host::write_action(Instance& instance, const Action& action) {
    const auto head = [&](std::string_view kind) { (reply_ += kind) += " who=" + instance.name; };
    const auto request = [&](std::string_view kind, RequestId id) {
        head(kind);
        reply_ += " rid=" + instance.requests.at(id).name;
    };
    const auto server = [&](ServerId id) { reply_ += " server=" + instance.servers.at(id).name; };
    const auto time = [&](std::string_view field, Millis value) {
        (reply_ += field) += '=';
        add_number(reply_, value);
    };
    std::visit(Overloaded{[&](const Send& a) {
                              request("DISPATCH", a.id);
                              server(a.server);
                              time(" try-until-ms", a.attempt_deadline);
                              ++instance.requests.at(a.id).outstanding;
                              ++instance.servers.at(a.server).outstanding;
                          },
                          [&](const Cancel& a) {
                              request("ABANDON", a.id);
                              reply_ += " hop=" + std::to_string(a.attempt);
                          },
                          [&](const Refuse& a) {
                              request("DECLINE", a.id);
                              if (a.retry_in > 0) time(" retry-in-ms", a.retry_in);
                              instance.end_request(a.id);
                          },
                          [&](const Fail& a) {
                              request("GIVE_UP", a.id);
                              instance.end_request(a.id);
                          },
                          [&](const SetTimer& a) {
                              head("AFTER");
                              time(" at-ms", a.at);
                              reply_ += " nonce=" + std::to_string(a.token);
                          },
                          [&](const Probe& a) { head("ASK_LOAD"), server(a.server); },
                          [&](const CloseIdle& a) { head("SHUT_IDLE"), server(a.server); },
                          [&](const SendToPeer& a) {
                              head("WRITE_PEER");
                              reply_ +=
                                  " dst=" + (a.to ? std::to_string(*a.to) : std::string("all")) + " msg=";
                              add_hex(reply_, a.bytes);
                          },
                          [&](const Subscribe& a) {
                              head("SUBSCRIBE");
                              reply_ += a.active ? " active=1" : " active=0";
                          },
                          [&](const FetchList&) { head("READ_LIST"); },
                          [&](const Log& a) {
                              head("PRINT");
                              reply_ += " words=";
                              if (a.server) reply_ += instance.servers.at(*a.server).name + " ";
                              for (const char c : a.text) reply_ += c == '\n' || c == '\r' ? ' ' : c;
                          }},
               action);
    reply_ += '\n';
}

}  // namespace cobaltshift::wire
