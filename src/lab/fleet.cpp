#include "lab/fleet.hpp"

#include <signal.h>

namespace cobaltshift::lab {

using nlohmann::json;

Fleet::Fleet(asio::io_context& io, const Clock& clock, Options options)
    : io_(io), clock_(clock), options_(std::move(options)), discovery_(io) {
    for (std::size_t i = 0; i < options_.servers; ++i) {
        Archive::Options one = options_.server;
        one.name = "archive-" + std::to_string(i);
        one.number = i;
        one.hall = std::string("hall-") + static_cast<char>('a' + i % options_.halls);
        one.seed = options_.seed * 1000 + i;
        servers_.push_back(std::make_unique<Archive>(io, clock, ledger_, one));
        list(i, "SERVING");
    }
    children_.resize(options_.forwarders);
    fronts_.resize(options_.forwarders);
}

void Fleet::list(std::size_t number, const char* health) {
    const Archive& server = *servers_[number];
    discovery_.say(
        listed(server.options().name, text_of(server.at()), server.options().hall, health, server.born()));
}

std::string Fleet::config(std::size_t number) const {
    const Archive::Options& server = options_.server;
    json classes = json::array();
    for (const ClassLoad& kind : options_.classes) {
        using Effect = ClassLoad::Effect;
        const char* effect = kind.effect == Effect::safe    ? "repeatable"
                             : kind.effect == Effect::keyed ? "by_key"
                                                            : "once";
        classes.push_back({{"name", kind.name},
                           {"effect", effect},
                           {"on-time-ms", kind.aim},
                           {"give-up-ms", kind.deadline},
                           {"dedup-window-ms", server.dedup_window},
                           {"dedup-scope", "all"}});
    }
    json seed;
    std::ostringstream hex;
    hex << std::hex << options_.seed * 100 + number + 1;
    return json{{"name", "n" + std::to_string(number)},
                {"listen", "127.0.0.1:0"},
                {"discovery", discovery_.at()},
                {"seed", hex.str()},
                {"limits", {{"cores", 1.0}, {"memory_mb", 96}, {"sockets", options_.sockets}}},
                {"known", discovery_.whole()},
                {"settings",
                 {{"classes", classes},
                  {"siblings", options_.forwarders},
                  {"my-number", number},
                  {"limits",
                   {{"max-attempts", 4},
                    {"may-cancel", true},
                    {"may-probe", options_.may_probe},
                    {"connect-timeout-ms", 250},
                    {"max-retry-after-ms", 1500}}},
                  {"rules",
                   {{"cold-from", server.cold_capacity},
                    {"fall-multiple", server.overload_multiple},
                    {"warm-within-ms", server.warmup_time}}}}}}
        .dump();
}

void Fleet::launch(std::size_t number) {
    const std::string name = "n" + std::to_string(number);
    Child::Command command{beside("cobaltshift"), {}, {}};
    command.environment.push_back("NODE_CONFIG=" + folder_.write(name + ".json", config(number)));
    const std::string file = options_.settings_of ? options_.settings_of(number) : options_.settings_file;
    if (!file.empty()) command.arguments = {"serve", "--settings", file};
    children_[number] = std::make_unique<Child>(io_, command, [this, number](tcp::endpoint at) {
        fronts_[number] = at;
        if (on_front_) on_front_(number, at);
        awaited_.erase(number);
        if (awaited_.empty() && ready_) std::exchange(ready_, nullptr)();
    });
}

void Fleet::start(std::function<void()> ready) {
    ready_ = std::move(ready);
    for (std::size_t i = 0; i < children_.size(); ++i) awaited_.insert(i);
    for (std::size_t i = 0; i < children_.size(); ++i) launch(i);
}

int Fleet::stop() {
    int worst = 0;
    for (const auto& child : children_)
        if (child) child->signal(SIGTERM);
    for (const auto& child : children_)
        if (child) worst = std::max(worst, child->wait_and_tell("a forwarder"));
    return worst;
}

void Fleet::restart_forwarder(std::size_t number) {
    children_[number].reset();
    launch(number);
}

void Fleet::replace_forwarder(std::size_t number) {
    children_[number]->signal(SIGTERM);
    const auto wait = std::make_shared<std::function<void()>>();
    *wait = [this, number, wait] {
        if (children_[number]->ended()) return launch(number);
        later(20, [wait] { (*wait)(); });
    };
    (*wait)();
}

void Fleet::crash(std::size_t number, Millis down) {
    servers_[number]->crash();
    // It may have come back by the time that discovery notices.
    const Millis born = servers_[number]->born();
    later(options_.notice, [this, number, born] {
        if (servers_[number]->born() == born) list(number, "DELETED");
    });
    later(down, [this, number] {
        servers_[number]->restart();
        list(number, "SERVING");
    });
}

void Fleet::drain(std::size_t number, Millis length) {
    list(number, "DRAINING");
    later(length / 2, [this, number] { list(number, "DELETED"); });
    later(length, [this, number] {
        servers_[number]->crash();
        servers_[number]->restart();
        list(number, "SERVING");
    });
}

void Fleet::later(Millis after, std::function<void()> what) {
    std::erase_if(timers_, [&](asio::steady_timer& t) {
        return t.expiry() < Clock::Steady::now() - std::chrono::seconds(1);
    });
    timers_.emplace_back(io_);
    timers_.back().expires_after(std::chrono::microseconds(static_cast<long>(after * 1000)));
    timers_.back().async_wait([what = std::move(what)](error_code ec) {
        if (!ec) what();
    });
}

std::size_t Fleet::attempts() const {
    std::size_t sum = 0;
    for (const auto& server : servers_) sum += server->attempts();
    return sum;
}

double Fleet::cold_peak() const {
    double worst = 0;
    for (const auto& server : servers_) worst = std::max(worst, server->cold_peak());
    return worst;
}

}  // namespace cobaltshift::lab
