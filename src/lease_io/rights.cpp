#include "lease_io/rights.hpp"

#include <algorithm>

#include "lease/codec.hpp"
#include "lease_io/clock.hpp"
#include "lease_io/draw.hpp"

namespace cobaltshift::lease {

namespace {

constexpr std::size_t kMostQueued = 256 * 1024;

HolderSettings holder_settings(const KeepersSettings& settings, const std::string& name, Millis poll) {
    HolderSettings s;
    s.id = random_id();
    s.name = name;
    s.keepers = static_cast<std::uint32_t>(settings.keepers.size());
    s.margin = settings.margin;
    if (poll > 0) s.poll = poll;
    return s;
}

}  // namespace

LeaseClient::LeaseClient(asio::io_context& io, const KeepersSettings& settings, const std::string& name,
                         Millis poll)
    : io_(io),
      secret_(Secret::from_file(settings.secret_file)),
      holder_(holder_settings(settings, name, poll), random_id()),
      timer_(io) {
    for (const tcp::endpoint& at : settings.keepers)
        lines_.push_back(std::make_unique<ReplicaConnection>(
            io_, at, secret_, Role::client, kLargestAnswer, kMostQueued, random_id(),
            [this](FrameKind kind, std::string_view payload) {
                std::string why;
                if (kind != FrameKind::answer) return;
                if (const auto answer = decode_answer(payload, why)) holder_.heard(boottime_now(), *answer);
                turn();
            }));
}

LeaseClient::~LeaseClient() { *alive_ = false; }

void LeaseClient::want(const std::string& task, Millis length, bool wait) {
    tasks_.insert(task);
    holder_.want(boottime_now(), task, length, wait);
    turn();
}

void LeaseClient::give_up(const std::string& task, const std::string& next) {
    holder_.give_up(boottime_now(), task, next);
    turn();
}

bool LeaseClient::leave_note(const std::string& task, const std::string& text) {
    const bool taken = holder_.leave_note(boottime_now(), task, text);
    turn();
    return taken;
}

std::optional<Holder::Right> LeaseClient::right(const std::string& task) const {
    return holder_.right(boottime_now(), task);
}

void LeaseClient::turn() {
    holder_.tick(boottime_now());
    for (const Holder::Ask& ask : holder_.take())
        if (ask.keeper < lines_.size()) lines_[ask.keeper]->send(FrameKind::question, encode(ask.question));
    // Also wake at the end of each lease, so that the callback runs at once.
    const Millis now = boottime_now();
    Millis due = holder_.due();
    for (const std::string& task : tasks_)
        if (const auto right = holder_.right(now, task)) due = std::min(due, right->until);
    std::erase_if(tasks_,
                  [&](const std::string& task) { return holder_.state(task) == Holder::State::idle; });
    if (due < 1e17) {
        timer_.expires_after(
            std::chrono::microseconds(static_cast<long>(std::max(0.0, due - now) * 1000) + 1));
        timer_.async_wait([this](error_code ec) {
            if (!ec) turn();
        });
    }
    // Posted, so that the callback never runs from within a call to this object.
    if (!told_ || std::exchange(posted_, true)) return;
    asio::post(io_, [this, alive = alive_] {
        if (!*alive) return;
        posted_ = false;
        if (told_) told_();
    });
}

}  // namespace cobaltshift::lease
