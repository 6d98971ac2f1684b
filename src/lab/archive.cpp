#include "lab/archive.hpp"

#include <cmath>

namespace cobaltshift::lab {

bool Ledger::ran_keyed(const std::string& key, Millis now, Millis window) {
    const auto [at, fresh] = keyed_.try_emplace(key, now);
    if (fresh) return true;
    if (now < at->second + window) return false;
    at->second = now;
    ++doubled_;  // the servers' memory of it had gone: it ran again
    return true;
}

const char* name_of(Trouble trouble) {
    static const char* const names[] = {"none seen", "queue", "cold", "full", "pause", "crash", "error"};
    return names[static_cast<std::size_t>(trouble)];
}

namespace {

constexpr Millis kLongWait = 60;  // in a queue, with a work of some 20 ms

// From 0 to 1, the same for a request wherever and whenever it runs: two fleets side by side then do the same
// work for it.
double lot_of(const std::string& target) {
    std::uint64_t h = 14695981039346656037ULL;  // FNV-1a, and SplitMix64's finisher
    for (const char c : target) h = (h ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
    h = (h ^ (h >> 30)) * 0xbf58476d1ce4e5b9ULL;
    h = (h ^ (h >> 27)) * 0x94d049bb133111ebULL;
    return static_cast<double>((h ^ (h >> 31)) >> 11) * 0x1p-53;
}

}  // namespace

Archive::Archive(asio::io_context& io, const Clock& clock, Ledger& ledger, Options options)
    : io_(io),
      clock_(clock),
      ledger_(ledger),
      options_(std::move(options)),
      random_(options_.seed),
      server_(io, [this](HttpServer::ExchangePtr exchange) { take(std::move(exchange)); }) {}

void Archive::note(const Job& job, Trouble trouble) {
    ledger_.met(std::string(job.exchange->request().target()), trouble, clock_.now(), options_.number);
}

void Archive::crash() {
    for (const Job& job : waiting_) note(job, Trouble::crash);
    for (const auto& [number, run] : running_) note(run.job, Trouble::crash);
    server_.close();
    waiting_.clear();
    running_.clear();
    frozen_ = false;
}

void Archive::restart() {
    born_ = clock_.now();
    received_.clear();
    server_.open();
}

void Archive::freeze(bool on) {
    frozen_ = on;
    if (on) {
        for (const Job& job : waiting_) note(job, Trouble::pause);
        for (const auto& [number, run] : running_) note(run.job, Trouble::pause);
        return;
    }
    std::vector<std::uint64_t> over;
    for (const auto& [number, run] : running_)
        if (run.over) over.push_back(number);
    for (const auto number : over) finish(number);
    begin();
}

double Archive::share() const {
    if (born_ == 0) return 1;
    const double age = std::max(0.0, clock_.now() - born_) / options_.warmup_time;
    return options_.cold_capacity + (1 - options_.cold_capacity) * std::min(1.0, age);
}

void Archive::book_cold(Millis work) {
    const Millis now = clock_.now();
    if (born_ == 0 || now >= born_ + options_.warmup_time) return;
    received_.emplace_back(now, work);
    while (received_.front().first < now - options_.fall_window) received_.pop_front();
    double sum = 0;
    for (const auto& [at, one] : received_) sum += one;
    const double fells =
        options_.overload_multiple * share() * static_cast<double>(options_.slots) * options_.fall_window;
    cold_peak_ = std::max(cold_peak_, sum / fells);
}

void Archive::take(HttpServer::ExchangePtr exchange) {
    const HttpRequest& request = exchange->request();
    if (request.target() == "/healthz") {
        probed_.push_back(clock_.now());
        return exchange->respond(plain(200));
    }
    ++attempts_;
    if (running_.size() + waiting_.size() >= options_.slots + options_.queue) {
        ++turned_away_;
        ledger_.met(std::string(request.target()), Trouble::full, clock_.now(), options_.number);
        HttpResponse full = plain(503);
        full.set("X-Unprocessed", "1");
        return exchange->respond(std::move(full));
    }
    const Millis work = -options_.work * std::log(1 - lot_of(std::string(request.target())));
    Job job{std::move(exchange), work, random_.unit() < fail_, clock_.now()};
    if (job.fails) job.work = 1, note(job, Trouble::error);
    if (frozen_) note(job, Trouble::pause);
    if (share() < 1) note(job, Trouble::cold);
    book_cold(job.work);
    waiting_.push_back(std::move(job));
    begin();
}

void Archive::begin() {
    while (!frozen_ && !waiting_.empty() && running_.size() < options_.slots) {
        const std::uint64_t number = next_++;
        Running& run = running_[number];
        run.job = std::move(waiting_.front());
        waiting_.pop_front();
        if (clock_.now() - run.job.came > kLongWait) note(run.job, Trouble::queue);
        const HttpRequest& request = run.job.exchange->request();
        const std::string target(request.target());
        if (const auto key = request["Idempotency-Key"]; !key.empty()) {
            if (!run.job.fails) ledger_.ran_keyed(std::string(key), clock_.now(), options_.dedup_window);
        } else if (request.method() == http::verb::get) {
            ledger_.ran_safe();
        } else if (!run.job.fails) {
            ledger_.ran_once(target);
        }
        run.timer = std::make_unique<asio::steady_timer>(io_);
        run.timer->expires_after(std::chrono::microseconds(static_cast<long>(run.job.work / share() * 1000)));
        run.timer->async_wait([this, number](error_code ec) {
            if (!ec) finish(number);
        });
    }
}

void Archive::finish(std::uint64_t number) {
    const auto at = running_.find(number);
    if (at == running_.end()) return;
    if (frozen_) {
        at->second.over = true;
        return;
    }
    const Job job = std::move(at->second.job);
    running_.erase(at);
    const bool fails = job.fails;
    job.exchange->respond(
        fails ? plain(500) : plain(200, options_.name + " " + std::string(job.exchange->request().target())));
    begin();
}

}  // namespace cobaltshift::lab
