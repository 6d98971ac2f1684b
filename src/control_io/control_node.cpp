#include "control_io/control_node.hpp"

#include <json/json.h>
#include <sys/random.h>

#include <algorithm>

#include "log/log.hpp"

namespace cobaltshift::control {

namespace {

constexpr std::uint64_t kClusterId =
    0x5349474e414c0001;  // cluster id of all control nodes; the last four digits are the protocol version
constexpr std::size_t kMaxControlNodes = 64;

raft::Millis now() {
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

std::uint64_t random_id() {
    std::uint64_t value = 0;
    while (value == 0)
        if (::getrandom(&value, sizeof value, 0) != sizeof value) value = 0;
    return value;
}

std::string text_of(std::uint32_t ip) { return asio::ip::address_v4(ip).to_string(); }

std::string text_of(const raft::Members& members) {
    std::string text;
    for (const raft::Member& member : members) {
        if (!text.empty()) text += ' ';
        text += text_of(member.number);
        if (!member.voter) text += "(no vote)";
    }
    return text;
}

const char* name_of(raft::RaftNode::Role role) {
    switch (role) {
        case raft::RaftNode::Role::leader:
            return "leader";
        case raft::RaftNode::Role::follower:
            return "follower";
        default:
            return "candidate";
    }
}

}  // namespace

ControlNode::ControlNode(asio::io_context& io, const boot::Boot& boot, config::ConfigDistributor& distributor)
    : io_(io),
      boot_(boot),
      distributor_(distributor),
      ip_(asio::ip::make_address_v4(boot.ip).to_uint()),
      config_(boot.control ? boot.control->port() : 0,
              [this](std::uint64_t client, std::optional<config::Change> change) {
                  if (!replica_ || stopping_) return false;
                  event([&] {
                      if (change)
                          replica_->change(now(), client, std::move(*change));
                      else
                          replica_->read(now(), client);
                  });
                  return true;
              }),
      timer_(io),
      store_timer_(io),
      stop_timer_(io) {
    distributor_.on_ask_current = [this](std::function<void(config::CurrentAnswer)> done) {
        ask_current(std::move(done));
    };
    settings_.consensus.cluster_id = kClusterId;
    settings_.consensus.number = ip_;
    settings_.consensus.member_slots = UINT32_MAX;
    settings_.consensus.heartbeat = 100;
    settings_.consensus.election = 450;
    for (const auto& seed : boot.seeds) seeds_.push_back(seed.address().to_v4().to_uint());
    peers_ = std::make_unique<Peers>(io, boot.ip, static_cast<std::uint16_t>(boot.first_port + 2),
                                     [this](const raft::Message& message, bool forwarded) {
                                         event([&] { replica_->on_message(now(), message, forwarded); });
                                     });
    open();
}

ControlNode::~ControlNode() {
    *alive_ = false;
    stop_done_ = nullptr;
    halt();
}

// ---- Store -----------------------------------------------------------------------------------------------

void ControlNode::open() {
    replica_.reset();
    store_.reset();  // LevelDB must be closed before the same folder is opened again
    try {
        store_ = std::make_unique<Store>(boot_.data_dir + "/signalbox", kClusterId);
        auto stored = store_->take_stored();
        if (!store_->why().empty())
            log_line("SB021 folder set aside", "the store is damaged and was set aside: " + store_->why(),
                     {{"why", store_->why()}});
        if (!stored) {
            const bool founder = boot_.first_boot && store_->why().empty() &&
                                 std::find(seeds_.begin(), seeds_.end(), ip_) != seeds_.end();
            stored = founder ? bootstrap(kClusterId, ip_, seeds_)
                             : raft::newcomer(kClusterId, raft::kFirstRandomId + (random_id() >> 4));
            store_->begin(*stored);
            log_line(founder ? "SB004 founder" : "SB002 newcomer",
                     founder ? "starting as a founding member of " + text_of(stored->snapshot.members)
                             : std::string("starting as a new member without a vote; asking to join"));
        }
        store_->record_start(++stored->starts);
        replica_ = std::make_unique<Replica>(settings_, std::move(*stored), now(), random_id());
        if (disk_ != "ready") log_line("SB003 folder open", "the store is open", {{"disk", boot_.data_dir}});
        disk_ = "ready";
    } catch (const StoreFailure& fault) {
        return on_store_failure(fault.what());
    }
    event([] {});
}

void ControlNode::on_store_failure(const std::string& why) {
    disk_ = "refuses: " + why;
    log_line("SB020 disk refuses", "the replica is stopped until the store can be written again: " + why,
             {{"why", why}});
    replica_.reset();
    store_.reset();
    timer_.cancel();
    store_timer_.expires_after(kStoreRetryDelay);
    store_timer_.async_wait([this, alive = alive_](error_code ec) {
        if (!ec && *alive && !stopped_ && !replica_) guarded([this] { open(); });
    });
    reject_all();
}

// ---- Event processing ------------------------------------------------------------------------------------

// Passes one event to the replica and schedules pump(). The pump runs after all handlers that are ready now,
// so that events that arrive together are persisted with one sync.
void ControlNode::event(const std::function<void()>& what) {
    if (stopped_ || !replica_) return;
    guarded(what);
    if (stopped_ || std::exchange(pump_posted_, true)) return;
    asio::post(io_, [this, alive = alive_] {
        if (!*alive) return;
        pump_posted_ = false;
        guarded([this] { pump(); });
    });
}

void ControlNode::guarded(const std::function<void()>& what) {
    try {
        what();
    } catch (const std::exception& fault) {  // raft::ProtocolViolation, StoreMismatch
        fail(fault.what());
    }
}

void ControlNode::fail(const std::string& why) {
    log_line("SB030 hub stops", "fatal error, the control node stops: " + why, {{"why", why}});
    if (!std::exchange(fatal_reported_, true) && on_fatal_error)
        asio::post(io_, [report = on_fatal_error, why] { report(why); });
    halt();
}

void ControlNode::send(const raft::Message& message) {
    const bool own = message.number == ip_;
    if (message.kind != raft::Message::Kind::join || !own)
        return peers_->send(message.to_number, message, !own);
    // A join request has no receiver: it goes to all nodes that may be control nodes.
    for (const std::uint32_t ip : seeds_) peers_->send(ip, message, false);
    for (const std::uint32_t ip : control_nodes_)
        if (std::find(seeds_.begin(), seeds_.end(), ip) == seeds_.end()) peers_->send(ip, message, false);
}

void ControlNode::pump() {
    while (!stopped_ && replica_ && replica_->has_output()) {
        Output output = replica_->take_output(now());
        if (output.ready.writes()) {
            const raft::Millis before = now();
            try {
                store_->persist(output.ready);
            } catch (const StoreFailure& fault) {
                return on_store_failure(fault.what());
            }
            longest_sync_ = std::max(longest_sync_, now() - before);
        }
        if (output.ready.retired) {
            replica_.reset();
            log_line("SB014 no member any more",
                     "removed from the members; starting over as a new member without a vote");
            try {
                store_->begin(raft::newcomer(kClusterId, raft::kFirstRandomId + (random_id() >> 4)));
            } catch (const StoreFailure& fault) {
                return on_store_failure(fault.what());
            }
            reject_all();
            return open();
        }
        replica_->persisted();
        for (const raft::Message& message : output.ready.messages) send(message);
        for (const raft::Message& message : output.to_all) {
            std::vector<std::uint32_t> all = seeds_;
            all.insert(all.end(), control_nodes_.begin(), control_nodes_.end());
            for (const raft::Member& member : replica_->raft().members()) all.push_back(member.number);
            std::sort(all.begin(), all.end());
            all.erase(std::unique(all.begin(), all.end()), all.end());
            for (const std::uint32_t ip : all) peers_->send(ip, message, false);
        }
        if (output.newest) {
            distributor_.hold(output.newest);
            if (on_edition) on_edition(output.newest->edition);
            if (stopped_ || !replica_) return;
        }
        for (const Reply& reply : output.replies) {
            if (reply.client & kCurrentQuestionBit)
                answer_current(reply);
            else
                config_.reply(reply);
        }
    }
    if (stopped_ || !replica_) return;
    log_changes();
    if (stopping_ && drained()) return halt();
    schedule();
}

void ControlNode::schedule() {
    const double wait = std::clamp(replica_->due() - now(), 0.0, 60000.0);
    timer_.expires_after(std::chrono::microseconds(static_cast<long>(wait * 1000) + 1));
    timer_.async_wait([this, alive = alive_](error_code ec) {
        if (!ec && *alive) event([this] { replica_->tick(now()); });
    });
}

void ControlNode::log_changes() {
    const raft::RaftNode& raft = replica_->raft();
    const std::uint32_t leader = raft.leader_number().value_or(0);
    if (const bool leads = raft.leads(); leads != std::exchange(led_, leads))
        log_line(leads ? "SB012 leader elected" : "SB013 leads no more",
                 (leads ? "this node is the leader of term " : "this node is no longer the leader; term ") +
                     std::to_string(raft.term()),
                 {{"term", raft.term()}});
    if (leader != 0 && leader != std::exchange(logged_leader_, leader) && leader != ip_)
        log_line("SB011 follows", "follows " + text_of(leader),
                 {{"leader", text_of(leader)}, {"term", raft.term()}});
    if (std::string members = text_of(raft.members()); members != logged_members_) {
        log_line("SB015 members", "the members are " + members, {{"members", members}});
        logged_members_ = std::move(members);
    }
}

// ---- Control ---------------------------------------------------------------------------------------------

void ControlNode::set_control_nodes(std::vector<std::uint32_t> ips) {
    control_nodes_ = std::move(ips);
    if (control_nodes_.size() > kMaxControlNodes) control_nodes_.resize(kMaxControlNodes);
}

void ControlNode::stop(std::function<void()> done) {
    if (stopped_) {
        if (done) asio::post(io_, done);
        return;
    }
    stop_done_ = std::move(done);
    stopping_ = true;
    if (!replica_) return halt();
    event([this] {
        if (replica_->hand_over(now()))
            log_line("SB016 hands over", "stopping: transferring the leadership to another member");
    });
    if (!replica_ || drained()) return halt();
    stop_timer_.expires_after(kStopTimeout);
    stop_timer_.async_wait([this, alive = alive_](error_code ec) {
        if (!ec && *alive) halt();
    });
}

void ControlNode::halt() {
    if (std::exchange(stopped_, true)) return;
    timer_.cancel();
    store_timer_.cancel();
    stop_timer_.cancel();
    replica_.reset();
    if (peers_) peers_->stop();
    store_.reset();
    reject_all();
    if (stop_done_) asio::post(io_, std::exchange(stop_done_, nullptr));
}

bool ControlNode::drained() const {
    return config_.open() == 0 && current_questions_.empty() &&
           !(replica_ && replica_->raft().transferring_leadership());
}

// ---- Current edition --------------------------------------------------------------------------------------

void ControlNode::ask_current(std::function<void(config::CurrentAnswer)> done) {
    if (!replica_ || stopping_) return done({});
    const std::uint64_t client = next_current_question_++;
    current_questions_[client] = std::move(done);
    event([&] { replica_->read(now(), client); });
}

void ControlNode::answer_current(const Reply& reply) {
    const auto at = current_questions_.find(reply.client);
    if (at == current_questions_.end()) return;
    const auto done = std::move(at->second);
    current_questions_.erase(at);
    done(current_answer(reply));
}

void ControlNode::reject_all() {
    config_.reject_all();
    for (const auto& [client, done] : std::exchange(current_questions_, {})) done({});
}

std::string ControlNode::status() const {
    Json::Value json;
    json["ip"] = boot_.ip;
    json["disk"] = disk_;
    json["longest_sync_ms"] = longest_sync_;
    json["edition"] = config::to_text(edition());
    if (replica_) {
        const raft::RaftNode& raft = replica_->raft();
        json["role"] = name_of(raft.role());
        json["founder"] = raft.id() < raft::kFirstRandomId;
        json["leads"] = raft.leads();
        json["leader"] = raft.leader_number() ? text_of(*raft.leader_number()) : "";
        json["term"] = Json::UInt64(raft.term());
        json["commit"] = Json::UInt64(raft.commit());
        json["last"] = Json::UInt64(raft.last());
        json["voter"] = false;
        json["members"] = Json::arrayValue;
        for (const raft::Member& member : raft.members()) {
            Json::Value one;
            one["ip"] = text_of(member.number);
            one["voter"] = member.voter;
            const auto peer = raft.peers().find(member.id);
            if (raft.leads() && peer != raft.peers().end())
                one["silent_ms"] = now() - peer->second.last_contact;
            if (member.id == raft.id()) json["voter"] = member.voter;
            json["members"].append(one);
        }
        json["elections"] = Json::UInt64(raft.counts().elections);
        json["taken"] = Json::UInt64(replica_->counts().taken);
        json["waiting"] = Json::UInt64(replica_->waiting());
    }
    if (store_) json["syncs"] = Json::UInt64(store_->syncs());
    Json::StreamWriterBuilder writer;
    writer["indentation"] = "";
    return Json::writeString(writer, json);
}

}  // namespace cobaltshift::control
