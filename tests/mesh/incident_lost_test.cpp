// Regression tests for the incident "LOST" (docs/incidents/lost-2026-12-02.md), one for each of its causes:
// acknowledged changes lost in a power loss, and requests left unanswered by a proxy that shuts down.
#include <doctest/doctest.h>
#include <unistd.h>

#include <atomic>
#include <filesystem>
#include <fstream>

#include "control/replica.hpp"
#include "control_io/manifest_tail.hpp"
#include "control_io/store.hpp"
#include "power_loss_disk.hpp"
#include "sim_mesh/world.hpp"

using namespace cobaltshift;
using namespace cobaltshift::simmesh;

namespace {

std::string first_finding(const Played& played) {
    return played.findings.empty() ? "" : played.findings[0].rule + ": " + played.findings[0].what;
}

constexpr std::uint64_t kClusterId = 5;
constexpr raft::Index kCheckpointEvery = 64, kChanges = 400;
constexpr double kImageShare = 0.2;  // share of the possible moments of a power loss that are tested

// A log entry with contents that are unique to its index.
raft::Entry change_at(raft::Index index) {
    return {1, raft::Entry::Kind::data,
            std::to_string(index) + std::string(2000 + static_cast<std::size_t>(index * 7919 % 6000),
                                                static_cast<char>('a' + index % 26))};
}

// What a Raft member asks its store to persist for the change at `index`: the entry, and from time to time a
// snapshot that compacts the log.
raft::Ready ready_at(raft::Index index, raft::Index& compacted) {
    raft::Ready ready;
    ready.from = index;
    ready.entries = {change_at(index)};
    if (index < compacted + 2 * kCheckpointEvery) return ready;
    compacted += kCheckpointEvery;
    ready.snapshot.emplace();
    ready.snapshot->index = compacted;
    ready.snapshot->term = 1;
    ready.snapshot->members = control::bootstrap(kClusterId, 1, {1, 2, 3}).snapshot.members;
    ready.snapshot->data = std::string(20000, 's');
    ready.from = compacted + 1;
    ready.entries.clear();
    for (raft::Index one = ready.from; one <= index; ++one) ready.entries.push_back(change_at(one));
    return ready;
}

// Opens a folder in which everything up to index `persisted` had been persisted. Returns what is wrong with
// it, or an empty string.
std::string find_fault(const std::string& folder, raft::Index persisted) {
    control::Store store(folder, kClusterId);
    const auto stored = store.take_stored();
    if (!store.why().empty()) return "set aside: " + store.why();
    if (!stored) return "found empty";
    const raft::Index last = stored->snapshot.index + stored->entries.size();
    if (last < persisted)
        return "holds " + std::to_string(last) + " of " + std::to_string(persisted) +
               " entries that were kept";
    for (std::size_t i = 0; i < stored->entries.size(); ++i)
        if (stored->entries[i] != change_at(stored->snapshot.index + 1 + i)) return "an entry is another";
    return {};
}

}  // namespace

TEST_SUITE("incident lost: store") {
    // Simulates power losses between LevelDB's disk operations, including those of its background thread.
    void check_power_losses(std::uint64_t seed) {
        namespace fs = std::filesystem;
        const fs::path root = fs::temp_directory_path() / ("power-loss-" + std::to_string(::getpid()));
        fs::remove_all(root);
        const std::string folder = root / "hub", images = root / "picture-";
        testing::PowerLossDisk disk(seed);
        std::atomic<raft::Index> persisted{0};
        std::vector<raft::Index> persisted_before;  // for each image: the last index persisted before it
        {
            control::Store store(folder, kClusterId, disk);
            raft::PersistentState first_state = control::bootstrap(kClusterId, 1, {1, 2, 3});
            first_state.term = 1;
            store.begin(first_state);
            kelplb::Random random(seed + 1000);
            disk.observe([&] {
                if (random.unit() > kImageShare) return;
                persisted_before.push_back(persisted);
                disk.write_image(folder, images + std::to_string(persisted_before.size() - 1));
            });
            raft::Index compacted = 0;
            for (raft::Index index = 1; index <= kChanges; ++index) {
                store.persist(ready_at(index, compacted));
                persisted = index;
            }
            disk.observe(nullptr);
        }
        std::map<std::string, std::size_t> faults;
        std::string first;
        for (std::size_t i = 0; i < persisted_before.size(); ++i) {
            const std::string fault = find_fault(images + std::to_string(i), persisted_before[i]);
            if (fault.empty()) continue;
            ++faults[fault.substr(0, 9)];
            if (first.empty()) first = fault;
        }
        fs::remove_all(root);
        std::string summary;
        for (const auto& [fault, count] : faults) summary += " " + fault + ": " + std::to_string(count) + ";";
        MESSAGE("seed " << seed << ": " << persisted_before.size() << " moments;" << summary);
        CHECK_MESSAGE(faults.empty(), first);
        CHECK(persisted_before.size() > 200);
    }

    TEST_CASE("a manifest is truncated only at a torn record at its end") {
        namespace fs = std::filesystem;
        const fs::path folder = fs::temp_directory_path() / ("manifest-" + std::to_string(::getpid()));
        fs::remove_all(folder);
        { control::Store(folder, kClusterId).begin(control::bootstrap(kClusterId, 1, {1, 2, 3})); }
        std::string manifest;
        for (const auto& file : fs::directory_iterator(folder))
            if (file.path().filename().string().starts_with("MANIFEST-")) {
                std::ifstream in(file.path(), std::ios::binary);
                manifest.assign(std::istreambuf_iterator<char>(in), {});
            }
        fs::remove_all(folder);
        REQUIRE(manifest.size() > 20);
        CHECK(control::whole_manifest_bytes(manifest) == manifest.size());
        CHECK(control::whole_manifest_bytes("") == 0);
        for (std::size_t torn = 1; torn < manifest.size(); ++torn) {
            std::string behind = manifest + manifest.substr(0, torn);
            const std::size_t first = control::whole_manifest_bytes(manifest.substr(0, torn));
            CHECK(control::whole_manifest_bytes(behind) == manifest.size() + first);
            behind.resize(2 * manifest.size(), '\xff');
            CHECK(control::whole_manifest_bytes(behind) == manifest.size() + first);
        }
        std::string rotten = manifest + manifest;
        rotten[manifest.size() - 1] ^= 1;
        CHECK(control::whole_manifest_bytes(rotten) == rotten.size());
    }

    // Guards against two faults: a new log file whose folder entry was not synced loses acknowledged entries
    // (seed 1), and a torn record at the end of the manifest makes LevelDB reject the folder (seeds 15, 21).
    TEST_CASE("everything persisted is found again after a power loss at any moment") {
        for (const std::uint64_t seed : {1, 15, 21}) check_power_losses(seed);
    }
}

TEST_SUITE("incident lost: leaving") {
    // Guards against requests that a proxy drops on SIGTERM. The deadlines exceed the grace period and the
    // servers are silent, so only the proxy itself can answer these requests in time.
    TEST_CASE("a proxy that shuts down in order answers every request that it has read") {
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            const std::string text =
                "fleet proxies=6 hubs=3 zones=3 services=2 work=200 deadline=9000 seed=" +
                std::to_string(seed) +
                "\nat 1 put\n"
                "traffic plain=30 registered=30 from=4 to=24\n"
                "at 6 lose service 0 silence share=0.3 for=16\n"
                "every 3.1 from=8 to=22 sigterm proxy 2 for=0.3; sigterm proxy 4 for=1\n"
                "every 0.1 from=7 to=22 put\n"
                "must rules\n";
            const Played played = play(read_scenario("incident", text));
            CHECK_MESSAGE(played.findings.empty(), "seed " << seed << ": " << first_finding(played));
            CHECK(played.acknowledged > 100);
        }
    }
}
