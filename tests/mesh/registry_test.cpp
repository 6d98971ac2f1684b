// The table of nodes, and the messages in bytes.
#include "registry/registry.hpp"

#include <doctest/doctest.h>

#include "gossip/message.hpp"
#include "random.hpp"

using namespace cobaltshift;
using namespace cobaltshift::registry;

namespace {
NodeRecord node(std::uint32_t ip, std::uint64_t life, std::uint64_t seq) {
    NodeRecord record;
    record.ip = ip;
    record.life = life;
    record.seq = seq;
    record.zone = "nottingham";
    return record;
}
}  // namespace

TEST_CASE("a higher life beats a lower, then a higher seq") {
    Registry registry;
    CHECK(registry.take(0, node(1, 5, 9)).taken == Registry::Taken::newer);
    CHECK(registry.take(0, node(1, 5, 9)).taken == Registry::Taken::same);
    CHECK(registry.take(0, node(1, 5, 8)).taken == Registry::Taken::older);
    CHECK(registry.take(0, node(1, 4, 99)).taken == Registry::Taken::older);
    CHECK(registry.take(0, node(1, 5, 10)).taken == Registry::Taken::newer);
    CHECK(registry.take(0, node(1, 6, 1)).taken == Registry::Taken::newer);
    CHECK(registry.find(1)->record.seq == 1);
    CHECK_FALSE(registry.find(2));
}

TEST_CASE("a change is of content, life or standing, not of seq") {
    Registry registry;
    NodeRecord record = node(1, 5, 1);
    record.server = ServerRecord{"i-1", "huvo11a", "v1", 8080, 18, false, 4, 3.0};
    CHECK(registry.take(0, record).changed);
    record.seq = 2;
    record.server->call_seq = 5;
    record.server->warmup_left_s = 1.5;
    CHECK_FALSE(registry.take(0, record).changed);
    record.seq = 3;
    record.server->warmup_left_s = 0;
    CHECK(registry.take(0, record).changed);
    record.seq = 4;
    record.server->closing = true;
    CHECK(registry.take(0, record).changed);
    record.life = 6;
    record.seq = 1;
    CHECK(registry.take(0, record).changed);
    CHECK(registry.stand(0, 1, Standing::gone));
    CHECK_FALSE(registry.stand(0, 1, Standing::gone));
    record.seq = 2;
    CHECK(registry.take(0, record).changed);
    CHECK(registry.find(1)->standing == Standing::alive);
}

TEST_CASE("digests are equal for equal tables, however they came about, and differ where they differ") {
    Registry a, b;
    for (std::uint32_t ip = 1; ip <= 200; ++ip) a.take(0, node(ip, 1, 3));
    for (std::uint32_t ip = 200; ip >= 1; --ip) {
        b.take(0, node(ip, 1, 2));
        b.take(0, node(ip, 1, 3));
    }
    CHECK(a.digest() == b.digest());
    CHECK(a.ranges() == b.ranges());
    b.take(0, node(77, 1, 4));
    CHECK(a.digest() != b.digest());
    for (std::size_t range = 0; range < kRanges; ++range)
        CHECK((a.ranges()[range] != b.ranges()[range]) == (range == Registry::range_of(77)));
    b.stand(0, 77, Standing::gone);
    a.stand(0, 77, Standing::gone);
    CHECK(a.digest() == b.digest());  // who is gone is in no digest
    b.stand(0, 78, Standing::suspect);
    CHECK(a.digest() == b.digest());
}

TEST_CASE("what is left of a warm-up runs out while it is held") {
    Registry registry;
    NodeRecord record = node(1, 1, 1);
    record.server = ServerRecord{"i-1", "huvo11a", "v1", 8080, 18, false, 4, 3.0};
    registry.take(1000, record);
    CHECK(Registry::handed_on(2500, *registry.find(1)).server->warmup_left_s == doctest::Approx(1.5));
    CHECK(Registry::handed_on(9000, *registry.find(1)).server->warmup_left_s == 0);
}

TEST_CASE("who is gone is forgotten after a minute, and makes room before") {
    Registry registry;
    for (std::uint32_t ip = 1; ip <= kMostNodes; ++ip) registry.take(0, node(ip, 1, 1));
    CHECK(registry.take(0, node(9999, 1, 1)).taken == Registry::Taken::refused);
    registry.stand(5, 7, Standing::gone);
    registry.stand(4, 8, Standing::gone);
    CHECK(registry.take(6, node(9999, 1, 1)).taken == Registry::Taken::newer);
    CHECK_FALSE(registry.find(8));
    CHECK(registry.forget(5 + kGoneKept - 1).empty());
    CHECK(registry.forget(5 + kGoneKept) == std::vector<std::uint32_t>{7});
    CHECK_FALSE(registry.find(7));
}

TEST_CASE("one told gone with a later record stays gone by an earlier") {
    Registry registry;
    registry.take(0, node(1, 1, 3));
    CHECK(registry.bury(0, {1, 1, 5, Standing::gone}));
    CHECK(registry.take(0, node(1, 1, 5)).taken == Registry::Taken::same);
    CHECK(registry.find(1)->standing == Standing::gone);
    CHECK(registry.take(0, node(1, 1, 6)).taken == Registry::Taken::newer);
}

namespace {
gossip::Message full(gossip::Kind kind) {
    gossip::Message message;
    message.kind = kind;
    message.from = {0x0a010029, 7, 8, 9, 10};
    message.number = 11;
    message.target = {0x0a01002a, 1, 2, Standing::suspect};
    message.part = 1;
    message.parts = 3;
    message.mask = 0xff;
    message.fresh = true;
    for (std::size_t i = 0; i < kRanges; ++i) message.ranges[i] = static_cast<std::uint32_t>(i * 77);
    message.keys = {{1, 2, 3, Standing::gone}, {4, 5, 6, Standing::alive}};
    NodeRecord record = node(0x0a010029, 7, 8);
    record.ready = true;
    message.records.push_back(record);
    record.leaving = true;
    record.role = NodeRole::hub;
    record.server = ServerRecord{"i-7f3a91c2", "huvo11a", "v1", 8080, 18, true, 4, 1.5};
    message.records.push_back(record);
    return message;
}
}  // namespace

TEST_CASE("messages come out of their bytes as they went in") {
    using gossip::Kind;
    for (std::uint8_t kind = 0; kind < gossip::kKinds; ++kind) {
        const auto message = full(static_cast<Kind>(kind));
        const auto read = gossip::decode(gossip::encode(message));
        CAPTURE(kind);
        REQUIRE(read);
        CHECK(read->kind == message.kind);
        CHECK(read->from.digest == 10);
        CHECK(gossip::encode(*read) == gossip::encode(message));
    }
    const auto news = gossip::decode(gossip::encode(full(Kind::news)));
    CHECK(news->records == full(Kind::news).records);
    CHECK(news->keys == full(Kind::news).keys);
    CHECK(gossip::decode(gossip::encode(full(Kind::ranges)))->ranges == full(Kind::ranges).ranges);
}

TEST_CASE("torn and hostile bytes are refused") {
    for (std::uint8_t kind = 0; kind < gossip::kKinds; ++kind) {
        const std::string bytes = gossip::encode(full(static_cast<gossip::Kind>(kind)));
        for (std::size_t size = 0; size < bytes.size(); ++size)
            CHECK_FALSE(gossip::decode(bytes.substr(0, size)));
        CHECK_FALSE(gossip::decode(bytes + 'x'));
        kelplb::Random random(kind);
        for (int i = 0; i < 2000; ++i) {  // must end, whatever comes of it
            std::string spoilt = bytes;
            for (std::size_t n = 1 + random.below(4); n; --n)
                spoilt[random.below(spoilt.size())] = static_cast<char>(random.below(256));
            (void)gossip::decode(spoilt);
        }
    }
    CHECK_FALSE(gossip::decode(std::string(100, '\0')));
    CHECK_FALSE(gossip::decode(std::string(100'000, 'a')));
    auto huge = full(gossip::Kind::want);
    huge.keys[0].life = ~0ULL;  // nobody could rise above it
    CHECK_FALSE(gossip::decode(gossip::encode(huge)));
    auto nobody = full(gossip::Kind::prune);
    nobody.from.ip = 0;
    CHECK_FALSE(gossip::decode(gossip::encode(nobody)));
}

TEST_CASE("a record takes no more bytes than is reckoned with") {
    auto message = full(gossip::Kind::records);
    message.records.clear();
    const std::size_t without = gossip::encode(message).size();
    NodeRecord record = node(1, 2, 3);
    record.zone = std::string(500, 'z');
    record.server = ServerRecord{
        std::string(500, 'i'), std::string(500, 's'), std::string(500, 'e'), 8080, 18, true, 4, 1.5};
    message.records.push_back(record);
    const std::string bytes = gossip::encode(message);
    CHECK(bytes.size() - without <= gossip::bytes_of(record));
    CHECK(without + gossip::kRoom <= gossip::kMostBytes);
    REQUIRE(gossip::decode(bytes));
    CHECK(gossip::decode(bytes)->records[0].zone.size() == gossip::kMostText);
}
