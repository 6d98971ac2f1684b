// A small fleet on loopback addresses: archive servers in halls, discovery, and real forwarder processes.
// Everything but the forwarders runs on the caller's loop.
#pragma once

#include <list>
#include <memory>
#include <set>

#include "lab/archive.hpp"
#include "lab/child.hpp"
#include "lab/discovery_service.hpp"
#include "lab/load.hpp"

namespace cobaltshift::lab {

class Fleet {
public:
    struct Options {
        std::size_t servers = 12, halls = 3, forwarders = 4;
        Archive::Options server;                              // its name, hall and seed are set by the fleet
        std::string settings_file;                            // given to each forwarder; empty: none
        std::function<std::string(std::size_t)> settings_of;  // or each its own, by number
        std::size_t sockets = 384;                            // descriptors of a forwarder
        bool may_probe = true;  // by the platform's word: races of the decision module's own
        Millis notice = 1000;   // after which discovery tells of a dead server
        std::vector<ClassLoad> classes = usual_classes();
        std::uint64_t seed = 1;
    };
    Fleet(asio::io_context& io, const Clock& clock, Options options);

    // Starts the forwarders and calls back when all listen.
    void start(std::function<void()> ready);
    // At the end: SIGTERM to all, waits, and tells the worst exit code.
    int stop();
    // Kills one outright and starts it again under its name; the load is told its new address.
    void restart_forwarder(std::size_t number);

    // Ends it as planned and starts it again under its name once it has ended.
    void replace_forwarder(std::size_t number);

    // Dies now, and discovery tells of it after a while; comes back cold after `down`.
    void crash(std::size_t server, Millis down);
    // Discovery tells that it drains, then that it is gone, then that it serves again, as another process.
    void drain(std::size_t server, Millis length);
    const Options& options() const { return options_; }

    Archive& server(std::size_t number) { return *servers_[number]; }
    std::size_t servers() const { return servers_.size(); }
    std::size_t forwarders() const { return children_.size(); }
    Child& forwarder(std::size_t number) { return *children_[number]; }
    tcp::endpoint front(std::size_t number) const { return fronts_[number]; }
    const DiscoveryService& discovery() const { return discovery_; }
    const Ledger& ledger() const { return ledger_; }
    std::size_t attempts() const;
    double cold_peak() const;  // the worst of all servers
    void on_front(std::function<void(std::size_t, tcp::endpoint)> told) { on_front_ = std::move(told); }

private:
    void launch(std::size_t number);
    void list(std::size_t server, const char* health);
    void later(Millis after, std::function<void()> what);
    std::string config(std::size_t number) const;

    asio::io_context& io_;
    const Clock& clock_;
    Options options_;
    Folder folder_;
    Ledger ledger_;
    std::vector<std::unique_ptr<Archive>> servers_;
    DiscoveryService discovery_;
    std::vector<std::unique_ptr<Child>> children_;
    std::vector<tcp::endpoint> fronts_;
    std::set<std::size_t> awaited_;
    std::function<void()> ready_;
    std::function<void(std::size_t, tcp::endpoint)> on_front_;
    std::list<asio::steady_timer> timers_;
};

}  // namespace cobaltshift::lab
