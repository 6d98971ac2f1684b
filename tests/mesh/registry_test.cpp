// The membership table and the encoding of gossip messages.
#include "registry/registry.hpp"

#include <doctest/doctest.h>

#include "gossip/message.hpp"
#include "random.hpp"

using namespace cobaltshift;
using namespace cobaltshift::registry;

namespace {
NodeRecord record_of(std::uint32_t ip, std::uint64_t incarnation, std::uint64_t seq) {
    NodeRecord record;
    record.ip = ip;
    record.incarnation = incarnation;
    record.seq = seq;
    record.zone = "nottingham";
    return record;
}
}  // namespace

TEST_CASE("registry: the higher incarnation wins, then the higher seq") {
    Registry registry;
    CHECK(registry.merge(0, record_of(1, 5, 9)).outcome == Registry::MergeOutcome::newer);
    CHECK(registry.merge(0, record_of(1, 5, 9)).outcome == Registry::MergeOutcome::same);
    CHECK(registry.merge(0, record_of(1, 5, 8)).outcome == Registry::MergeOutcome::older);
    CHECK(registry.merge(0, record_of(1, 4, 99)).outcome == Registry::MergeOutcome::older);
    CHECK(registry.merge(0, record_of(1, 5, 10)).outcome == Registry::MergeOutcome::newer);
    CHECK(registry.merge(0, record_of(1, 6, 1)).outcome == Registry::MergeOutcome::newer);
    CHECK(registry.find(1)->record.seq == 1);
    CHECK_FALSE(registry.find(2));
}

TEST_CASE("registry: content, incarnation and state count as changes, seq and call_seq do not") {
    Registry registry;
    NodeRecord record = record_of(1, 5, 1);
    record.server = ServerRecord{"i-1", "huvo11a", "v1", 8080, 18, false, 4, 3.0};
    CHECK(registry.merge(0, record).changed);
    record.seq = 2;
    record.server->call_seq = 5;
    record.server->warmup_left_s = 1.5;
    CHECK_FALSE(registry.merge(0, record).changed);
    record.seq = 3;
    record.server->warmup_left_s = 0;
    CHECK(registry.merge(0, record).changed);
    record.seq = 4;
    record.server->closing = true;
    CHECK(registry.merge(0, record).changed);
    record.incarnation = 6;
    record.seq = 1;
    CHECK(registry.merge(0, record).changed);
    CHECK(registry.set_state(0, 1, MemberState::gone));
    CHECK_FALSE(registry.set_state(0, 1, MemberState::gone));
    record.seq = 2;
    CHECK(registry.merge(0, record).changed);
    CHECK(registry.find(1)->state == MemberState::alive);
}

TEST_CASE("registry: digests depend on the content of a table, not on the order of its updates") {
    Registry a, b;
    for (std::uint32_t ip = 1; ip <= 200; ++ip) a.merge(0, record_of(ip, 1, 3));
    for (std::uint32_t ip = 200; ip >= 1; --ip) {
        b.merge(0, record_of(ip, 1, 2));
        b.merge(0, record_of(ip, 1, 3));
    }
    CHECK(a.digest() == b.digest());
    CHECK(a.ranges() == b.ranges());
    b.merge(0, record_of(77, 1, 4));
    CHECK(a.digest() != b.digest());
    for (std::size_t range = 0; range < kRanges; ++range)
        CHECK((a.ranges()[range] != b.ranges()[range]) == (range == Registry::range_of(77)));
    b.set_state(0, 77, MemberState::gone);
    a.set_state(0, 77, MemberState::gone);
    CHECK(a.digest() == b.digest());  // nodes that are gone are not in the digest
    b.set_state(0, 78, MemberState::suspect);
    CHECK(a.digest() == b.digest());
}

TEST_CASE("registry: a stored warm-up counts down with time") {
    Registry registry;
    NodeRecord record = record_of(1, 1, 1);
    record.server = ServerRecord{"i-1", "huvo11a", "v1", 8080, 18, false, 4, 3.0};
    registry.merge(1000, record);
    CHECK(Registry::current_record(2500, *registry.find(1)).server->warmup_left_s == doctest::Approx(1.5));
    CHECK(Registry::current_record(9000, *registry.find(1)).server->warmup_left_s == 0);
}

TEST_CASE("registry: gone nodes are purged after a minute, and evicted before that if the table is full") {
    Registry registry;
    for (std::uint32_t ip = 1; ip <= kMaxNodes; ++ip) registry.merge(0, record_of(ip, 1, 1));
    CHECK(registry.merge(0, record_of(9999, 1, 1)).outcome == Registry::MergeOutcome::refused);
    registry.set_state(5, 7, MemberState::gone);
    registry.set_state(4, 8, MemberState::gone);
    CHECK(registry.merge(6, record_of(9999, 1, 1)).outcome == Registry::MergeOutcome::newer);
    CHECK_FALSE(registry.find(8));
    CHECK(registry.purge_gone(5 + kGoneRetentionMs - 1).empty());
    CHECK(registry.purge_gone(5 + kGoneRetentionMs) == std::vector<std::uint32_t>{7});
    CHECK_FALSE(registry.find(7));
}

TEST_CASE("registry: a node marked gone as of a later record is not revived by an earlier one") {
    Registry registry;
    registry.merge(0, record_of(1, 1, 3));
    CHECK(registry.mark_gone(0, {1, 1, 5, MemberState::gone}));
    CHECK(registry.merge(0, record_of(1, 1, 5)).outcome == Registry::MergeOutcome::same);
    CHECK(registry.find(1)->state == MemberState::gone);
    CHECK(registry.merge(0, record_of(1, 1, 6)).outcome == Registry::MergeOutcome::newer);
}

namespace {
gossip::Message sample(gossip::Kind kind) {
    gossip::Message message;
    message.kind = kind;
    message.from = {0x0a010029, 7, 8, 9, 10};
    message.number = 11;
    message.target = {0x0a01002a, 1, 2, MemberState::suspect};
    message.part = 1;
    message.parts = 3;
    message.complete_ranges = 0xff;
    message.sender_is_new = true;
    for (std::size_t i = 0; i < kRanges; ++i) message.ranges[i] = static_cast<std::uint32_t>(i * 77);
    message.keys = {{1, 2, 3, MemberState::gone}, {4, 5, 6, MemberState::alive}};
    NodeRecord record = record_of(0x0a010029, 7, 8);
    record.ready = true;
    message.records.push_back(record);
    record.leaving = true;
    record.role = NodeRole::control_node;
    record.server = ServerRecord{"i-7f3a91c2", "huvo11a", "v1", 8080, 18, true, 4, 1.5};
    message.records.push_back(record);
    return message;
}
}  // namespace

TEST_CASE("gossip message: decode() restores what encode() wrote, for each kind") {
    using gossip::Kind;
    for (std::uint8_t kind = 0; kind < gossip::kKindCount; ++kind) {
        const auto message = sample(static_cast<Kind>(kind));
        const auto read = gossip::decode(gossip::encode(message));
        CAPTURE(kind);
        REQUIRE(read);
        CHECK(read->kind == message.kind);
        CHECK(read->from.digest == 10);
        CHECK(gossip::encode(*read) == gossip::encode(message));
    }
    const auto news = gossip::decode(gossip::encode(sample(Kind::push)));
    CHECK(news->records == sample(Kind::push).records);
    CHECK(news->keys == sample(Kind::push).keys);
    CHECK(gossip::decode(gossip::encode(sample(Kind::range_digests)))->ranges ==
          sample(Kind::range_digests).ranges);
}

TEST_CASE("gossip message: truncated and corrupted datagrams are refused") {
    for (std::uint8_t kind = 0; kind < gossip::kKindCount; ++kind) {
        const std::string bytes = gossip::encode(sample(static_cast<gossip::Kind>(kind)));
        for (std::size_t size = 0; size < bytes.size(); ++size)
            CHECK_FALSE(gossip::decode(bytes.substr(0, size)));
        CHECK_FALSE(gossip::decode(bytes + 'x'));
        kelplb::Random random(kind);
        for (int i = 0; i < 2000; ++i) {  // must return, whatever the result
            std::string corrupted = bytes;
            for (std::size_t n = 1 + random.below(4); n; --n)
                corrupted[random.below(corrupted.size())] = static_cast<char>(random.below(256));
            (void)gossip::decode(corrupted);
        }
    }
    CHECK_FALSE(gossip::decode(std::string(100, '\0')));
    CHECK_FALSE(gossip::decode(std::string(100'000, 'a')));
    auto too_high = sample(gossip::Kind::request);
    too_high.keys[0].incarnation = ~0ULL;  // leaves no higher value for the node to refute with
    CHECK_FALSE(gossip::decode(gossip::encode(too_high)));
    auto no_sender = sample(gossip::Kind::prune);
    no_sender.from.ip = 0;
    CHECK_FALSE(gossip::decode(gossip::encode(no_sender)));
}

TEST_CASE("gossip message: the size estimate of a record is an upper bound") {
    auto message = sample(gossip::Kind::records);
    message.records.clear();
    const std::size_t without = gossip::encode(message).size();
    NodeRecord record = record_of(1, 2, 3);
    record.zone = std::string(500, 'z');
    record.server = ServerRecord{
        std::string(500, 'i'), std::string(500, 's'), std::string(500, 'e'), 8080, 18, true, 4, 1.5};
    message.records.push_back(record);
    const std::string bytes = gossip::encode(message);
    CHECK(bytes.size() - without <= gossip::max_encoded_bytes(record));
    CHECK(without + gossip::kMaxRecordBytes <= gossip::kMaxDatagramBytes);
    REQUIRE(gossip::decode(bytes));
    CHECK(gossip::decode(bytes)->records[0].zone.size() == gossip::kMaxTextBytes);
}
