// Distribution of configurations between nodes over TCP at an internal port: each node serves the edition
// that it holds and fetches newer ones that other nodes report. Entry type: ConfigDistributor, used by
// proxies and control nodes alike: a control node holds what is committed, and every node that has fetched an
// edition serves it too. A request names the edition held; the response is the changes since then or the full
// configuration. A served edition is not necessarily the current one: that is answered by a control node
// backed by a majority (ask_current()).
//
// Wire format, little-endian, one request per connection:
//   request:  kFetchRequest (u32), edition held (u64)
//   response: kFetchResponse (u32), number of parts (u32, 0: nothing newer), then each part as its
//             length (u32) and its bytes, encoded by codec.hpp
//   request:  kCurrentRequest (u32), 0 (u64)
//   response: kCurrentResponse (u32), CurrentAnswer::Kind (u32), edition or leader (u64)
//
// FetchSchedule decides whom to ask and when. Bounds: those of FetchSchedule, at most kMaxServed connections
// served at once, at most kMaxDeltas deltas kept, of kMaxDeltaBytes together. A source that sends nothing for
// kFirstByteTimeout, or later for kIdleTimeout, is given up; so is one that sends invalid bytes. The edition
// held never goes back. Not thread-safe: use it on the io_context's thread.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <vector>

#include "config/fetch_schedule.hpp"
#include "config/startup_confirmation.hpp"
#include "net/http.hpp"

namespace cobaltshift::config {

constexpr std::size_t kMaxServed = 128, kMaxDeltas = 64, kMaxDeltaBytes = 256 * 1024;
// For comparison: a configuration of 4 MiB takes 5 s over an otherwise idle link of 6.4 Mbit/s.
constexpr std::chrono::milliseconds kFirstByteTimeout{300}, kIdleTimeout{1000}, kFetchTimeout{30000},
    kServeTimeout{30000}, kCurrentQueryTimeout{300};

class ConfigDistributor {
public:
    // Listens at `ip`:`port`. Throws boost::system::system_error if that fails.
    ConfigDistributor(asio::io_context& io, const std::string& ip, std::uint16_t port);
    ~ConfigDistributor();
    ConfigDistributor(const ConfigDistributor&) = delete;
    ConfigDistributor& operator=(const ConfigDistributor&) = delete;

    // For control nodes: `configuration` is committed. Ignored unless newer than the one held. Does not call
    // on_new_configuration.
    void hold(std::shared_ptr<const Configuration> configuration);
    std::shared_ptr<const Configuration> held() const { return held_; }
    Edition edition() const { return held_ ? held_->edition : 0; }
    // The node at this IPv4 address (host byte order) has reported this edition; fetches it if it is newer.
    void hint(std::uint32_t ip, Edition edition);
    // Returns the known control nodes (IPv4, host byte order), which are asked if other nodes do not answer.
    // Optional.
    std::function<std::vector<std::uint32_t>()> control_nodes;
    // Called when a newer configuration was fetched.
    std::function<void(std::shared_ptr<const Configuration>)> on_new_configuration;
    // For control nodes: determines the current edition with a majority and passes it on. If it is not set,
    // queries are answered with `unavailable`.
    std::function<void(std::function<void(CurrentAnswer)>)> on_ask_current;
    // Asks the control node at this IPv4 address which edition is current. Calls `done` once, within
    // kCurrentQueryTimeout, unless the distributor is destroyed before. Does nothing after stop().
    void ask_current(std::uint32_t ip, std::function<void(CurrentAnswer)> done);
    void stop();

    struct Counts {
        std::uint64_t fetched = 0, fetched_bytes = 0, failed = 0, refused = 0, served = 0, served_bytes = 0,
                      turned_away = 0;
    };
    const Counts& counts() const { return counts_; }

private:
    struct ServerConnection;
    struct Fetch;
    struct CurrentQuery;
    struct Delta {
        Edition from, to;
        std::shared_ptr<const std::string> bytes;
    };
    void accept();
    std::vector<std::shared_ptr<const std::string>> parts_since(Edition since);
    void install(std::shared_ptr<const Configuration> configuration,
                 std::shared_ptr<const std::string> delta);
    void fetch();
    void on_fetch_ended(std::uint32_t ip, FetchSchedule::End end, const std::string& error);
    void cancel_fetches();
    void apply_parts(const std::vector<std::string>& parts, std::string& error);

    asio::io_context& io_;
    const std::uint32_t ip_;
    const std::uint16_t port_;
    tcp::acceptor acceptor_;
    asio::steady_timer accept_timer_, retry_timer_;
    std::shared_ptr<const Configuration> held_;
    std::weak_ptr<const std::string> full_bytes_;  // held_ encoded in full, while it is being sent
    std::deque<Delta> deltas_;
    std::size_t delta_bytes_ = 0;
    FetchSchedule schedule_;
    std::map<std::uint32_t, std::shared_ptr<Fetch>> fetches_;  // by the source's IP
    std::size_t serving_ = 0;
    bool stopped_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    Counts counts_;
};

}  // namespace cobaltshift::config
