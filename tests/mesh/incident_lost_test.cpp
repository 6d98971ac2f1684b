// The incident "LOST" (docs/incidents/lost-2026-12-02.md): what each of its causes did, without the bench.
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

constexpr std::uint64_t kFleet = 5;
constexpr raft::Index kCheckpointEvery = 64, kChanges = 400;
constexpr double kPictured = 0.2;  // of the moments at which the power may go

// A change of the configuration, as the log has it; each index has its own.
raft::Entry change_at(raft::Index index) {
    return {1, raft::Entry::Kind::data,
            std::to_string(index) + std::string(2000 + static_cast<std::size_t>(index * 7919 % 6000),
                                                static_cast<char>('a' + index % 26))};
}

// What a member's log hands to its store with hundreds of changes: entry by entry, compacted now and then.
raft::Ready ready_at(raft::Index index, raft::Index& compacted) {
    raft::Ready ready;
    ready.from = index;
    ready.entries = {change_at(index)};
    if (index < compacted + 2 * kCheckpointEvery) return ready;
    compacted += kCheckpointEvery;
    ready.snapshot.emplace();
    ready.snapshot->index = compacted;
    ready.snapshot->term = 1;
    ready.snapshot->members = control::bootstrap(kFleet, 1, {1, 2, 3}).snapshot.members;
    ready.snapshot->data = std::string(20000, 's');
    ready.from = compacted + 1;
    ready.entries.clear();
    for (raft::Index one = ready.from; one <= index; ++one) ready.entries.push_back(change_at(one));
    return ready;
}

// What is wrong with a folder in which everything up to `kept` was kept; empty: nothing.
std::string fault_of(const std::string& folder, raft::Index kept) {
    control::Store store(folder, kFleet);
    const auto stored = store.take();
    if (!store.why().empty()) return "set aside: " + store.why();
    if (!stored) return "found empty";
    const raft::Index last = stored->snapshot.index + stored->entries.size();
    if (last < kept)
        return "holds " + std::to_string(last) + " of " + std::to_string(kept) + " entries that were kept";
    for (std::size_t i = 0; i < stored->entries.size(); ++i)
        if (stored->entries[i] != change_at(stored->snapshot.index + 1 + i)) return "an entry is another";
    return {};
}

}  // namespace

TEST_SUITE("incident lost: store") {
    // The power may go between any two of LevelDB's operations, on its own thread too.
    void check_losses_of_power(std::uint64_t seed) {
        namespace fs = std::filesystem;
        const fs::path root = fs::temp_directory_path() / ("power-loss-" + std::to_string(::getpid()));
        fs::remove_all(root);
        const std::string folder = root / "hub", pictures = root / "picture-";
        testing::PowerLossDisk disk(seed);
        std::atomic<raft::Index> kept{0};
        std::vector<raft::Index> kept_by_then;  // of each picture, by its number
        {
            control::Store store(folder, kFleet, disk);
            raft::Stored first_state = control::bootstrap(kFleet, 1, {1, 2, 3});
            first_state.term = 1;
            store.begin(first_state);
            kelplb::Random random(seed + 1000);
            disk.observe([&] {
                if (random.unit() > kPictured) return;
                kept_by_then.push_back(kept);
                disk.picture(folder, pictures + std::to_string(kept_by_then.size() - 1));
            });
            raft::Index compacted = 0;
            for (raft::Index index = 1; index <= kChanges; ++index) {
                store.keep(ready_at(index, compacted));
                kept = index;
            }
            disk.observe(nullptr);
        }
        std::map<std::string, std::size_t> faults;
        std::string first;
        for (std::size_t i = 0; i < kept_by_then.size(); ++i) {
            const std::string fault = fault_of(pictures + std::to_string(i), kept_by_then[i]);
            if (fault.empty()) continue;
            ++faults[fault.substr(0, 9)];
            if (first.empty()) first = fault;
        }
        fs::remove_all(root);
        std::string said;
        for (const auto& [fault, count] : faults) said += " " + fault + ": " + std::to_string(count) + ";";
        MESSAGE("seed " << seed << ": " << kept_by_then.size() << " moments;" << said);
        CHECK_MESSAGE(faults.empty(), first);
        CHECK(kept_by_then.size() > 200);
    }

    TEST_CASE("a manifest is cut at a torn end, and nowhere else") {
        namespace fs = std::filesystem;
        const fs::path folder = fs::temp_directory_path() / ("manifest-" + std::to_string(::getpid()));
        fs::remove_all(folder);
        { control::Store(folder, kFleet).begin(control::bootstrap(kFleet, 1, {1, 2, 3})); }
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

    TEST_CASE("whenever the power goes, all that was kept is there again") {
        // Before the mends 1 lost entries at a change of the log file; 15 and 21 found a torn manifest.
        for (const std::uint64_t seed : {1, 15, 21}) check_losses_of_power(seed);
    }
}

TEST_SUITE("incident lost: leaving") {
    // Deadlines longer than the grace time, and servers that are silent across the SIGTERM: nothing but the
    // proxy itself can end these requests in time.
    TEST_CASE("a proxy that ends in order answers every request that it has read") {
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
