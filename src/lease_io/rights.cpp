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
    s.id = drawn();
    s.name = name;
    s.keepers = static_cast<std::uint32_t>(settings.keepers.size());
    s.margin = settings.margin;
    if (poll > 0) s.poll = poll;
    return s;
}

}  // namespace

Rights::Rights(asio::io_context& io, const KeepersSettings& settings, const std::string& name, Millis poll)
    : io_(io),
      secret_(Secret::from_file(settings.secret_file)),
      holder_(holder_settings(settings, name, poll), drawn()),
      timer_(io) {
    for (const tcp::endpoint& at : settings.keepers)
        lines_.push_back(std::make_unique<Line>(io_, at, secret_, Role::client, kLargestAnswer, kMostQueued,
                                                drawn(), [this](FrameKind kind, std::string_view payload) {
                                                    std::string why;
                                                    if (kind != FrameKind::answer) return;
                                                    if (const auto answer = decode_answer(payload, why))
                                                        holder_.heard(own_clock(), *answer);
                                                    turn();
                                                }));
}

Rights::~Rights() { *alive_ = false; }

void Rights::want(const std::string& task, Millis length, bool wait) {
    tasks_.insert(task);
    holder_.want(own_clock(), task, length, wait);
    turn();
}

void Rights::give_up(const std::string& task, const std::string& next) {
    holder_.give_up(own_clock(), task, next);
    turn();
}

bool Rights::leave_note(const std::string& task, const std::string& text) {
    const bool taken = holder_.leave_note(own_clock(), task, text);
    turn();
    return taken;
}

std::optional<Holder::Right> Rights::right(const std::string& task) const {
    return holder_.right(own_clock(), task);
}

void Rights::turn() {
    holder_.tick(own_clock());
    for (const Holder::Ask& ask : holder_.take())
        if (ask.keeper < lines_.size()) lines_[ask.keeper]->send(FrameKind::question, encode(ask.question));
    // Also wake at the end of each lease, so that the callback runs at once.
    const Millis now = own_clock();
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
