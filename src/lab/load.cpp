#include "lab/load.hpp"

#include <algorithm>
#include <cmath>

namespace cobaltshift::lab {

std::vector<ClassLoad> usual_classes() {
    return {{"listen", ClassLoad::Effect::safe, 0.8, 200, 1000},
            {"deposit", ClassLoad::Effect::once, 0.1, 300, 1500},
            {"annotate", ClassLoad::Effect::keyed, 0.1, 200, 1000}};
}

double ClassTally::percentile(double p) const {
    if (times.empty()) return 0;
    std::vector<Millis> sorted = times;
    const auto at = sorted.begin() + static_cast<std::ptrdiff_t>(p * static_cast<double>(sorted.size() - 1));
    std::nth_element(sorted.begin(), at, sorted.end());
    return *at;
}

// An answer is waited for beyond its deadline, so that one that never comes is told from one that a busy
// machine holds up.
constexpr Millis kPatience = 15000;

struct Load::Link {
    explicit Link(asio::io_context& io) : socket(io) {}
    tcp::socket socket;
    beast::flat_buffer in;
};

// A first try with its retries; on one connection at a time.
struct Load::Ask {
    explicit Ask(asio::io_context& io) : timer(io) {}
    const ClassLoad* kind = nullptr;
    std::size_t front = 0;
    std::string about;
    Millis began = 0, until = 0;
    Millis lag = 0;
    unsigned tries = 0;
    bool used_link = false;  // on a connection that may have been closed meanwhile
    bool over = false;
    std::uint64_t number = 0;  // of the try that is out
    std::shared_ptr<Link> link;
    HttpRequest request;
    HttpResponse response;
    asio::steady_timer timer;
};

Load::Load(asio::io_context& io, const Clock& clock, Options options)
    : io_(io), clock_(clock), options_(std::move(options)), random_(options_.seed), next_(io) {
    for (const ClassLoad& kind : options_.classes) tallies_[kind.name];
}

void Load::front(std::size_t number, tcp::endpoint at) {
    if (fronts_.size() <= number) fronts_.resize(number + 1);
    fronts_[number] = at;
    idle_.erase(number);
}

void Load::run(Millis for_ms) {
    running_ = true;
    next_at_ = clock_.now();
    end_ = next_at_ + for_ms;
    arrive();
}

double Load::in_time() const {
    double asked = 0, good = 0;
    for (const auto& [name, tally] : tallies_)
        asked += static_cast<double>(tally.asked), good += static_cast<double>(tally.in_time);
    return asked > 0 ? good / asked : 1;
}

void Load::arrive() {
    while (next_at_ <= clock_.now()) {
        double left = random_.unit();
        std::size_t kind = 0;
        double total = 0;
        for (const auto& c : options_.classes) total += c.share;
        for (left *= total; kind + 1 < options_.classes.size() && left >= options_.classes[kind].share;
             ++kind)
            left -= options_.classes[kind].share;
        std::size_t front = random_.below(fronts_.size());
        if (!options_.weights.empty()) {
            double sum = 0;
            for (const double weight : options_.weights) sum += weight;
            double at = random_.unit() * sum;
            for (front = 0; front + 1 < fronts_.size() && at >= options_.weights[front]; ++front)
                at -= options_.weights[front];
        }
        auto ask = std::make_shared<Ask>(io_);
        ask->kind = &options_.classes[kind];
        ask->front = front;
        ask->began = next_at_;  // as intended: what the tool itself is late by counts
        ask->until = ask->began + ask->kind->deadline;
        ask->about = std::to_string(options_.seed) + "-" + std::to_string(++ids_);
        ++tallies_[ask->kind->name].asked;
        ++open_;
        attempt(ask);
        next_at_ -= std::log(1 - random_.unit()) * 1000 / options_.rate;
        if (next_at_ >= end_) {
            running_ = false;
            return;
        }
    }
    next_.expires_at(clock_.point(next_at_));
    next_.async_wait([this](error_code ec) {
        if (!ec) arrive();
    });
}

void Load::attempt(std::shared_ptr<Ask> ask) {
    if (!fronts_[ask->front]) return ended(ask, 0, 0);
    const ClassLoad& kind = *ask->kind;
    if (!ask->used_link) ++ask->tries, ++tallies_[kind.name].tries;
    const Millis now = clock_.now();
    if (ask->tries == 1) ask->lag = std::max(ask->lag, now - ask->began);
    HttpRequest& request = ask->request;
    const bool safe = kind.effect == ClassLoad::Effect::safe;
    request =
        HttpRequest(safe ? http::verb::get : http::verb::post, "/" + kind.name + "?sid=" + ask->about, 11);
    request.set("Host", "lab");
    request.set("X-Correlation-Id", ask->about + "-" + std::to_string(++ids_));
    request.set("X-Service-Class", kind.name);
    request.set("X-Time-Left", std::to_string(static_cast<long>(std::max(0.0, ask->until - now))) + "m");
    if (ask->tries > 1) request.set("X-Repeat", "1");
    if (kind.effect == ClassLoad::Effect::keyed) request.set("Idempotency-Key", ask->about);
    if (!safe) request.body() = "said";
    request.prepare_payload();
    const std::uint64_t number = ++ask->number;
    ask->timer.expires_at(clock_.point(ask->until + kPatience));
    ask->timer.async_wait([this, ask, number](error_code ec) {
        if (!ec && ask->number == number) ended(ask, 0, 0);
    });
    const auto send = [this, ask, number] {
        if (ask->number != number) return;
        http::async_write(ask->link->socket, ask->request, [](error_code, std::size_t) {});
        ask->response = {};
        http::async_read(ask->link->socket, ask->link->in, ask->response,
                         [this, ask, number, link = ask->link](error_code ec, std::size_t) {
                             if (ask->number != number) return;
                             // Closed between requests, crossing ours: once more on a new connection.
                             if (ec && ask->used_link && ec == http::error::end_of_stream) {
                                 ask->link.reset();
                                 idle_.erase(ask->front);
                                 return attempt(ask);
                             }
                             if (ec) return ended(ask, 0, 0);
                             const auto advice = ask->response["Retry-After"];
                             if (ask->response.keep_alive()) {
                                 idle_[ask->front].push_back(link);
                                 ask->link.reset();
                             }
                             ended(ask, ask->response.result_int(),
                                   advice.empty() ? 0 : std::atof(std::string(advice).c_str()) * 1000);
                         });
    };
    auto& idle = idle_[ask->front];
    ask->used_link = !idle.empty();
    if (ask->used_link) {
        ask->link = idle.back();
        idle.pop_back();
        return send();
    }
    ask->link = std::make_shared<Link>(io_);
    ask->link->socket.async_connect(*fronts_[ask->front], [this, ask, number, send](error_code ec) {
        if (ask->number != number) return;
        if (ec) return ended(ask, 0, 0);
        error_code ignored;
        ask->link->socket.set_option(tcp::no_delay(true), ignored);
        send();
    });
}

void Load::ended(const std::shared_ptr<Ask>& ask, unsigned status, Millis retry_after) {
    if (ask->over) return;
    ++ask->number;
    ask->used_link = false;
    if (ask->link) {
        error_code ignored;
        ask->link->socket.close(ignored);
        ask->link.reset();
    }
    ClassTally& tally = tallies_[ask->kind->name];
    const Millis now = clock_.now();
    if (now > ask->until) ++tally.overdue;
    if (status == 200) {
        tally.times.push_back(now - ask->began);
        const bool good = now - ask->began <= ask->kind->aim;
        ++(good ? tally.in_time : tally.late);
        return close(ask, !good, status);
    }
    // A refusal says that trying again is harmless; after a failure only what may be repeated is.
    const bool refused = status == 429 || status == 503;
    const bool harmless = refused || ask->kind->effect != ClassLoad::Effect::once;
    const Millis wait = retry_after > 0 ? retry_after : options_.backoff;
    if (harmless && ask->tries <= options_.retries && now + wait < ask->until) {
        ask->timer.expires_after(std::chrono::microseconds(static_cast<long>(wait * 1000)));
        ask->timer.async_wait([this, ask](error_code ec) {
            if (!ec) attempt(ask);
        });
        return;
    }
    ++(refused ? tally.refused : status == 0 ? tally.unanswered : tally.failed);
    close(ask, true, status);
}

void Load::close(const std::shared_ptr<Ask>& ask, bool lost, unsigned status) {
    if (lost && lost_)
        lost_(
            {std::string(ask->request.target()), ask->kind->name, ask->front, ask->began, ask->lag, status});
    ask->over = true;
    ask->timer.cancel();
    --open_;
    if (over() && done_) asio::post(io_, done_);
}

}  // namespace cobaltshift::lab
