// Configurations between nodes, over TCP at an internal port: each node serves what it holds, and fetches
// what another is known to have. Entry type: ConfigDistributor. Called by proxies and control nodes alike: a
// control node holds what is committed, and whoever has fetched a newer one serves it on. A request names the
// edition held; the answer is what changed since, or the whole. What is served is not said to be current:
// whether it is, a control node with a majority's word says (ask_current()).
//
// Wire, little-endian, one question a connection:
//   kAsk (u32), edition (u64)    -> kTold (u32), number of parts (u32, 0: nothing newer), then each with its
//                                   length (u32), as codec.hpp makes them
//   kAskCurrent (u32), 0 (u64)   -> kCurrent (u32), CurrentAnswer::Kind (u32), edition or leader (u64)
//
// Whom to ask, and when, is FetchSchedule's. Bounds: its own, kMostServed connections served, kMostDeltas
// kept, of kMostDeltaBytes together. Whoever says nothing for kFirstSilence, or between two parts for
// kSilence, is left for the next source; bad bytes end the connection. It never goes back to an older
// edition.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <vector>

#include "config/fetch_schedule.hpp"
#include "config/startup_confirmation.hpp"
#include "net/http.hpp"

namespace cobaltshift::config {

constexpr std::size_t kMostServed = 128, kMostDeltas = 64, kMostDeltaBytes = 256 * 1024;
// A configuration of 4 MiB takes 5 s over 6.4 Mbit/s that nobody else uses.
constexpr std::chrono::milliseconds kFirstSilence{300}, kSilence{1000}, kFetchWithin{30000},
    kServeWithin{30000}, kCurrentWithin{300};

class ConfigDistributor {
public:
    // Listens at `ip`:`port`; throws boost::system::system_error if it can't.
    ConfigDistributor(asio::io_context& io, const std::string& ip, std::uint16_t port);
    ~ConfigDistributor();
    ConfigDistributor(const ConfigDistributor&) = delete;
    ConfigDistributor& operator=(const ConfigDistributor&) = delete;

    // Of a hub: this is committed. What is older than what is held is passed over. on_new is not called.
    void hold(std::shared_ptr<const Configuration> configuration);
    std::shared_ptr<const Configuration> held() const { return held_; }
    Edition edition() const { return held_ ? held_->edition : 0; }
    // The node at this IPv4 (host order) has this edition.
    void hint(std::uint32_t ip, Edition edition);
    // The control nodes that are known (IPv4, host order), for when others say nothing; none set: none.
    std::function<std::vector<std::uint32_t>()> control_nodes;
    // Something newer was fetched.
    std::function<void(std::shared_ptr<const Configuration>)> on_new;
    // Of a control node: answers which edition is current, with a majority's word. Without it: unavailable.
    std::function<void(std::function<void(CurrentAnswer)>)> on_ask_current;
    // Asks the control node at this IPv4; `done` once, within kCurrentWithin, unless stopped before.
    void ask_current(std::uint32_t ip, std::function<void(CurrentAnswer)> done);
    void stop();

    struct Counts {
        std::uint64_t fetched = 0, fetched_bytes = 0, failed = 0, refused = 0, served = 0, served_bytes = 0,
                      turned_away = 0;
    };
    const Counts& counts() const { return counts_; }

private:
    struct Serving;
    struct Fetching;
    struct AskingCurrent;
    struct Delta {
        Edition from, to;
        std::shared_ptr<const std::string> bytes;
    };
    void accept();
    std::vector<std::shared_ptr<const std::string>> parts_since(Edition have);
    void install(std::shared_ptr<const Configuration> configuration,
                 std::shared_ptr<const std::string> delta);
    void fetch();
    void fetched(std::uint32_t ip, FetchSchedule::End end, const std::string& why);
    void drop_fetches();
    void take(const std::vector<std::string>& parts, std::string& why);

    asio::io_context& io_;
    const std::uint32_t ip_;
    const std::uint16_t port_;
    tcp::acceptor acceptor_;
    asio::steady_timer accept_timer_, retry_timer_;
    std::shared_ptr<const Configuration> held_;
    std::weak_ptr<const std::string> whole_;  // of held_, while somebody is being sent it
    std::deque<Delta> deltas_;
    std::size_t delta_bytes_ = 0;
    FetchSchedule schedule_;
    std::map<std::uint32_t, std::shared_ptr<Fetching>> fetching_;  // by whom is asked
    std::size_t serving_ = 0;
    bool stopped_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    Counts counts_;
};

}  // namespace cobaltshift::config
