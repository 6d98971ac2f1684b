// A stand-in archive server: real sockets, modelled work. It has slots and a waiting room, starts cold, can
// crash, come back, freeze, drain and fail quickly, and counts what it ran in a ledger that all servers of a
// fleet share, so that an effect that happened twice is seen wherever its two runs were.
#pragma once

#include <deque>
#include <map>
#include <string>
#include <unordered_map>

#include "lab/http_server.hpp"
#include "net/clock.hpp"
#include "random.hpp"

namespace cobaltshift::lab {

// What a request met at a server that can have made it late or lost.
enum class Trouble : std::uint8_t { none, queue, cold, full, pause, crash, error };
const char* name_of(Trouble trouble);

// What the fleet has run, by what it was about.
class Ledger {
public:
    // The worst that a request has met, and when and where, by its target.
    struct Met {
        Trouble trouble = Trouble::none;
        Millis at = 0;
        std::size_t server = 0;
    };
    void met(const std::string& target, Trouble trouble, Millis at, std::size_t server) {
        Met& worst = met_[target];
        if (trouble > worst.trouble) worst = {trouble, at, server};
    }
    Met met(const std::string& target) const {
        const auto at = met_.find(target);
        return at == met_.end() ? Met{} : at->second;
    }
    // An unsafe request that began to run. `about`: what the client wanted done, the same for its retries.
    void ran_once(const std::string& about) {
        if (++once_[about] > 1) ++doubled_;
    }
    // A keyed request; false: a repeat within the window, dropped.
    bool ran_keyed(const std::string& key, Millis now, Millis window);
    void ran_safe() { ++safe_; }
    std::size_t doubled() const { return doubled_; }
    std::size_t runs() const { return safe_ + once_.size() + keyed_.size() + doubled_; }

private:
    std::unordered_map<std::string, unsigned> once_;
    std::unordered_map<std::string, Millis> keyed_;
    std::size_t safe_ = 0, doubled_ = 0;
    std::unordered_map<std::string, Met> met_;  // only of those that met something
};

class Archive {
public:
    struct Options {
        std::string name;
        std::string hall;
        std::size_t number = 0;  // in its fleet
        std::size_t slots = 4;   // requests in work at a time
        std::size_t queue = 32;
        Millis work = 20;            // mean of a request's, exponential
        double cold_capacity = 0.3;  // of its capacity just after a start, rising evenly
        Millis warmup_time = 8000;
        Millis dedup_window = 3000;
        double overload_multiple = 3;  // of what it can do, over the window: more is pushing it over
        Millis fall_window = 2000;
        std::uint64_t seed = 1;
    };
    Archive(asio::io_context& io, const Clock& clock, Ledger& ledger, Options options);

    const Options& options() const { return options_; }
    tcp::endpoint at() const { return server_.at(); }
    Millis born() const { return born_; }  // Unix milliseconds; 0: long ago

    void crash();
    void restart();                                   // cold
    void freeze(bool on);                             // takes and holds, neither works nor answers
    void fail_share(double share) { fail_ = share; }  // that share gets a quick 500

    std::size_t attempts() const { return attempts_; }
    const std::vector<Millis>& probed() const { return probed_; }  // when, since the start
    std::size_t turned_away() const { return turned_away_; }
    // The most work received within a window while cold, against what fells the server: over 1 it has fallen.
    double cold_peak() const { return cold_peak_; }
    const HttpServer& server() const { return server_; }

private:
    struct Job {
        HttpServer::ExchangePtr exchange;
        Millis work = 0;
        bool fails = false;
        Millis came = 0;
    };
    void note(const Job& job, Trouble trouble);
    void take(HttpServer::ExchangePtr exchange);
    void begin();
    void finish(std::uint64_t number);
    double share() const;
    void book_cold(Millis work);

    asio::io_context& io_;
    const Clock& clock_;
    Ledger& ledger_;
    Options options_;
    kelplb::Random random_;
    HttpServer server_;
    std::deque<Job> waiting_;
    struct Running {
        Job job;
        std::unique_ptr<asio::steady_timer> timer;
        bool over = false;  // while frozen
    };
    std::map<std::uint64_t, Running> running_;
    std::uint64_t next_ = 1;
    std::deque<std::pair<Millis, Millis>> received_;  // when, work; while cold
    Millis born_ = 0;
    double fail_ = 0, cold_peak_ = 0;
    bool frozen_ = false;
    std::size_t attempts_ = 0, turned_away_ = 0;
    std::vector<Millis> probed_;
};

}  // namespace cobaltshift::lab
