// Tests of the Raft core and of the lease service in virtual time: single fault cases, malformed messages,
// and simulated days with random faults.
#include <gtest/gtest.h>

#include "lease/codec.hpp"
#include "lease/gate.hpp"
#include "lease/holder.hpp"
#include "lease/office.hpp"
#include "raft/codec.hpp"
#include "sim/lease_days.hpp"
#include "sim/models/holder.hpp"
#include "sim/scene.hpp"
#include "store/checksum.hpp"
#include "store/journal.hpp"

namespace cobaltshift {
namespace {

using raft::Message;
using raft::RaftNode;

// Raft nodes connected in memory: what they persist survives a restart, and messages wait in `wire` until
// deliver_all() passes them on.
struct TestCluster {
    explicit TestCluster(std::uint32_t keepers) : count(keepers) {
        for (std::uint32_t n = 0; n < keepers; ++n) disks.push_back(raft::bootstrap(7, n, keepers));
        all.resize(keepers);
        for (std::uint32_t n = 0; n < keepers; ++n) start(n);
    }
    raft::Settings settings(std::uint32_t n) const {
        raft::Settings s;
        s.cluster_id = 7, s.number = n, s.member_slots = count;
        return s;
    }
    void start(std::uint32_t n) {
        ++disks[n].starts;
        all[n] = std::make_unique<RaftNode>(settings(n), disks[n], now, 1000 + n + 100 * disks[n].starts);
    }
    void process_ready(std::uint32_t n) {
        while (all[n] && all[n]->has_ready()) {
            raft::Ready ready = all[n]->take_ready();
            raft::PersistentState& disk = disks[n];
            if (ready.vote) disk.term = ready.vote->term, disk.voted = ready.vote->voted;
            if (ready.snapshot) disk.snapshot = *ready.snapshot, disk.entries.clear();
            if (ready.from > 0) {
                disk.entries.resize(ready.from - disk.snapshot.index - 1);
                disk.entries.insert(disk.entries.end(), ready.entries.begin(), ready.entries.end());
            }
            all[n]->persisted();
            for (Message& m : ready.messages) wire.push_back(std::move(m));
            for (const auto& one : ready.committed) applied[n].push_back(one.entry.data);
            for (const std::uint64_t q : ready.confirmed) confirmed.push_back(q);
        }
    }
    bool is_connected(const Message& m) const { return !cut.count({m.number, m.to_number}); }
    void deliver_all() {  // until no message is left
        for (std::uint32_t n = 0; n < count; ++n) process_ready(n);
        while (!wire.empty()) {
            const Message m = std::move(wire.front());
            wire.pop_front();
            for (std::uint32_t n = 0; n < count; ++n) {
                if (!all[n] || (m.kind == Message::Kind::join ? n == m.number : n != m.to_number)) continue;
                Message to = m;
                to.to_number = n;
                if (!is_connected(to)) continue;
                all[n]->on_message(now, m);
                process_ready(n);
            }
        }
    }
    void advance(double ms) {
        for (const double end = now + ms; now < end; now += 20) {
            for (auto& keeper : all)
                if (keeper) keeper->tick(now);
            deliver_all();
        }
    }
    int leader() const {
        int found = -1;
        for (std::uint32_t n = 0; n < count; ++n)
            if (all[n] && all[n]->leads() && (found < 0 || all[n]->term() > all[found]->term()))
                found = static_cast<int>(n);
        return found;
    }
    void isolate(std::uint32_t n) {
        for (std::uint32_t other = 0; other < count; ++other) cut.insert({n, other}), cut.insert({other, n});
    }

    std::uint32_t count;
    double now = 0;
    std::vector<raft::PersistentState> disks;
    std::vector<std::unique_ptr<RaftNode>> all;
    std::deque<Message> wire;
    std::set<std::pair<std::uint32_t, std::uint32_t>> cut;
    std::map<std::uint32_t, std::vector<std::string>> applied;
    std::vector<std::uint64_t> confirmed;
};

TEST(Agreement, AppliesProposalsInTheSameOrderOnAllNodes) {
    TestCluster cluster(3);
    cluster.advance(3000);
    const int leader = cluster.leader();
    ASSERT_GE(leader, 0);
    for (int i = 0; i < 100; ++i) ASSERT_TRUE(cluster.all[leader]->propose("entry " + std::to_string(i)));
    cluster.advance(300);
    ASSERT_EQ(cluster.applied[0].size(), 101U) << "and the leader's own first";
    EXPECT_EQ(cluster.applied[1], cluster.applied[0]);
    EXPECT_EQ(cluster.applied[2], cluster.applied[0]);
    EXPECT_FALSE(cluster.all[(leader + 1) % 3]->propose("from a follower"));
    EXPECT_FALSE(cluster.all[leader]->propose(std::string(raft::kMaxEntryBytes + 1, 'x')));
}

TEST(Agreement, IsolatedLeaderStepsDownAndItsUncommittedTailIsReplaced) {
    TestCluster cluster(3);
    cluster.advance(3000);
    const int old = cluster.leader();
    cluster.isolate(old);
    ASSERT_TRUE(cluster.all[old]->propose("never agreed"));
    cluster.advance(6000);
    EXPECT_FALSE(cluster.all[old]->leads()) << "it hears no majority";
    const int fresh = cluster.leader();
    ASSERT_GE(fresh, 0);
    ASSERT_NE(fresh, old);
    ASSERT_TRUE(cluster.all[fresh]->propose("agreed"));
    cluster.advance(200);
    cluster.cut.clear();
    const auto term = cluster.all[fresh]->term();
    cluster.advance(3000);
    EXPECT_EQ(cluster.leader(), fresh) << "its return, sure of itself, unseats nobody (pre-vote)";
    EXPECT_EQ(cluster.all[fresh]->term(), term);
    EXPECT_EQ(cluster.applied[old].back(), "agreed");
    EXPECT_EQ(cluster.applied[old], cluster.applied[fresh]);
}

TEST(Agreement, OneWayPartitionsInAnyDirectionLeaveALeader) {
    for (std::uint32_t from = 0; from < 3; ++from)
        for (std::uint32_t to = 0; to < 3; ++to) {
            if (from == to) continue;
            TestCluster cluster(3);
            cluster.advance(3000);
            const int before_it = cluster.leader();
            const auto term = cluster.all[before_it]->term();
            cluster.cut.insert({from, to});
            cluster.advance(10000);
            const int leader = cluster.leader();
            ASSERT_GE(leader, 0) << from << " -> " << to;
            if (static_cast<int>(from) ==
                before_it) {  // one node no longer receives from it and starts elections repeatedly
                EXPECT_EQ(leader, before_it);
                EXPECT_EQ(cluster.all[leader]->term(), term) << "the others still hear it";
            }
            const std::size_t before = cluster.applied[leader].size();
            ASSERT_TRUE(cluster.all[leader]->propose("goes on"));
            cluster.advance(500);
            EXPECT_GT(cluster.applied[leader].size(), before) << from << " -> " << to;
            cluster.cut.clear();
            cluster.advance(2000);
            if (static_cast<int>(from) == before_it) {
                EXPECT_EQ(cluster.all[before_it]->term(), term) << "nor does its return unseat it";
            }
        }
}

TEST(Agreement, NodeThatLostItsDataRejoinsAsANewMember) {
    TestCluster cluster(3);
    cluster.advance(3000);
    const int leader = cluster.leader(), lost = (leader + 1) % 3;
    for (int i = 0; i < 10; ++i) cluster.all[leader]->propose("x");
    cluster.advance(500);
    const auto former = cluster.all[lost]->id();
    cluster.disks[lost] = raft::newcomer(7, raft::kFirstRandomId + 99);
    cluster.applied[lost].clear();
    cluster.start(lost);
    // Until it is a member its votes don't count.
    EXPECT_FALSE(cluster.all[lost]->member());
    cluster.advance(15000);
    ASSERT_TRUE(cluster.all[lost]->member());
    EXPECT_NE(cluster.all[lost]->id(), former);
    const auto& members = cluster.all[cluster.leader()]->members();
    EXPECT_EQ(members.size(), 3U);
    for (const auto& member : members) {
        EXPECT_TRUE(member.voter);
        EXPECT_NE(member.id, former);
    }
    // Now its vote counts: with the third node stopped, the two form a majority.
    const int third = 3 - cluster.leader() - lost;
    cluster.all[third].reset();
    cluster.all[cluster.leader()]->propose("two are a majority");
    cluster.advance(1000);
    EXPECT_EQ(cluster.applied[lost].back(), "two are a majority");
}

TEST(Agreement, NodeRestoredFromAnOlderCopyIsRetired) {
    TestCluster cluster(3);
    cluster.advance(3000);
    const int leader = cluster.leader(), back = (leader + 1) % 3;
    const raft::PersistentState copy = cluster.disks[back];
    for (int i = 0; i < 10; ++i) cluster.all[leader]->propose("x");
    cluster.advance(500);
    cluster.disks[back] = copy;  // restored from an older copy
    cluster.start(back);
    cluster.advance(1000);
    EXPECT_TRUE(cluster.all[back]->retired());
    EXPECT_EQ(cluster.leader(), leader);
}

TEST(Agreement, RestartedNodeWithALowerTermIsRejected) {
    TestCluster names(3);
    raft::PersistentState disk = raft::bootstrap(7, 0, 3);
    disk.starts = 1;
    RaftNode keeper(names.settings(0), disk, 0, 5);
    const auto says = [&](std::uint64_t starts, std::uint64_t draw, raft::Term term) {
        Message m;
        m.kind = Message::Kind::request_vote, m.cluster_id = 7, m.from = 2, m.to = 1, m.number = 1;
        m.run = {starts, draw}, m.term = term;
        keeper.on_message(0, m);
        std::vector<Message> out;
        while (keeper.has_ready()) {
            for (Message& one : keeper.take_ready().messages) out.push_back(std::move(one));
            keeper.persisted();
        }
        return out.empty() ? Message::Kind::join : out.back().kind;
    };
    EXPECT_EQ(says(5, 1, 9), Message::Kind::vote_response);
    EXPECT_EQ(says(4, 8, 3), Message::Kind::join) << "late, of an earlier run: nothing";
    EXPECT_EQ(says(5, 2, 9), Message::Kind::not_a_member) << "the same start twice: a copy";
    EXPECT_EQ(says(6, 3, 4), Message::Kind::not_a_member) << "a later start that forgot a term";
    EXPECT_EQ(says(6, 4, 10), Message::Kind::vote_response) << "a later start as it should be";
}

TEST(Agreement, SnapshotIsSentWhileEntriesAreAppended) {
    TestCluster cluster(3);
    cluster.advance(3000);
    const int leader = cluster.leader(), late = (leader + 1) % 3;
    cluster.all[late].reset();
    for (int i = 0; i < 50; ++i) cluster.all[leader]->propose("x" + std::to_string(i));
    cluster.advance(500);
    cluster.all[leader]->compact(cluster.all[leader]->commit(), "all so far");
    cluster.deliver_all();
    cluster.applied[late].clear();
    cluster.start(late);
    for (int i = 0; i < 20; ++i) {
        cluster.all[leader]->propose("y" + std::to_string(i));
        cluster.advance(60);
    }
    cluster.advance(2000);
    EXPECT_EQ(cluster.disks[late].snapshot.data, "all so far");
    ASSERT_FALSE(cluster.applied[late].empty());
    EXPECT_EQ(cluster.applied[late].back(), "y19");
    EXPECT_EQ(cluster.all[late]->commit(), cluster.all[leader]->commit());
}

TEST(Agreement, MembersChangeOneAtATimeAlsoIfANodeStopsMeanwhile) {
    TestCluster cluster(5);
    cluster.advance(3000);
    const int leader = cluster.leader(), out = (leader + 1) % 5, dies = (leader + 2) % 5;
    ASSERT_TRUE(cluster.all[leader]->remove(out));
    EXPECT_FALSE(cluster.all[leader]->remove(dies)) << "one change at a time";
    cluster.all[dies].reset();
    cluster.advance(2000);
    EXPECT_EQ(cluster.all[leader]->members().size(), 4U);
    EXPECT_FALSE(cluster.all[leader]->remove(leader)) << "not itself";
    cluster.advance(5000);
    EXPECT_TRUE(cluster.all[out]->retired()) << "it stands no more once told";
    ASSERT_TRUE(cluster.all[cluster.leader()]->propose("goes on"));
}

TEST(Agreement, ReadIsConfirmedOnlyByLaterMajorityAcknowledgements) {
    TestCluster cluster(3);
    cluster.advance(3000);
    const int leader = cluster.leader();
    ASSERT_TRUE(cluster.all[leader]->confirm_leadership(5));
    EXPECT_TRUE(cluster.confirmed.empty());
    cluster.deliver_all();
    EXPECT_EQ(cluster.confirmed, std::vector<std::uint64_t>{5});
    cluster.isolate(leader);
    ASSERT_TRUE(cluster.all[leader]->confirm_leadership(6));
    cluster.advance(6000);
    EXPECT_EQ(cluster.confirmed.size(), 1U) << "never, of one that nobody hears";
    EXPECT_FALSE(cluster.all[(leader + 1) % 3]->confirm_leadership(7) &&
                 cluster.leader() != (leader + 1) % 3);
}

// Guards against the fault of figure 8 in the Raft paper: an entry of an earlier term that is stored on a
// majority must not be committed by counting replicas alone.
TEST(Agreement, EntriesOfEarlierTermsCommitOnlyWithOneOfTheCurrentTerm) {
    raft::PersistentState disk = raft::bootstrap(7, 0, 3);
    disk.starts = 1, disk.term = 2;
    disk.entries = {{2, raft::Entry::Kind::data, "old"}};
    TestCluster names(3);
    RaftNode keeper(names.settings(0), disk, 0, 5);
    const auto drain = [&] {
        std::vector<Message> out;
        while (keeper.has_ready()) {
            auto ready = keeper.take_ready();
            keeper.persisted();
            for (auto& m : ready.messages) out.push_back(std::move(m));
        }
        return out;
    };
    const auto say = [&](Message::Kind kind, raft::Term term, raft::Index index) {
        Message m;
        m.kind = kind, m.cluster_id = 7, m.from = 2, m.to = 1, m.number = 1, m.run = {1, 1};
        m.term = term, m.ok = true, m.index = index, m.last = index;
        keeper.on_message(3000, m);
    };
    keeper.tick(3000);
    drain();
    say(Message::Kind::prevote_response, 3, 0);
    say(Message::Kind::vote_response, 3, 0);
    ASSERT_EQ(keeper.role(), RaftNode::Role::leader);
    drain();
    say(Message::Kind::append_response, 3, 1);
    EXPECT_EQ(keeper.commit(), 0U) << "on a majority, and not committed";
    EXPECT_FALSE(keeper.leads());
    say(Message::Kind::append_response, 3, 2);
    EXPECT_EQ(keeper.commit(), 2U);
}

TEST(Agreement, VoteIsPersistedBeforeItIsSentAndGivenOncePerTerm) {
    raft::PersistentState disk = raft::bootstrap(7, 0, 3);
    disk.starts = 1;
    TestCluster names(3);
    const auto ask = [](raft::MemberId from) {
        Message m;
        m.kind = Message::Kind::request_vote, m.cluster_id = 7, m.from = from, m.to = 1;
        m.number = static_cast<std::uint32_t>(from - 1), m.run = {1, from}, m.term = 4;
        return m;
    };
    RaftNode keeper(names.settings(0), disk, 0, 5);
    keeper.on_message(0, ask(2));
    auto ready = keeper.take_ready();
    ASSERT_TRUE(ready.vote);
    EXPECT_EQ(ready.vote->term, 4U);
    EXPECT_EQ(ready.vote->voted, 2U);
    ASSERT_EQ(ready.messages.size(), 1U);
    EXPECT_TRUE(ready.messages[0].ok);
    disk.term = ready.vote->term, disk.voted = ready.vote->voted, disk.starts = 2;
    RaftNode again(names.settings(0), disk, 0, 6);  // restarted after it had voted
    again.on_message(0, ask(3));
    ready = again.take_ready();
    ASSERT_EQ(ready.messages.size(), 1U);
    EXPECT_FALSE(ready.messages[0].ok);
}

TEST(Agreement, InconsistentLogIsRejected) {
    TestCluster names(3);
    raft::PersistentState disk = raft::bootstrap(7, 0, 3);
    disk.term = 3;
    disk.entries = {{2, raft::Entry::Kind::nothing, ""}, {1, raft::Entry::Kind::nothing, ""}};
    EXPECT_THROW(RaftNode(names.settings(0), disk, 0, 5), raft::ProtocolViolation);
    disk.entries = {{4, raft::Entry::Kind::nothing, ""}};
    EXPECT_THROW(RaftNode(names.settings(0), disk, 0, 5), raft::ProtocolViolation);
}

// ---- Persistent state ------------------------------------------------------------------------------------

raft::PersistentState example_state() {
    raft::PersistentState s = raft::bootstrap(7, 1, 3);
    s.starts = 4, s.term = 9, s.voted = 2;
    s.snapshot.index = 5, s.snapshot.term = 3, s.snapshot.data = "book";
    s.entries = {{4, raft::Entry::Kind::data, "a"}, {9, raft::Entry::Kind::nothing, ""}};
    return s;
}

TEST(Journal, ReplaysRecordsAndDistinguishesTornTailFromCorruption) {
    const std::string whole = store::records_of(example_state());
    const auto back = store::replay(whole);
    ASSERT_EQ(back.found, store::Replayed::Found::intact);
    EXPECT_EQ(back.stored.id, 2U);
    EXPECT_EQ(back.stored.term, 9U);
    EXPECT_EQ(back.stored.entries, example_state().entries);
    EXPECT_EQ(back.stored.snapshot, example_state().snapshot);
    for (std::size_t n = 0; n < whole.size(); ++n) {
        const auto cut = store::replay(whole.substr(0, n));
        EXPECT_NE(cut.found, store::Replayed::Found::corrupt) << "cut at " << n;
        EXPECT_LE(cut.good, n);
        std::string rotten = whole;
        rotten[n] = static_cast<char>(rotten[n] ^ 4);
        EXPECT_EQ(store::replay(rotten).found, store::Replayed::Found::corrupt) << "rotten at " << n;
    }
    // An entry replaces all stored ones from its index on.
    raft::Ready ready;
    ready.from = 7;
    ready.entries = {{10, raft::Entry::Kind::data, "b"}};
    const auto more = store::replay(whole + store::records_of(ready));
    ASSERT_EQ(more.stored.entries.size(), 2U);
    EXPECT_EQ(more.stored.entries[1].data, "b");
    ready.from = 9;
    EXPECT_EQ(store::replay(whole + store::records_of(ready)).found, store::Replayed::Found::corrupt)
        << "a gap";
}

TEST(Hostile, MalformedMessagesRequestsAndSnapshotsAreRejected) {
    Message m;
    m.kind = Message::Kind::append, m.cluster_id = 7, m.from = 2, m.to = 1, m.term = 3;
    m.entries = {{3, raft::Entry::Kind::data, "abc"}};
    const std::string good = raft::encode(m);
    std::string why;
    ASSERT_TRUE(raft::decode_message(good, why));
    for (std::size_t n = 0; n < good.size(); ++n) {
        EXPECT_FALSE(raft::decode_message(good.substr(0, n), why)) << "cut at " << n;
        std::string bent = good;
        bent[n] = static_cast<char>(bent[n] ^ 1);
        EXPECT_FALSE(raft::decode_message(bent, why)) << "bent at " << n;
    }
    const auto raw = [](std::initializer_list<int> bytes) {
        std::string text;
        for (const int byte : bytes) text.push_back(static_cast<char>(byte));
        return store::append_checksum(text);
    };
    const struct {
        const char* what;
        std::string bytes;
        const char* why;
    } rows[] = {
        {"nothing", "", "its checksum is not its own"},
        {"nothing, sealed", raw({}), "its format is 0"},
        {"a newer format", raw({0x08, 2, 0x20, 1}), "its format is 2"},
        {"from nobody", raw({0x08, 1}), "it is from nobody"},
        {"a kind that there is not", raw({0x08, 1, 0x10, 99}), "kind is over its bound"},
        {"a text for a number", raw({0x08, 1, 0x1a, 1, 65}), "fleet is of another type"},
        {"a number over 64 bits", raw({0x08, 1, 0x18, 255, 255, 255, 255, 255, 255, 255, 255, 255, 255, 1}),
         "fleet can't be read"},
        {"an entry longer than all", raw({0x08, 1, 0x82, 1, 0x7f, 0}), "entry can't be read"},
        {"an entry without a term", raw({0x08, 1, 0x82, 1, 2, 0x10, 1}), "an entry has no term"},
        {"members that are nobody", raw({0x08, 1, 0x82, 1, 8, 0x08, 1, 0x10, 2, 0x1a, 2, 0x0a, 0}),
         "a member is nobody"},
        {"a tag of no field", raw({0x08, 1, 0x00}), "a field's tag can't be read"},
        {"a kind that is no longer spoken", raw({0x08, 1, 0x10, 6, 0x20, 1}),
         "it is of a kind that is no longer spoken"},
        {"a snapshot's piece without one", raw({0x08, 1, 0x10, 9, 0x20, 1}),
         "the snapshot's piece is missing"},
        {"a snapshot's piece past its end",
         raw({0x08, 1, 0x10, 9, 0x20, 1, 0x9a, 1, 7, 0x20, 5, 0x28, 5, 0x3a, 1, 'x'}),
         "a piece is past its snapshot's end"},
        {"longer than any", std::string(raft::kMaxMessageBytes + 1, 'x'), "it is too long"},
    };
    for (const auto& row : rows) {
        EXPECT_FALSE(raft::decode_message(row.bytes, why)) << row.what;
        EXPECT_EQ(why, row.why) << row.what;
    }
    EXPECT_TRUE(raft::decode_message(raw({0x08, 1, 0x20, 1, 0xf8, 1, 5}), why)) << "a field of a newer build";
    lease::Request q;
    q.holder = 3, q.task = "t";
    ASSERT_TRUE(lease::decode_question(lease::encode(q), why));
    q.length = 1;
    EXPECT_FALSE(lease::decode_question(lease::encode(q), why));
    EXPECT_EQ(why, "length is out of its range");
    q.length = 1000, q.task.assign(lease::kMaxName + 1, 't');
    EXPECT_FALSE(lease::decode_question(lease::encode(q), why));
    q.task.clear();
    EXPECT_FALSE(lease::decode_question(lease::encode(q), why));
    EXPECT_EQ(why, "the task is missing");
    lease::LeaseTable book;
    EXPECT_FALSE(book.load("\x1a\x7f"));
    EXPECT_TRUE(book.tasks().empty());
}

TEST(Agreement, MessagesOfOtherClustersReceiversOrEarlierRunsAreIgnored) {
    TestCluster cluster(3);
    cluster.advance(3000);
    const int leader = cluster.leader(), other = (leader + 1) % 3;
    Message m;
    m.kind = Message::Kind::append, m.from = static_cast<raft::MemberId>(leader + 1),
    m.number = static_cast<std::uint32_t>(leader);
    m.to = cluster.all[other]->id(), m.term = 99, m.run = {1, 0}, m.cluster_id = 8;
    const auto term = cluster.all[other]->term();
    const auto send_and_check = [&](const char* what) {
        cluster.all[other]->on_message(cluster.now, m);
        EXPECT_EQ(cluster.all[other]->term(), term) << what;
        EXPECT_FALSE(cluster.all[other]->retired()) << what;
    };
    send_and_check("another fleet's");
    m.cluster_id = 7, m.to = 77;
    send_and_check("another's");
    m.to = cluster.all[other]->id(), m.run = {0, 5};
    send_and_check("an earlier run's");
    m.kind = Message::Kind::not_a_member, m.run = {77, 77};
    send_and_check("told to go, but not in this run");
}

// ---- Leases ----------------------------------------------------------------------------------------------

lease::Op op(lease::Op::Kind kind, lease::HolderId holder, lease::Fence fence = 0, bool wait = true) {
    lease::Op one;
    one.kind = kind, one.task = "probe", one.holder = holder, one.name = "h" + std::to_string(holder);
    one.fence = fence, one.length = 1000, one.wait = wait;
    return one;
}

TEST(Book, FencingTokensIncreaseAndTheQueueKeepsItsOrder) {
    using Kind = lease::Op::Kind;
    lease::LeaseTable book;
    EXPECT_EQ(book.apply(op(Kind::want, 1)).fence, 1U);
    EXPECT_EQ(book.apply(op(Kind::want, 2)).outcome, lease::LeaseTable::Outcome::queued);
    EXPECT_EQ(book.apply(op(Kind::want, 3)).outcome, lease::LeaseTable::Outcome::queued);
    EXPECT_EQ(book.apply(op(Kind::want, 4, 0, false)).outcome, lease::LeaseTable::Outcome::refused);
    EXPECT_EQ(book.apply(op(Kind::lapse, 0, 9)).outcome, lease::LeaseTable::Outcome::nothing)
        << "not its fence";
    EXPECT_EQ(book.apply(op(Kind::release, 2, 1)).outcome, lease::LeaseTable::Outcome::nothing)
        << "not its holder";
    lease::Op release = op(Kind::release, 1, 1);
    release.next = "h3";  // handed over, ahead of the first waiter
    EXPECT_EQ(book.apply(release).to, 3U);
    EXPECT_EQ(book.find("probe")->fence, 2U);
    EXPECT_EQ(book.apply(op(Kind::lapse, 0, 1)).outcome, lease::LeaseTable::Outcome::nothing)
        << "of a right that is over";
    EXPECT_EQ(book.apply(op(Kind::lapse, 0, 2)).to, 2U);
    book.apply(op(Kind::release, 2, 3));
    EXPECT_EQ(book.find("probe"), nullptr);
    EXPECT_EQ(book.apply(op(Kind::want, 1)).fence, 4U) << "also of a task long forgotten";
    lease::LeaseTable again;
    ASSERT_TRUE(again.load(book.save()));
    EXPECT_EQ(again.save(), book.save());
    EXPECT_EQ(again.digest(), book.digest());
    for (lease::HolderId h = 10; h < 10 + lease::kMaxQueue; ++h) book.apply(op(Kind::want, h));
    EXPECT_EQ(book.apply(op(Kind::want, 999)).outcome, lease::LeaseTable::Outcome::full);
}

TEST(Book, NoteNeedsTheCurrentLeaseAndOutlivesItsHolder) {
    using Kind = lease::Op::Kind;
    using Outcome = lease::LeaseTable::Outcome;
    lease::LeaseTable book;
    const auto note = [&](lease::HolderId holder, lease::Fence fence, std::uint64_t number,
                          const std::string& text) {
        lease::Op one = op(Kind::note, holder, fence);
        one.number = number, one.text = text;
        return book.apply(one).outcome;
    };
    EXPECT_EQ(note(1, 1, 1, "step 1"), Outcome::nothing) << "nobody holds it";
    book.apply(op(Kind::want, 1)), book.apply(op(Kind::want, 2));
    EXPECT_EQ(note(1, 1, 7, "step 1"), Outcome::noted);
    EXPECT_EQ(note(1, 1, 9, "step 2"), Outcome::noted);
    EXPECT_EQ(note(1, 1, 7, "step 1"), Outcome::nothing) << "the first one again, late";
    EXPECT_EQ(note(1, 1, 9, "else"), Outcome::noted) << "doubled: it has been left";
    EXPECT_EQ(book.note("probe"), "step 2");
    EXPECT_EQ(note(1, 2, 10, "x"), Outcome::nothing) << "a right that is not there yet";
    lease::LeaseTable again;
    ASSERT_TRUE(again.load(book.save()));
    EXPECT_EQ(again.note("probe"), "step 2");
    EXPECT_EQ(again.notes().at("probe").number, 9U);
    book.apply(op(Kind::lapse, 0, 1));
    EXPECT_EQ(note(1, 1, 11, "step 3"), Outcome::nothing) << "its right is over";
    EXPECT_EQ(book.note("probe"), "step 2");
    EXPECT_EQ(note(2, 2, 1, ""), Outcome::noted) << "taken away";
    EXPECT_EQ(book.note("probe"), "");
    EXPECT_EQ(note(2, 2, 0, "late"), Outcome::nothing) << "it does not come back";
    book.apply(op(Kind::release, 2, 2));
    EXPECT_TRUE(book.notes().empty());
    // Notes up to the limit are stored, one more is refused.
    for (std::size_t n = 0; n <= lease::kMaxNotes; ++n) {
        lease::Op one = op(Kind::want, 5);
        one.task = "task " + std::to_string(n);
        const lease::Fence fence = book.apply(one).fence;
        one.kind = Kind::note, one.fence = fence, one.number = 1, one.text = "x";
        EXPECT_EQ(book.apply(one).outcome, n < lease::kMaxNotes ? Outcome::noted : Outcome::full);
    }
}

// Guards against a note that is reported as stored although no replica has confirmed it, and against a lost
// request that is not repeated.
TEST(Holder, NoteIsRepeatedUntilAnsweredOrTheLeaseEnds) {
    lease::HolderSettings s;
    s.id = 7, s.keepers = 3, s.margin = 50;
    lease::Holder holder(s, 1);
    EXPECT_FALSE(holder.leave_note(0, "t", "x")) << "no right";
    holder.want(0, "t", 1000, true);
    holder.tick(0);
    lease::Response a;
    a.kind = lease::Response::Kind::held, a.holder = 7, a.task = "t", a.fence = 3, a.length = 1000;
    a.number = holder.take().at(0).question.number, a.text = "before";
    holder.heard(10, a);
    EXPECT_EQ(holder.note("t"), "before");
    EXPECT_FALSE(holder.leave_note(20, "t", "two\nlines"));
    EXPECT_FALSE(holder.leave_note(20, "t", std::string(lease::kMaxNote + 1, 'x')));
    ASSERT_TRUE(holder.leave_note(20, "t", "after"));
    holder.tick(20);
    const auto asked = holder.take();
    ASSERT_EQ(asked.size(), 1U);
    EXPECT_EQ(asked[0].question.kind, lease::Request::Kind::note);
    EXPECT_EQ(asked[0].question.fence, 3U);
    EXPECT_EQ(holder.note_state("t"), lease::Holder::Note::on_its_way);
    EXPECT_EQ(holder.note("t"), "before") << "not known to be left";
    // Without a response the request is repeated with a higher number to another replica; a late response to
    // the first one changes nothing.
    std::vector<lease::Holder::Ask> again;
    for (double now = 20; now < 700 && again.empty(); now += 10) {
        holder.tick(now);
        for (auto& ask : holder.take())
            if (ask.question.kind == lease::Request::Kind::note) again.push_back(ask);
    }
    ASSERT_EQ(again.size(), 1U);
    EXPECT_GT(again[0].question.number, asked[0].question.number);
    EXPECT_NE(again[0].keeper, asked[0].keeper);
    lease::Response done;
    done.kind = lease::Response::Kind::done, done.holder = 7, done.task = "t", done.fence = 3;
    done.number = asked[0].question.number;
    holder.heard(700, done);
    EXPECT_EQ(holder.note_state("t"), lease::Holder::Note::on_its_way);
    done.number = again[0].question.number;
    holder.heard(710, done);
    EXPECT_EQ(holder.note_state("t"), lease::Holder::Note::left);
    EXPECT_EQ(holder.note("t"), "after");
    // If the lease ends while a note is pending, it may or may not have been stored.
    ASSERT_TRUE(holder.leave_note(720, "t", "third"));
    for (double now = 720; now < 3000; now += 10) holder.tick(now), holder.take();
    EXPECT_EQ(holder.note_state("t"), lease::Holder::Note::not_left);
}

TEST(Book, StateAtAllLimitsFitsIntoOneSnapshot) {
    lease::LeaseTable book;
    for (std::size_t n = 0; n < lease::kMaxTasks + 1; ++n) {
        lease::Op one = op(lease::Op::Kind::want, n + 1);
        one.task = std::to_string(n);
        one.task.resize(lease::kMaxName, 't'), one.name.assign(lease::kMaxName, 'n');
        EXPECT_EQ(book.apply(one).outcome, n < lease::kMaxTasks ? lease::LeaseTable::Outcome::granted
                                                                : lease::LeaseTable::Outcome::full);
        one.holder = 1'000'000 + n;
        if (n < lease::kMaxTasks) book.apply(one);
    }
    EXPECT_LT(book.save().size(), raft::kMaxSnapshotBytes);
    lease::LeaseTable again;
    EXPECT_TRUE(again.load(book.save()));
    EXPECT_EQ(again.tasks().size(), lease::kMaxTasks);
}

TEST(Gate, RefusesLowerTokensAlsoOfEvictedTasks) {
    lease::Gate gate(2);
    EXPECT_TRUE(gate.admit("a", 5));
    EXPECT_TRUE(gate.admit("a", 5));
    EXPECT_FALSE(gate.admit("a", 4));
    EXPECT_FALSE(gate.admit("a", 0));
    EXPECT_TRUE(gate.admit("b", 3));
    EXPECT_TRUE(gate.admit("c", 9));  // b has the lowest token and is evicted
    EXPECT_FALSE(gate.admit("b", 2));
    EXPECT_TRUE(gate.admit("b", 10));
    EXPECT_EQ(gate.refused(), 3U);
}

struct HolderFixture {
    lease::Holder holder;
    HolderFixture() : holder(settings(), 7) {}
    static lease::HolderSettings settings() {
        lease::HolderSettings s;
        s.id = 42, s.name = "me", s.margin = 100;
        return s;
    }
    lease::Request ask(double now) {
        holder.tick(now);
        auto out = holder.take();
        return out.empty() ? lease::Request{} : out.back().question;
    }
    lease::Response held(const lease::Request& q, lease::Fence fence = 5) {
        lease::Response a;
        a.kind = lease::Response::Kind::held, a.holder = q.holder, a.number = q.number, a.task = q.task;
        a.fence = fence, a.length = q.length;
        return a;
    }
};

TEST(Holder, LeaseCountsFromTheRequestAndEndsAMarginEarly) {
    HolderFixture me;
    me.holder.want(1000, "probe", 3000, false);
    const auto q = me.ask(1000);
    EXPECT_FALSE(me.holder.right(1000, "probe"));
    me.holder.heard(1400, me.held(q));  // response 400 ms after the request
    ASSERT_TRUE(me.holder.right(1400, "probe"));
    EXPECT_EQ(me.holder.right(1400, "probe")->until, 3900);
    EXPECT_FALSE(me.holder.right(3900, "probe"));
}

TEST(Holder, DuplicateOrDelayedResponseDoesNotExtendALease) {
    HolderFixture me;
    me.holder.want(0, "probe", 3000, false);
    const auto first = me.ask(0);
    me.ask(10000);  // timed out: back-off, then another replica
    const auto second = me.ask(10060);
    ASSERT_GT(second.number, first.number);
    me.holder.heard(10061, me.held(first));
    EXPECT_FALSE(me.holder.right(10061, "probe")) << "of a question that has a successor";
    me.holder.heard(10070, me.held(second));
    ASSERT_TRUE(me.holder.right(10070, "probe"));
    me.holder.heard(12000, me.held(second));
    EXPECT_EQ(me.holder.right(12000, "probe")->until, 12960) << "doubled: counts from the same asking";
    me.holder.heard(60000, me.held(second));
    EXPECT_FALSE(me.holder.right(60000, "probe"));
    auto another = me.held(me.ask(61000));
    another.holder = 43;
    me.holder.heard(61001, another);
    EXPECT_FALSE(me.holder.right(61001, "probe")) << "another's";
}

TEST(Holder, ReleasedLeaseIsNotUsedEvenIfTheReleaseIsLost) {
    HolderFixture me;
    me.holder.want(0, "probe", 3000, false);
    me.holder.heard(10, me.held(me.ask(0)));
    ASSERT_TRUE(me.holder.right(20, "probe"));
    me.holder.give_up(20, "probe", "you");
    EXPECT_FALSE(me.holder.right(21, "probe"));
    const auto q = me.ask(21);
    EXPECT_EQ(q.kind, lease::Request::Kind::release);
    EXPECT_EQ(q.fence, 5U);
    EXPECT_EQ(q.next, "you");
    me.holder.heard(30, me.held(q));  // a delayed response
    EXPECT_FALSE(me.holder.right(31, "probe"));
    double now = 31;
    for (; me.holder.state("probe") != lease::Holder::State::idle && now < 10000; now += 10) me.ask(now);
    EXPECT_LT(now, 4500) << "unanswered, it ends by itself with the right";
}

TEST(Holder, RenewalsOfManyHoldersAreSpread) {
    std::map<int, int> by_slot;
    for (std::uint64_t n = 0; n < 2000; ++n) {
        lease::HolderSettings s;
        s.id = n + 1;
        lease::Holder holder(s, n * 7919);
        holder.want(0, "t", 9000, false);
        holder.tick(0);
        lease::Response a;
        a.kind = lease::Response::Kind::held, a.holder = s.id, a.task = "t", a.fence = 1, a.length = 9000;
        a.number = holder.take().at(0).question.number;
        holder.heard(1, a);
        ++by_slot[static_cast<int>(holder.due() / 100)];
    }
    for (const auto& [slot, count] : by_slot) EXPECT_LT(count, 300) << "of 2,000 in " << slot << " x 100 ms";
}

// ---- Simulated days --------------------------------------------------------------------------------------

sim::Case quiet_day() {
    sim::Case day;
    day.length = 20000;
    day.set = {{"keepers", 3}, {"holders", 3},    {"tasks", 2},    {"lease.quiet", 1},
               {"servers", 0}, {"forwarders", 0}, {"planners", 0}, {"load", 0}};
    return day;
}

sim::Played run_day(const sim::Case& day) {
    sim::Played p = sim::play(day);
    for (const auto& f : p.findings) ADD_FAILURE() << f.at << " ms: " << f.rule << ": " << f.what;
    return p;
}

TEST(LeaseDay, WithoutFaultsTheLeaderAndAllHoldersStay) {
    const auto p = run_day(quiet_day());
    EXPECT_EQ(p.figures.at("leaders"), 1);
    EXPECT_EQ(p.figures.at("rights gained"), 2);
    EXPECT_LT(p.figures.at("syncs"), 40) << "renewals write nothing";
}

TEST(LeaseDay, TaskOfACrashedHolderIsGrantedSoonAfterTheLeaseEnds) {
    sim::Case day = quiet_day();
    for (int holder = 0; holder < 3; ++holder)
        day.faults.push_back({"holder-down", std::to_string(holder), 4000.0 + 4000 * holder, 300, 0});
    const auto p = run_day(day);
    EXPECT_GE(p.figures.at("rights gained"), 3);
    // The lease's duration extended by the clock drift, plus the time to commit.
    EXPECT_LE(p.figures.at("longest without a holder"), 2000 * 1.06 + 300);
}

TEST(LeaseDay, WithoutAMajorityNobodyActsPastItsLease) {
    sim::Case day = quiet_day();
    day.faults = {{"keeper-down", "0", 5000, 6000, 0}, {"keeper-down", "1", 5000, 6000, 0}};
    const auto p = run_day(day);
    EXPECT_GE(p.figures.at("longest without a holder"), 3000) << "nobody can give rights meanwhile";
}

TEST(LeaseDay, GateRefusesActionsOfAHolderThatWasPaused) {
    sim::Case day = quiet_day();
    day.set["tasks"] = 1;
    for (int holder = 0; holder < 3; ++holder)
        day.faults.push_back({"holder-pause", std::to_string(holder), 3000.0 + 4000 * holder, 3500, 0});
    const auto p = run_day(day);
    EXPECT_GE(p.figures.at("acts sent after a stop"), 1);
    EXPECT_GE(p.figures.at("stale acts refused"), 1);
}

// Guards against elections that never end because candidates keep raising each other's terms; random election
// timeouts prevent that.
TEST(LeaseDay, RepeatedElectionsEnd) {
    sim::Case day = quiet_day();
    day.set["keepers"] = 5;
    for (int n = 0; n < 8; ++n) day.faults.push_back({"leader-down", "", 2000.0 + 1500 * n, 700, 0});
    const auto p = run_day(day);
    EXPECT_GE(p.figures.at("leaders"), 8);
}

TEST(LeaseDay, RandomDaysWithAllFaults) {
    std::map<std::string, double> sums;
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        const auto p = sim::play(sim::drawn_lease_day(seed));
        for (const auto& f : p.findings) ADD_FAILURE() << "seed " << seed << ": " << f.rule << ": " << f.what;
        for (const auto& [name, value] : p.figures) sums[name] += value;
    }
    for (const char* what :
         {"struck: keeper down, crash", "struck: keeper down, folder lost",
          "struck: keeper down, folder rotten", "struck: keeper down, disk full",
          "struck: keeper down, older folder", "struck: leader down", "struck: keeper stopped",
          "struck: holder stopped", "struck: holder down", "struck: slow disk", "struck: lease-lossy",
          "struck: answers-lost", "struck: keeper-cut", "struck: lease-split", "deaths in a write",
          "torn tails", "stale acts refused"})
        EXPECT_GE(sums[what], 5) << what;
    EXPECT_GE(sums["new lives"], 20);
}

}  // namespace
}  // namespace cobaltshift
