#include "sim/models/client.hpp"

#include <numeric>

#include "sim/models/archive.hpp"
#include "sim/models/forwarder.hpp"

namespace cobaltshift::sim {

Clients::Clients(Scene& scene)
    : scene_(scene),
      workload_(scene.day),
      asks_lots_(scene.kernel.stream("clients/asks")),
      retries_(scene.kernel.stream("clients/retries")),
      most_retries_(static_cast<std::uint32_t>(scene.day.count("client.retries", 0))) {
    const ArchiveSettings servers(scene.day);
    work_ = servers.work;
    const double rate =
        scene.day.get("load", 0.5) * static_cast<double>(servers.servers * servers.slots) / work_;
    if (rate > 0 && scene.day.count("forwarders", 12) > 0)
        arrivals_.emplace(workload_, rate, scene.kernel.stream("clients/moments"),
                          scene.kernel.stream("clients/bursts"));
    if (workload_.clients > 0) clients_.emplace(workload_.clients, workload_.zipf);
    parts_ = unlike_parts(asks_lots_, scene.day.count("forwarders", 12), scene.day.get("skew", 1));
    parts_sum_ = std::accumulate(parts_.begin(), parts_.end(), 0.0);
}

void Clients::start() {
    if (arrivals_) scene_.kernel.at(arrivals_->next(), [this] { arrive(); });
}

void Clients::arrive() {
    Ask ask;
    ask.at = scene_.kernel.now();
    if (ask.at >= scene_.day.length) return;
    ask.work = workload_.size(asks_lots_, work_);
    if (clients_) {
        ask.forwarder = clients_->draw(asks_lots_) % parts_.size();
    } else {
        double left = asks_lots_.unit() * parts_sum_;
        while (ask.forwarder + 1 < parts_.size() && left >= parts_[ask.forwarder])
            left -= parts_[ask.forwarder++];
    }
    const double kind = asks_lots_.unit() * (workload_.safe + workload_.once + workload_.keyed);
    ask.kind = kind < workload_.safe                    ? Kind::safe
               : kind < workload_.safe + workload_.once ? Kind::once
                                                        : Kind::keyed;
    ask.aim_at = ask.at + workload_.aim;
    ask.deadline = ask.at + workload_.patience;
    const Millis next = arrivals_->next();
    ++asked_;
    issue(ask);
    scene_.kernel.at(next, [this] { arrive(); });
}

void Clients::issue(Ask ask) {
    const RequestNo number = asks_.size();
    asks_.push_back(ask);
    scene_.bus.tell(Asked{number, ask.forwarder, ask.kind, ask.deadline});
    scene_.all<Forwarder>()
        .at(ask.forwarder)
        ->arrived(number, ask.kind, ask.deadline, ask.work, ask.tries > 0);
}

void Clients::answered(RequestNo request, End end, Millis retry_in) {
    Ask& ask = asks_[request];
    if (!ask.open) return;  // a second answer is for the checkers to find
    ask.open = false;
    const bool harmless = end == End::refused || (end == End::failed && ask.kind != Kind::once);
    const Millis now = scene_.kernel.now();
    const Millis wait = retry_in > 0 ? retry_in : 30 + 40 * retries_.unit();
    if (harmless && ask.tries < most_retries_ && now + wait < ask.deadline) {
        Ask again = ask;
        ++again.tries;
        again.at = now + wait;
        again.open = true;
        scene_.kernel.after(wait, [this, again] { issue(again); });
        return;
    }
    ++ends_[static_cast<int>(end)];
}

void Clients::dropped(RequestNo request) {
    asks_[request].open = false;
    scene_.bus.tell(Dropped{request});
    scene_.figure("lost in restarts") += 1;
}

void Clients::over() {
    scene_.figure("asked") = static_cast<double>(asked_);
    for (const End end : {End::in_time, End::late, End::refused, End::failed})
        scene_.figure(text_of(end)) = static_cast<double>(ends_[static_cast<int>(end)]);
}

namespace {
const Registered kModel = Registered::model("client", [](Scene& scene) { scene.add<Clients>(scene); });
}  // namespace

}  // namespace cobaltshift::sim
