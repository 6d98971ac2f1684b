#include "sim/models/client.hpp"

#include <algorithm>
#include <cmath>

#include "sim/models/archive.hpp"
#include "sim/models/forwarder.hpp"

namespace cobaltshift::sim {

Clients::Clients(Scene& scene)
    : scene_(scene),
      arrivals_(scene.kernel.stream("clients/arrivals")),
      retries_(scene.kernel.stream("clients/retries")),
      most_retries_(static_cast<std::uint32_t>(scene.day.count("client.retries", 0))) {
    const ArchiveSettings servers(scene.day);
    work_ = servers.work;
    rate_ = scene.day.get("load", 0.5) * static_cast<double>(servers.servers * servers.slots) / work_;
    // How unlike forwarders are: a heavy tail, cut so that none has it all.
    const double skew = scene.day.get("skew", 1);
    for (std::size_t f = 0; f < scene.day.count("forwarders", 12); ++f) {
        parts_.push_back(std::min(8.0, std::pow(1 - arrivals_.unit(), -0.5 * skew)));
        parts_sum_ += parts_.back();
    }
}

void Clients::start() {
    if (rate_ > 0 && !parts_.empty())
        scene_.kernel.after(arrivals_.exponential(1 / rate_), [this] { arrive(); });
}

void Clients::arrive() {
    Ask ask;
    ask.at = scene_.kernel.now();
    if (ask.at >= scene_.day.length) return;
    ask.work = arrivals_.exponential(work_);
    double left = arrivals_.unit() * parts_sum_;
    while (ask.forwarder + 1 < parts_.size() && left >= parts_[ask.forwarder])
        left -= parts_[ask.forwarder++];
    const double kind = arrivals_.unit();
    ask.kind = kind < 0.8 ? Kind::safe : kind < 0.9 ? Kind::once : Kind::keyed;
    ask.aim_at = ask.at + kAim;
    ask.deadline = ask.at + kPatience;
    const Millis next = arrivals_.exponential(1 / rate_);
    ++asked_;
    issue(ask);
    scene_.kernel.after(next, [this] { arrive(); });
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
