#include "sim/models/holder.hpp"

#include "lease/codec.hpp"
#include "store/checksum.hpp"

namespace cobaltshift::sim {

namespace {
constexpr Millis kActEvery = 90;
}

void Target::act(const std::string& task, Node holder, lease::Fence fence) {
    const bool admitted = gate_.admit(task, fence);
    scene_.figure(admitted ? "acts" : "stale acts refused") += 1;
    scene_.bus.tell(Acted{task, holder, fence, admitted});
}

HolderDesk::HolderDesk(Scene& scene, Node number)
    : scene_(scene),
      number_(number),
      settings_(scene.day),
      endpoint_(scene.network.endpoint("holder-" + std::to_string(number))),
      lots_(scene.kernel.stream("holder/" + std::to_string(number))),
      clock_(OwnClock::drawn(lots_, settings_.off)),
      notes_(scene.day.get("notes", 0) > 0) {
    for (std::size_t n = 0; n < settings_.tasks; ++n) tasks_.push_back("task-" + std::to_string(n));
}

void HolderDesk::start() { boot(); }

void HolderDesk::boot() {
    if (holder_) return;
    ++life_;
    lease::HolderSettings s;
    s.id = 1 + lots_.below(1ULL << 62);
    s.name = holder_name(number_);
    s.keepers = settings_.keepers;
    s.margin = settings_.margin;
    s.answer = 200;
    s.longest_pause = 1000;
    s.poll = 500;
    holder_ = std::make_unique<lease::Holder>(s, lots_.below(1ULL << 62));
    // Each begins with another one, or the first would have them all.
    for (std::size_t n = 0; n < tasks_.size(); ++n)
        scene_.kernel.after((n + number_) % tasks_.size() * 300.0 + 20 * lots_.unit(),
                            [this, n, life = life_] {
                                if (life_ != life) return;
                                later([this, n] { holder_->want(own(), tasks_[n], settings_.length, true); });
                            });
    act();
    pump();
}

void HolderDesk::stop() {
    if (!holder_) return;
    holder_.reset();
    ++life_;
    inbox_.clear();
    paused_ = false;
    for (const auto& [task, right] : told_) scene_.bus.tell(RightOver{number_, task});
    told_.clear();
    counting_.clear();
}

void HolderDesk::pause(bool on) {
    if (!holder_) return;
    if (on && !paused_)  // in the middle of acts: looked, and not yet sent
        for (const std::string& task : tasks_)
            if (const auto right = holder_->right(own(), task))
                inbox_.push_back([this, task, fence = right->fence] {
                    scene_.figure("acts sent after a stop") += 1;
                    send(task, fence);
                });
    paused_ = on;
    if (!on) later([] {});
}

void HolderDesk::give_up(const std::string& next) {
    later([this, next] {
        for (const std::string& task : tasks_) {
            if (!holder_->right(own(), task)) continue;
            holder_->give_up(own(), task, next);
            scene_.kernel.after(500, [this, task, life = life_] {
                if (life_ == life)
                    later([this, task] { holder_->want(own(), task, settings_.length, true); });
            });
            return;
        }
    });
}

bool HolderDesk::holds(const std::string& task) const {
    return holder_ && !paused_ && holder_->right(own(), task).has_value();
}

void HolderDesk::later(Task what) {
    if (!holder_) return;
    inbox_.push_back(std::move(what));
    if (paused_) return;
    const std::uint64_t life = life_;
    while (life_ == life && !inbox_.empty()) {
        Task next = std::move(inbox_.front());
        inbox_.pop_front();
        next();
    }
    if (life_ == life) pump();
}

void HolderDesk::heard(const std::string& bytes) {
    later([this, bytes] {
        std::string why;
        if (const auto answer = lease::decode_answer(bytes, why))
            holder_->heard(own(), *answer);
        else
            scene_.figure("messages refused") += 1;
    });
}

void HolderDesk::look() {
    for (const std::string& task : tasks_) {
        const auto right = holder_->right(own(), task);
        const auto told = told_.find(task);
        if (!right) {
            if (told != told_.end()) {
                scene_.bus.tell(RightOver{number_, task});
                told_.erase(told);
            }
            continue;
        }
        if (told != told_.end() && told->second.fence == right->fence && told->second.until == right->until)
            continue;
        told_[task] = *right;
        scene_.bus.tell(RightHeld{number_, task, right->fence, clock_.true_time(right->until)});
    }
}

// A number kept under the right: whoever has the task adds one to what its predecessors left.
void HolderDesk::count(const std::string& task) {
    const auto at = counting_.find(task);
    const lease::Holder::Note state = holder_->note_state(task);
    if (at != counting_.end() && state == lease::Holder::Note::on_its_way) return;
    if (at != counting_.end()) {
        if (state == lease::Holder::Note::left)
            scene_.bus.tell(Noted{number_, task, at->second.second, at->second.first});
        counting_.erase(at);
    }
    const auto right = holder_->right(own(), task);
    if (!right || !told_.count(task)) return;
    const std::string note = holder_->note(task);
    const std::uint64_t next = note.empty() ? 1 : std::stoull(note) + 1;
    if (holder_->leave_note(own(), task, std::to_string(next))) counting_[task] = {next, right->fence};
}

void HolderDesk::pump() {
    holder_->tick(own());
    look();
    for (lease::Holder::Ask& ask : holder_->take()) {
        if (ask.keeper >= scene_.all<KeeperDesk>().size()) continue;
        KeeperDesk* desk = scene_.all<KeeperDesk>().at(ask.keeper);
        scene_.figure("questions") += 1;
        scene_.network.send(
            endpoint_, desk->endpoint(), lease::encode(ask.question), [this, desk](const std::string& bytes) {
                desk->asked(endpoint_, bytes, [this](const std::string& answer) { heard(answer); });
            });
    }
    schedule();
}

void HolderDesk::schedule() {
    Millis due = holder_->due();
    if (due > 1e17) return;
    const std::uint64_t timer = ++timer_;
    scene_.kernel.at(clock_.true_time(due) + 1e-6, [this, timer, life = life_] {
        if (timer_ == timer && life_ == life) later([] {});
    });
}

void HolderDesk::send(const std::string& task, lease::Fence fence) {
    Target* target = scene_.all<Target>().at(0);
    scene_.network.send(endpoint_, target->endpoint(), store::append_checksum(task),
                        [this, target, fence](const std::string& bytes) {
                            if (const auto task = store::verify_checksum(bytes))
                                target->act(std::string(*task), number_, fence);
                        });
}

void HolderDesk::act() {
    scene_.kernel.after(kActEvery * (0.5 + lots_.unit()), [this, life = life_] {
        if (life_ != life) return;
        act();
        if (paused_) return;  // when it goes on it looks at the clock first
        for (const std::string& task : tasks_)
            if (const auto right = holder_->right(own(), task)) send(task, right->fence);
        if (notes_)
            later([this] {
                for (const std::string& task : tasks_) count(task);
            });
    });
}

namespace {
const Registered kTarget = Registered::model("target", [](Scene& scene) {
    if (scene.day.count("holders", 0) > 0) scene.add<Target>(scene);
});
const Registered kModel = Registered::model("holder", [](Scene& scene) {
    for (Node h = 0; h < scene.day.count("holders", 0); ++h) scene.add<HolderDesk>(scene, h);
});
}  // namespace

}  // namespace cobaltshift::sim
