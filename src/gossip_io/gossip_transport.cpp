#include "gossip_io/gossip_transport.hpp"

#include <sys/random.h>

#include <algorithm>
#include <utility>

#include "gossip_io/status.hpp"
#include "log/log.hpp"

namespace cobaltshift::gossip_io {

using gossip::Gossip;
using gossip::Message;

namespace {

std::uint32_t parse_ip(const std::string& text) {
    error_code ec;
    const auto address = asio::ip::make_address_v4(text, ec);
    if (ec) throw boot::BootError("ip: not an IPv4 address: " + text);
    return address.to_uint();
}

std::uint64_t random_seed() {
    std::uint64_t seed = 0;
    if (::getrandom(&seed, sizeof seed, GRND_NONBLOCK) != static_cast<ssize_t>(sizeof seed))
        seed = static_cast<std::uint64_t>(Clock::Steady::now().time_since_epoch().count());
    return seed;
}

std::vector<std::uint32_t> seeds_of(const boot::Boot& boot, std::uint32_t own) {
    std::vector<std::uint32_t> seeds;
    for (const auto& seed : boot.seeds)
        if (seed.address().is_v4() && seed.address().to_v4().to_uint() != own)
            seeds.push_back(seed.address().to_v4().to_uint());
    return seeds;
}

gossip::GossipSettings settings_of(const std::vector<std::uint32_t>& seeds, bool restarted) {
    gossip::GossipSettings settings;
    settings.seeds = seeds;
    settings.seed = random_seed();
    settings.restarted = restarted;
    return settings;
}

NodeRecord record_of(const boot::Boot& boot, registry::NodeRole role, std::uint16_t traffic_port) {
    NodeRecord record;
    record.ip = parse_ip(boot.ip);
    record.role = role;
    record.zone = boot.zone;
    record.traffic_port = traffic_port;
    return record;
}

constexpr int kMaxReadsPerDrain = 256;  // datagrams read before a late tick
constexpr double kLateTimerMs = 20;

}  // namespace

std::string address_text(std::uint32_t ip) { return asio::ip::address_v4(ip).to_string(); }

GossipTransport::GossipTransport(asio::io_context& io, const boot::Boot& boot, registry::NodeRole role,
                                 std::uint16_t traffic_port)
    : io_(io),
      port_(boot.first_port),
      seeds_(seeds_of(boot, parse_ip(boot.ip))),
      socket_(io, udp::endpoint(asio::ip::address_v4(parse_ip(boot.ip)), boot.first_port)),
      timer_(io),
      gossip_(settings_of(seeds_, !boot.first_boot), record_of(boot, role, traffic_port)) {
    socket_.non_blocking(true);
}

GossipTransport::~GossipTransport() { *alive_ = false; }

double GossipTransport::now() const {
    return std::chrono::duration<double, std::milli>(Clock::Steady::now() - origin_).count();
}

void GossipTransport::start() {
    if (running_) return;
    running_ = true;
    gossip_.start(now());
    receive();
    schedule_processing();
}

void GossipTransport::stop() {
    if (running_) {
        const double at = now();
        if (pending_record_) gossip_.update_self(at, *pending_record_);
        pending_record_.reset();
        gossip_.leave(at);
        send(gossip_.take_output());
    }
    running_ = false;
    error_code ignored;
    timer_.cancel();
    socket_.close(ignored);
}

// async_receive_from costs two reads per datagram (the second finds none) but, unlike a wait, no epoll_ctl.
void GossipTransport::receive() {
    socket_.async_receive_from(
        asio::buffer(buffer_), sender_, [this, alive = alive_](error_code ec, std::size_t size) {
            if (!*alive || !running_ || ec == asio::error::operation_aborted) return;
            const double at = now();
            if (!ec) handle_datagram(at, size);  // else an ICMP error for a datagram sent earlier
            process(at);
            if (*alive && running_) receive();
        });
}

void GossipTransport::handle_datagram(double at, std::size_t size) {
    ++counts_.received;
    counts_.received_bytes += size;
    const auto message = gossip::decode({buffer_.data(), size});
    if (message && sender_.address().is_v4() && sender_.address().to_v4().to_uint() == message->from.ip)
        gossip_.on_message(at, *message);
    else
        ++counts_.dropped;
}

void GossipTransport::drain_socket(double at) {
    for (int i = 0; i < kMaxReadsPerDrain; ++i) {
        error_code ec;
        const std::size_t size = socket_.receive_from(asio::buffer(buffer_), sender_, 0, ec);
        if (ec) return;
        handle_datagram(at, size);
    }
}

void GossipTransport::schedule_processing() {
    if (processing_scheduled_ || !running_) return;
    processing_scheduled_ = true;
    asio::post(io_, [this, alive = alive_] {
        if (!*alive) return;
        processing_scheduled_ = false;
        if (running_) process(now());
    });
}

void GossipTransport::log_change(const Known& known) const {
    const std::string ip = address_text(known.record.ip);
    if (known.record.ip == gossip_.self().ip)
        log_line("NW002 own life raised", "NW002 own life raised: others hold a later record of this node",
                 {{"life", known.record.incarnation}});
    else if (known.state == MemberState::suspect)
        log_line("NW003 node suspected", "NW003 node suspected: " + ip, {{"ip", ip}});
    else if (known.state == MemberState::gone)
        log_line("NW004 node gone", "NW004 node gone: " + ip, {{"ip", ip}});
}

void GossipTransport::send(const Gossip::Output& out) {
    for (const auto& datagram : out.datagrams) {
        const std::string bytes = gossip::encode(datagram.message);
        error_code ec;
        socket_.send_to(asio::buffer(bytes), udp::endpoint(asio::ip::address_v4(datagram.to), port_), 0, ec);
        if (ec) {
            ++counts_.unsent;
        } else {
            ++counts_.sent;
            counts_.sent_bytes += bytes.size();
        }
    }
}

void GossipTransport::process(double at) {
    if (pending_record_) {
        gossip_.update_self(at, *pending_record_);
        pending_record_.reset();
    }
    if (at >= gossip_.due()) gossip_.tick(at);
    const Gossip::Output out = gossip_.take_output();
    send(out);
    set_timer();
    if (gossip_.joined() && !std::exchange(joined_logged_, true))
        log_line("NW001 joined",
                 "NW001 joined: " + std::to_string(gossip_.registry().entries().size()) + " nodes known",
                 {{"nodes", static_cast<std::uint64_t>(gossip_.registry().entries().size())}});
    const auto alive = alive_;
    report_former_self();
    if (!*alive || !running_) return;
    for (const std::uint32_t ip : out.changed) {
        const auto known = node(ip);
        if (!known) continue;
        log_change(*known);
        if (on_change) on_change(known->record, known->state);
        if (!*alive || !running_) return;
    }
    for (const auto& edition : out.editions) {
        if (on_newer_configuration && edition.config_edition > self().config_edition)
            on_newer_configuration(edition.ip, edition.config_edition);
        if (!*alive || !running_) return;
    }
}

void GossipTransport::report_former_self() {
    if (former_self_reported_ || !gossip_.former_self_settled()) return;
    former_self_reported_ = true;
    if (on_former_self) on_former_self(gossip_.former_self());
}

void GossipTransport::set_timer() {
    const double due = gossip_.due();
    if (due == timer_due_) return;
    timer_due_ = due;
    if (due >= 1e17) {
        timer_.cancel();
        return;
    }
    timer_.expires_at(
        origin_ + std::chrono::ceil<Clock::Steady::duration>(std::chrono::duration<double, std::milli>(due)));
    timer_.async_wait([this, alive = alive_](error_code ec) {
        if (ec || !*alive || !running_) return;
        // The timer is late: the socket may hold answers that arrived in time.
        const double at = now();
        if (at > std::exchange(timer_due_, 1e18) + kLateTimerMs) drain_socket(at);
        process(at);
    });
}

void GossipTransport::update_self(const std::function<void(NodeRecord&)>& change) {
    if (!pending_record_) {
        const registry::Entry* own = gossip_.registry().find(gossip_.self().ip);
        pending_record_ = registry::Registry::current_record(now(), *own);
    }
    change(*pending_record_);
    schedule_processing();
}

const NodeRecord& GossipTransport::self() const {
    return pending_record_ ? *pending_record_ : gossip_.self();
}

void GossipTransport::for_each_node(const std::function<void(const NodeRecord&, MemberState)>& visit) const {
    const double at = now();
    for (const registry::Entry& entry : gossip_.registry().entries())
        if (entry.record.ip != gossip_.self().ip)
            visit(registry::Registry::current_record(at, entry), entry.state);
}

std::optional<GossipTransport::Known> GossipTransport::node(std::uint32_t ip) const {
    const registry::Entry* entry = gossip_.registry().find(ip);
    if (!entry) return std::nullopt;
    return Known{registry::Registry::current_record(now(), *entry), entry->state};
}

std::size_t GossipTransport::live_proxies() const {
    const auto& entries = gossip_.registry().entries();
    return static_cast<std::size_t>(
        std::count_if(entries.begin(), entries.end(), [](const registry::Entry& entry) {
            return entry.state != MemberState::gone && entry.record.role == registry::NodeRole::proxy &&
                   !entry.record.leaving;
        }));
}

std::vector<std::uint32_t> GossipTransport::control_nodes() const {
    std::vector<std::uint32_t> control_nodes;
    for (const registry::Entry& entry : gossip_.registry().entries())
        if (entry.record.role == registry::NodeRole::control_node && entry.state != MemberState::gone &&
            entry.record.ip != gossip_.self().ip)
            control_nodes.push_back(entry.record.ip);
    for (const std::uint32_t seed : seeds_)
        if (!gossip_.registry().find(seed)) control_nodes.push_back(seed);
    return control_nodes;
}

bool GossipTransport::joined() const { return gossip_.joined(); }

void GossipTransport::reachable(std::uint32_t ip) {
    if (!running_) return;
    gossip_.reachable(now(), ip);
    schedule_processing();
}

void GossipTransport::unreachable(std::uint32_t ip) {
    if (!running_) return;
    gossip_.unreachable(now(), ip);
    schedule_processing();
}

std::string GossipTransport::status() const { return status_text(gossip_, counts_); }

}  // namespace cobaltshift::gossip_io
