#include "lease_io/keeper_node.hpp"

#include <xxhash.h>

#include <nlohmann/json.hpp>

#include "lease/codec.hpp"
#include "lease_io/clock.hpp"
#include "lease_io/draw.hpp"
#include "log/log.hpp"
#include "raft/codec.hpp"

namespace cobaltshift::lease {

namespace {

constexpr std::size_t kPeerQueue = 8 * raft::kMaxMessageBytes, kClientQueue = 1024 * 1024;
constexpr std::chrono::milliseconds kFullDiskPause{1000};

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

std::uint64_t fleet_number(const std::string& name) { return XXH3_64bits(name.data(), name.size()); }

void found(const KeeperSettings& own, std::size_t keepers) {
    store::SqliteStorage folder(own.folder);
    if (folder.found() != store::SqliteStorage::Found::nothing)
        throw KeeperError("folder " + own.folder + " already holds the data of a keeper");
    folder.begin(raft::bootstrap(fleet_number(own.fleet), own.office.agree.number,
                                 static_cast<std::uint32_t>(keepers)));
}

KeeperNode::KeeperNode(asio::io_context& io, KeeperSettings own, KeepersSettings all)
    : io_(io),
      own_(std::move(own)),
      all_(std::move(all)),
      secret_(Secret::from_file(all_.secret_file)),
      office_settings_(own_.office),
      acceptor_(io, own_.listen),
      timer_(io),
      accept_timer_(io) {
    office_settings_.agree.cluster_id = fleet_number(own_.fleet);
    office_settings_.agree.member_slots = static_cast<std::uint32_t>(all_.keepers.size());
    boot();
    for (std::uint32_t n = 0; n < all_.keepers.size(); ++n) {
        if (n == own_.office.agree.number) continue;
        // Replicas send nothing over accepted connections: each connects to the others to send its messages.
        peers_[n] =
            std::make_unique<ReplicaConnection>(io_, all_.keepers[n], secret_, Role::keeper, 1024, kPeerQueue,
                                                random_id(), [](FrameKind, std::string_view) {});
        peers_[n]->keep();
    }
    accept();
    pump();
}

KeeperNode::~KeeperNode() {
    *alive_ = false;
    stop();
}

bool KeeperNode::votes() const {
    if (!office_) return false;
    const auto& members = office_->keeper().members();
    return std::any_of(members.begin(), members.end(), [&](const raft::Member& member) {
        return member.id == office_->keeper().id() && member.voter;
    });
}

void KeeperNode::stop() {
    stopped_ = true;
    error_code ignored;
    acceptor_.close(ignored);
    timer_.cancel();
    accept_timer_.cancel();
    for (auto& [number, session] : sessions_) session.channel->close();
    sessions_.clear();
    peers_.clear();
    office_.reset();
    folder_.reset();
}

void KeeperNode::end(const std::string& why) {
    if (!over_.empty()) return;
    over_ = why;
    log_line("keeper.over", why);
    stop();
    if (told_) asio::post(io_, told_);
}

// Sets unusable stored data aside and starts a new incarnation with a random id. It asks the other replicas
// to add it as a member and has no vote until then.
void KeeperNode::begin_anew(const std::string& why) {
    ++counts_.lives;
    log_line("keeper.new_life",
             "keeper " + std::to_string(own_.office.agree.number) + " starts a new incarnation: " + why,
             {{"keeper", std::uint64_t{own_.office.agree.number}}, {"why", why}});
    folder_->begin(
        raft::newcomer(office_settings_.agree.cluster_id, raft::kFirstRandomId + (random_id() >> 4)));
}

void KeeperNode::boot() {
    office_.reset();
    folder_.reset();  // releases the lock before reopening
    folder_ = std::make_unique<store::SqliteStorage>(own_.folder);
    raft::PersistentState stored;
    if (folder_->found() == store::SqliteStorage::Found::intact) {
        stored = folder_->take_stored();
        if (stored.cluster_id != office_settings_.agree.cluster_id)
            throw KeeperError("folder " + own_.folder + " belongs to another fleet than '" + own_.fleet +
                              "'");
        if (stored.id < raft::kFirstRandomId && stored.id != own_.office.agree.number + 1)
            throw KeeperError("folder " + own_.folder + " is keeper " + std::to_string(stored.id - 1) +
                              "'s, not " + std::to_string(own_.office.agree.number) + "'s");
    } else {
        begin_anew(folder_->found() == store::SqliteStorage::Found::corrupt
                       ? "its folder is corrupt, " + folder_->why()
                       : "its folder is empty");
        stored = folder_->take_stored();
    }
    stored.starts = folder_->start();
    office_ = std::make_unique<LeaseServer>(office_settings_, std::move(stored), boottime_now(), random_id());
}

// ---- Connections -----------------------------------------------------------------------------------------

void KeeperNode::accept() {
    acceptor_.async_accept([this, alive = alive_](error_code ec, tcp::socket socket) {
        if (!*alive || stopped_) return;
        if (ec) {  // usually out of file descriptors
            accept_timer_.expires_after(std::chrono::milliseconds(50));
            accept_timer_.async_wait([this](error_code wait) {
                if (!wait && !stopped_) accept();
            });
            return;
        }
        accept();
        if (sessions_.size() >= own_.connections) {
            ++counts_.refused_connections;
            return;
        }
        const std::uint64_t number = next_session_++;
        auto channel = Channel::accepted(std::move(socket), secret_);
        sessions_[number] = {channel, UINT32_MAX};
        channel->start(
            {[] {},
             [this, number](FrameKind kind, std::string_view payload) { frame(number, kind, payload); },
             [this, number](const std::string&) { sessions_.erase(number); }});
    });
}

void KeeperNode::frame(std::uint64_t session, FrameKind kind, std::string_view payload) {
    const auto at = sessions_.find(session);
    if (at == sessions_.end()) return;
    const bool keeper = at->second.channel->role() == Role::keeper;
    std::string why;
    if (kind == FrameKind::message && keeper) {
        auto message = raft::decode_message(payload, why);
        if (!message) {
            ++counts_.refused_messages;
            return;
        }
        event([&] { office_->heard(boottime_now(), *message); });
    } else if (kind == FrameKind::question && !keeper) {
        const auto question = decode_question(payload, why);
        if (!question) {
            ++counts_.refused_messages;
            return;
        }
        event([&] { office_->asked(boottime_now(), session, *question); });
    } else if (kind == FrameKind::order && !keeper) {
        order(session, payload);
    } else {
        ++counts_.refused_messages;  // not allowed in this role, or unknown
    }
}

std::string KeeperNode::status() const {
    using nlohmann::json;
    const raft::RaftNode& keeper = office_->keeper();
    json said{{"number", own_.office.agree.number},
              {"role", name_of(keeper.role())},
              {"leads", keeper.leads()},
              {"term", keeper.term()},
              {"commit", keeper.commit()},
              {"last", keeper.last()},
              {"stored_from", keeper.first()},
              {"id", std::to_string(keeper.id())},
              {"fence", office_->book().last_fence()},
              {"tasks", office_->book().tasks().size()},
              {"digest", std::to_string(office_->book().digest())},
              {"applied", office_->applied()},
              {"syncs", folder_->transactions()},
              {"longest_sync_ms", counts_.longest_sync},
              {"new_lives", counts_.lives},
              {"connections", sessions_.size()},
              {"refused_messages", counts_.refused_messages},
              {"elections", keeper.counts().elections},
              {"questions", office_->counts().questions},
              {"grants", office_->counts().grants},
              {"renewals", office_->counts().renewals},
              {"lapses", office_->counts().lapses}};
    said["leader"] = keeper.leader_number() ? json(*keeper.leader_number()) : json();
    said["members"] = json::array();
    const Millis now = boottime_now();
    for (const raft::Member& member : keeper.members()) {
        json one{{"number", member.number}, {"voter", member.voter}, {"id", std::to_string(member.id)}};
        const auto peer = keeper.peers().find(member.id);
        if (keeper.leads() && peer != keeper.peers().end()) {
            one["stored"] = peer->second.match;
            if (peer->second.active) one["silent_ms"] = static_cast<long>(now - peer->second.last_contact);
        }
        said["members"].push_back(one);
    }
    return said.dump();
}

void KeeperNode::metrics(MetricsText& m) const {
    m.gauge("cobaltshift_keeper_up", "1 while it holds its folder and takes part", office_ != nullptr);
    m.counter("cobaltshift_keeper_lives_total", "new lives begun", static_cast<double>(counts_.lives));
    m.counter("cobaltshift_keeper_refused_messages_total", "messages of keepers that were none",
              static_cast<double>(counts_.refused_messages));
    m.gauge("cobaltshift_keeper_connections", "open", static_cast<double>(sessions_.size()));
    if (!office_ || !folder_) return;
    const raft::RaftNode& keeper = office_->keeper();
    const auto count = [](std::uint64_t value) { return static_cast<double>(value); };
    m.gauge("cobaltshift_keeper_leads", "1 at the keeper that leads", keeper.leads());
    m.gauge("cobaltshift_keeper_votes", "1 at a member with a vote", votes());
    m.gauge("cobaltshift_keeper_term", "grows with each election", count(keeper.term()));
    m.gauge("cobaltshift_keeper_commit", "entries agreed", count(keeper.commit()));
    m.counter("cobaltshift_keeper_elections_total", "begun by this keeper", count(keeper.counts().elections));
    m.counter("cobaltshift_keeper_syncs_total", "writes to the folder", count(folder_->transactions()));
    m.gauge("cobaltshift_keeper_longest_sync_ms", "since the start", counts_.longest_sync);
    m.gauge("cobaltshift_lease_tasks", "in the book", count(office_->book().tasks().size()));
    m.gauge("cobaltshift_lease_fence", "the last given", count(office_->book().last_fence()));
    const LeaseServer::Counts& c = office_->counts();
    m.family("cobaltshift_lease_events_total", MetricsText::Kind::counter, "at this keeper, by kind");
    m.sample(count(c.questions), {{"kind", "question"}});
    m.sample(count(c.grants), {{"kind", "grant"}});
    m.sample(count(c.renewals), {{"kind", "renewal"}});
    m.sample(count(c.lapses), {{"kind", "lapse"}});
    m.sample(count(c.not_leader), {{"kind", "elsewhere"}});
    m.sample(count(c.dropped), {{"kind", "dropped"}});
    if (!keeper.leads()) return;
    m.family("cobaltshift_keeper_behind", MetricsText::Kind::gauge,
             "entries that a member has not stored yet");
    for (const raft::Member& member : keeper.members())
        if (const auto peer = keeper.peers().find(member.id); peer != keeper.peers().end())
            m.sample(count(keeper.last()) - count(peer->second.match),
                     {{"keeper", std::to_string(member.number)}});
}

// {"do": "status"} or {"do": "remove", "keeper": N}
void KeeperNode::order(std::uint64_t session, std::string_view payload) {
    using nlohmann::json;
    const json order = json::parse(payload, nullptr, false);
    std::string report;
    const auto refuse = [](const std::string& why) { return json{{"error", why}}.dump(); };
    if (!order.is_object() || !order.contains("do") || !order["do"].is_string()) {
        ++counts_.refused_messages;
        report = refuse("no order");
    } else if (order["do"] == "status") {
        report = status();
    } else if (order["do"] == "remove") {
        if (!order.contains("keeper") || !order["keeper"].is_number_unsigned() ||
            order["keeper"].get<std::uint64_t>() >= all_.keepers.size()) {
            report = refuse("no such keeper");
        } else {
            const auto number = order["keeper"].get<std::uint32_t>();
            bool done = false;
            event([&] { done = office_->keeper().remove(number); });
            if (!office_) return;
            report = done ? json{{"done", true}}.dump()
                          : refuse(!office_->keeper().leads()           ? "does not lead"
                                   : office_->keeper().changing()       ? "a change of members is on its way"
                                   : number == own_.office.agree.number ? "it leads: it can't remove itself"
                                                                        : "it is no member, or the last one");
        }
    } else {
        report = refuse("an order that this keeper does not know");
    }
    const auto at = sessions_.find(session);
    if (at != sessions_.end()) at->second.channel->send(FrameKind::report, report, kClientQueue);
}

// ---- Processing of output --------------------------------------------------------------------------------

// Runs `what` and posts one call of pump(). All events that are ready by then are handled before it, so that
// one sync serves many requests.
void KeeperNode::event(const std::function<void()>& what) {
    if (stopped_ || !office_) return;
    guarded(what);
    if (stopped_ || std::exchange(pump_posted_, true)) return;
    asio::post(io_, [this, alive = alive_] {
        if (!*alive) return;
        pump_posted_ = false;
        guarded([this] { pump(); });
    });
}

void KeeperNode::guarded(const std::function<void()>& what) {
    try {
        what();
    } catch (const std::exception& fault) {  // a violated protocol invariant or a disk error
        end(std::string("keeper stops: ") + fault.what());
    }
}

void KeeperNode::pump() {
    while (!stopped_ && office_ && office_->ready()) {
        LeaseServer::Output output = office_->take(boottime_now());
        if (output.ready.writes()) {
            const Millis before = boottime_now();
            try {
                folder_->keep(output.ready);
            } catch (const store::StorageFull& fault) {
                log_line("keeper.restarts", std::string("keeper restarts from its folder: ") + fault.what(),
                         {{"keeper", std::uint64_t{own_.office.agree.number}},
                          {"why", std::string(fault.what())}});
                ++counts_.restarts;
                office_.reset();
                timer_.expires_after(kFullDiskPause);
                timer_.async_wait([this](error_code ec) {
                    if (ec || stopped_) return;
                    try {
                        boot();
                        pump();
                    } catch (const std::exception& again) {
                        end(std::string("keeper stops: ") + again.what());
                    }
                });
                return;
            }
            counts_.longest_sync = std::max(counts_.longest_sync, boottime_now() - before);
        }
        if (output.ready.retired) {
            folder_->begin(
                raft::newcomer(office_settings_.agree.cluster_id, raft::kFirstRandomId + (random_id() >> 4)));
            ++counts_.lives;
            log_line("keeper.new_life", "keeper " + std::to_string(own_.office.agree.number) +
                                            " has been removed from the members and asks to join again");
            boot();
            continue;
        }
        office_->stored();
        for (const raft::Message& message : output.ready.messages) {
            const std::string bytes = raft::encode(message);
            for (auto& [number, line] : peers_)
                if (message.kind == raft::Message::Kind::join || number == message.to_number)
                    line->send(FrameKind::message, bytes);
        }
        for (const LeaseServer::Reply& reply : output.replies) {
            const auto session = sessions_.find(reply.client);
            if (session != sessions_.end())
                session->second.channel->send(FrameKind::answer, encode(reply.answer), kClientQueue);
        }
    }
    if (stopped_ || !office_) return;
    if (const bool leads = office_->keeper().leads(); leads != std::exchange(led_, leads))
        log_line("keeper.leads",
                 "keeper " + std::to_string(own_.office.agree.number) +
                     (leads ? " leads in term " : " stopped leading; term ") +
                     std::to_string(office_->keeper().term()),
                 {{"keeper", std::uint64_t{own_.office.agree.number}},
                  {"leads", leads},
                  {"term", office_->keeper().term()}});
    schedule();
}

void KeeperNode::schedule() {
    const Millis due = office_->due();
    const Millis wait = std::clamp(due - boottime_now(), 0.0, 60000.0);
    timer_.expires_after(std::chrono::microseconds(static_cast<long>(wait * 1000) + 1));
    timer_.async_wait([this](error_code ec) {
        if (!ec) event([this] { office_->tick(boottime_now()); });
    });
}

}  // namespace cobaltshift::lease
