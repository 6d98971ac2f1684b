#include "lab/load.hpp"

#include <algorithm>
#include <cmath>
#include <cstdlib>

namespace cobaltshift::lab {

std::vector<ClassLoad> usual_classes() {
    return {{"listen", ClassLoad::Effect::safe, 0.8, 200, 1000},
            {"deposit", ClassLoad::Effect::once, 0.1, 300, 1500},
            {"annotate", ClassLoad::Effect::keyed, 0.1, 200, 1000}};
}

void Tally::merge(const Tally& other) {
    asked += other.asked, in_time += other.in_time, late += other.late, refused += other.refused;
    failed += other.failed, unanswered += other.unanswered, tries += other.tries, overdue += other.overdue;
    wrong += other.wrong;
    times.merge(other.times), lags.merge(other.lags);
}

// A connection, counted while it lives: the loop may hold one in a handler for longer than there is a load.
struct Load::Link {
    Link(asio::io_context& io, std::shared_ptr<Links> among) : socket(io), counted(std::move(among)) {
        counted->most = std::max(counted->most, ++counted->now);
    }
    ~Link() { --counted->now; }
    tcp::socket socket;
    beast::flat_buffer in;
    std::shared_ptr<Links> counted;
};

// A first try with its retries; on one connection at a time.
struct Load::Ask {
    explicit Ask(asio::io_context& io) : timer(io) {}
    const ClassLoad* kind = nullptr;
    std::size_t front = 0, step = 0;
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
    : io_(io), clock_(clock), options_(std::move(options)), lots_(options_.seed, "load/asks"), next_(io) {
    for (const ClassLoad& kind : options_.classes) tallies_[kind.name];
    if (options_.workload.clients > 0) clients_.emplace(options_.workload.clients, options_.workload.zipf);
}

void Load::front(std::size_t number, tcp::endpoint at) {
    if (fronts_.size() <= number) fronts_.resize(number + 1);
    fronts_[number] = at;
    idle_.erase(number);
}

void Load::run(std::vector<Step> steps) {
    steps_ = std::move(steps);
    running_ = true;
    start_ = end_ = clock_.now();
    step_ = 0;
    next_step();
    if (running_) arrive();
}

void Load::next_step() {
    if (step_ >= steps_.size() || stopped_early_) {
        running_ = false;
        return;
    }
    const Step& step = steps_[step_++];
    by_step_.emplace_back();
    step_from_ = end_;
    end_ += step.length;
    const std::string name = "load/" + std::to_string(step_);
    arrivals_.emplace(options_.workload, step.rate / 1000, sim::Stream(options_.seed, name + "/moments"),
                      sim::Stream(options_.seed, name + "/bursts"));
    next_at_ = step_from_ + arrivals_->next();
}

Tally Load::all() const {
    Tally sum;
    for (const auto& [name, tally] : tallies_) sum.merge(tally);
    return sum;
}

double Load::in_time() const {
    const Tally sum = all();
    return sum.asked > 0 ? static_cast<double>(sum.in_time) / static_cast<double>(sum.asked) : 1;
}

void Load::arrive() {
    while (running_ && next_at_ <= clock_.now()) {
        if (next_at_ >= end_) {
            next_step();
            continue;
        }
        double left = lots_.unit();
        std::size_t kind = 0;
        double total = 0;
        for (const auto& c : options_.classes) total += c.share;
        for (left *= total; kind + 1 < options_.classes.size() && left >= options_.classes[kind].share;
             ++kind)
            left -= options_.classes[kind].share;
        std::size_t front = 0;
        if (clients_) {
            front = clients_->draw(lots_) % fronts_.size();
        } else if (options_.weights.empty()) {
            front = lots_.below(fronts_.size());
        } else {
            double sum = 0;
            for (const double weight : options_.weights) sum += weight;
            double at = lots_.unit() * sum;
            for (; front + 1 < fronts_.size() && at >= options_.weights[front]; ++front)
                at -= options_.weights[front];
        }
        auto ask = std::make_shared<Ask>(io_);
        ask->kind = &options_.classes[kind];
        ask->front = front;
        ask->step = by_step_.size() - 1;
        ask->began = next_at_;  // as intended: what the tool itself is late by counts
        ask->until = ask->began + ask->kind->deadline;
        ask->about = std::to_string(options_.seed) + "-" + std::to_string(++ids_);
        ++tallies_[ask->kind->name].asked;
        ++by_step_.back().asked;
        ++open_;
        next_at_ = step_from_ + arrivals_->next();
        if (open_ > options_.most_open)
            close(ask, &Tally::unanswered, 0);
        else
            attempt(ask);
    }
    if (!running_) {
        if (over() && done_) asio::post(io_, done_);
        return;
    }
    next_.expires_at(clock_.point(std::min(next_at_, end_)));
    next_.async_wait([this](error_code ec) {
        if (!ec) arrive();
    });
}

void Load::attempt(AskPtr ask) {
    const std::uint64_t number = ++ask->number;
    ask->timer.expires_at(clock_.point(ask->until + options_.linger));
    ask->timer.async_wait([this, ask, number](error_code ec) {
        if (!ec && ask->number == number) ended(ask, 0, 0);
    });
    if (!fronts_.at(ask->front)) return ended(ask, 0, 0);
    auto& idle = idle_[ask->front];
    ask->used_link = !idle.empty();
    if (ask->used_link) {
        ask->link = idle.back();
        idle.pop_back();
        return send(ask);
    }
    if (options_.connections > 0 && links_->now >= options_.connections && !drop_idle())
        return waiting_.push_back(ask);
    connect(ask);
}

// Of another front, to make room. False: all are in use.
bool Load::drop_idle() {
    for (auto& [front, links] : idle_)
        if (!links.empty()) {
            links.pop_front();
            return true;
        }
    return false;
}

// What waits for a connection, now that one more may be had.
void Load::serve_waiting() {
    while (!waiting_.empty() && (links_->now < options_.connections || drop_idle())) {
        const AskPtr ask = waiting_.front();
        waiting_.pop_front();
        if (!ask->over) attempt(ask);
    }
}

void Load::connect(const AskPtr& ask) {
    ask->link = std::make_shared<Link>(io_, links_);
    ask->link->socket.async_connect(*fronts_[ask->front],
                                    [this, ask, number = ask->number, link = ask->link](error_code ec) {
                                        if (ask->number != number) return;
                                        if (ec) return ended(ask, 0, 0);
                                        error_code ignored;
                                        link->socket.set_option(tcp::no_delay(true), ignored);
                                        send(ask);
                                    });
}

void Load::send(const AskPtr& ask) {
    const ClassLoad& kind = *ask->kind;
    const Millis now = clock_.now();
    ++ask->tries;
    ++tallies_[kind.name].tries, ++by_step_[ask->step].tries;
    if (ask->tries == 1) {
        ask->lag = std::max(0.0, now - ask->began);
        tallies_[kind.name].lags.add(ask->lag), by_step_[ask->step].lags.add(ask->lag);
    }
    HttpRequest& request = ask->request;
    const bool safe = kind.effect == ClassLoad::Effect::safe;
    request = HttpRequest(safe ? http::verb::get : http::verb::post,
                          (kind.path.empty() ? "/" + kind.name : kind.path) + "?sid=" + ask->about, 11);
    request.set("Host", options_.host);
    request.set("X-Correlation-Id", ask->about + "-" + std::to_string(++ids_));
    request.set("X-Service-Class", kind.name);
    request.set("X-Time-Left", std::to_string(static_cast<long>(std::max(0.0, ask->until - now))) + "m");
    if (ask->tries > 1) request.set("X-Repeat", "1");
    if (kind.effect == ClassLoad::Effect::keyed) request.set("Idempotency-Key", ask->about);
    if (!safe) request.body().assign(kind.body_bytes, 's');
    request.prepare_payload();
    http::async_write(ask->link->socket, request, [ask, link = ask->link](error_code, std::size_t) {});
    ask->response = {};
    http::async_read(ask->link->socket, ask->link->in, ask->response,
                     [this, ask, number = ask->number, link = ask->link](error_code ec, std::size_t) {
                         if (ask->number == number) came(ask, ec);
                     });
}

void Load::came(const AskPtr& ask, error_code ec) {
    // Closed between requests, crossing ours: once more on a new connection, as no try of its own.
    if (ec == http::error::end_of_stream && ask->used_link) {
        --ask->tries;
        --tallies_[ask->kind->name].tries, --by_step_[ask->step].tries;
        ask->link.reset();
        idle_.erase(ask->front);
        return attempt(ask);
    }
    if (ec) return ended(ask, 0, 0);
    const auto advice = ask->response["Retry-After"];
    if (ask->response.keep_alive()) idle_[ask->front].push_back(std::move(ask->link));
    ask->link.reset();
    ended(ask, ask->response.result_int(),
          advice.empty() ? 0 : std::atof(std::string(advice).c_str()) * 1000);
}

void Load::ended(const AskPtr& ask, unsigned status, Millis retry_after) {
    if (ask->over) return;
    ++ask->number;
    if (ask->link) {
        error_code ignored;
        ask->link->socket.close(ignored);
        ask->link.reset();
    }
    const Millis now = clock_.now();
    Tally &kind = tallies_[ask->kind->name], &step = by_step_[ask->step];
    if (now > ask->until) ++kind.overdue, ++step.overdue;
    if (status == 200 && options_.verify &&
        ask->response.body().find(std::string(ask->request.target())) == std::string::npos) {
        ++kind.wrong, ++step.wrong;
        return close(ask, &Tally::failed, status);
    }
    if (status == 200) {
        const Millis took = now - ask->began;
        kind.times.add(took), step.times.add(took);
        return close(ask, took <= ask->kind->aim ? &Tally::in_time : &Tally::late, status);
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
        return serve_waiting();
    }
    close(ask, refused ? &Tally::refused : status == 0 ? &Tally::unanswered : &Tally::failed, status);
}

void Load::close(const AskPtr& ask, std::size_t Tally::*end, unsigned status) {
    Tally& step = by_step_[ask->step];
    ++(tallies_[ask->kind->name].*end), ++(step.*end);
    const auto slot = static_cast<std::size_t>((ask->began - start_) / sim::Course::kSlot);
    if (course_.slots.size() <= slot) course_.slots.resize(slot + 1);
    const std::size_t how = end == &Tally::in_time   ? 0
                            : end == &Tally::late    ? 1
                            : end == &Tally::refused ? 2
                                                     : 3;
    ++course_.slots[slot][how];
    if (how > 0 && lost_)
        lost_(
            {std::string(ask->request.target()), ask->kind->name, ask->front, ask->began, ask->lag, status});
    ask->over = true;
    ask->timer.cancel();
    --open_;
    const std::size_t over_now = step.in_time + step.late + step.refused + step.failed + step.unanswered;
    if (ask->step + 1 == by_step_.size() && over_now >= 200 &&
        static_cast<double>(over_now - step.in_time) > options_.stop_lost * static_cast<double>(over_now)) {
        stopped_early_ = true;
        end_ = std::min(end_, clock_.now());
    }
    serve_waiting();
    if (over() && done_) asio::post(io_, done_);
}

}  // namespace cobaltshift::lab
