#include "lease/book.hpp"

#include <xxhash.h>

#include <algorithm>

#include "lease/codec.hpp"
#include "store/fields.hpp"

namespace cobaltshift::lease {

const LeaseTable::Task* LeaseTable::find(std::string_view task) const {
    const auto at = tasks_.find(task);
    return at == tasks_.end() ? nullptr : &at->second;
}

std::string LeaseTable::note(std::string_view task) const {
    const auto at = notes_.find(task);
    return at == notes_.end() ? std::string() : at->second.text;
}

LeaseTable::Effect LeaseTable::note(const Op& op) {
    const auto task = tasks_.find(op.task);
    if (task == tasks_.end() || task->second.fence != op.fence) return {};
    const auto at = notes_.find(op.task);
    if (at == notes_.end() && notes_.size() >= kMaxNotes) return {Outcome::full, 0, 0};
    Note& note = notes_[op.task];
    if (note.fence == op.fence && note.holder == op.holder) {
        if (op.number < note.number) return {};
        if (op.number == note.number) return {Outcome::noted, 0, op.fence};  // a repeated request
    }
    note = {op.text, op.fence, op.holder, op.number};
    return {Outcome::noted, 0, op.fence};
}

LeaseTable::Effect LeaseTable::grant_next(std::map<std::string, Task, std::less<>>::iterator at) {
    Task& task = at->second;
    if (const auto note = notes_.find(at->first); note != notes_.end() && note->second.text.empty())
        notes_.erase(note);
    if (task.queue.empty()) {
        tasks_.erase(at);
        return {Outcome::ended, 0, 0};
    }
    const Waiter next = std::move(task.queue.front());
    task.queue.pop_front();
    --waiters_;
    task.holder = next.holder;
    task.name = next.name;
    task.length = next.length;
    task.fence = ++fence_;
    task.revoked = false;
    return {Outcome::granted, next.holder, task.fence};
}

LeaseTable::Effect LeaseTable::apply(const Op& op) {
    const std::string bytes = encode(op);
    digest_ = XXH3_64bits_withSeed(bytes.data(), bytes.size(), digest_ + 1);
    auto at = tasks_.find(op.task);
    switch (op.kind) {
        case Op::Kind::want: {
            if (at == tasks_.end()) {
                if (tasks_.size() >= kMaxTasks) return {Outcome::full, 0, 0};
                Task& task = tasks_[op.task];
                task.holder = op.holder;
                task.name = op.name;
                task.length = op.length;
                task.fence = ++fence_;
                return {Outcome::granted, op.holder, task.fence};
            }
            Task& task = at->second;
            if (task.holder == op.holder) return {Outcome::nothing, 0, 0};
            if (!op.wait) return {Outcome::refused, 0, 0};
            for (const Waiter& waiter : task.queue)
                if (waiter.holder == op.holder) return {Outcome::queued, 0, 0};
            if (task.queue.size() >= kMaxQueue || waiters_ >= kMaxWaiters) return {Outcome::full, 0, 0};
            task.queue.push_back({op.holder, op.name, op.length});
            ++waiters_;
            return {Outcome::queued, 0, 0};
        }
        case Op::Kind::release: {
            if (at == tasks_.end() || at->second.fence != op.fence || at->second.holder != op.holder)
                return {};
            auto& queue = at->second.queue;
            if (!op.next.empty()) {
                const auto named = std::find_if(queue.begin(), queue.end(),
                                                [&](const Waiter& waiter) { return waiter.name == op.next; });
                if (named != queue.end()) std::rotate(queue.begin(), named, named + 1);
            }
            return grant_next(at);
        }
        case Op::Kind::lapse:
            if (at == tasks_.end() || at->second.fence != op.fence) return {};
            return grant_next(at);
        case Op::Kind::revoke:
            if (at == tasks_.end() || (op.fence != 0 && at->second.fence != op.fence)) return {};
            at->second.revoked = true;
            return {Outcome::ended, 0, 0};
        case Op::Kind::withdraw:
            if (at == tasks_.end()) return {};
            waiters_ -=
                std::erase_if(at->second.queue, [&](const Waiter& w) { return w.holder == op.holder; });
            return {Outcome::ended, 0, 0};
        case Op::Kind::note:
            return note(op);
    }
    return {};
}

std::string LeaseTable::save() const {
    using protozero::pbf_writer;
    std::string bytes;
    pbf_writer w(bytes);
    w.add_uint64(1, fence_);
    w.add_uint64(2, digest_);
    for (const auto& [name, task] : tasks_) {
        pbf_writer t(w, 3);
        t.add_bytes(1, name);
        t.add_uint64(2, task.holder);
        t.add_bytes(3, task.name);
        t.add_uint64(4, task.fence);
        t.add_double(5, task.length);
        t.add_bool(6, task.revoked);
        for (const Waiter& waiter : task.queue) {
            pbf_writer q(t, 7);
            q.add_uint64(1, waiter.holder);
            q.add_bytes(2, waiter.name);
            q.add_double(3, waiter.length);
        }
    }
    for (const auto& [name, note] : notes_) {
        pbf_writer n(w, 4);
        n.add_bytes(1, name);
        n.add_bytes(2, note.text);
        n.add_uint64(3, note.fence);
        n.add_uint64(4, note.holder);
        n.add_uint64(5, note.number);
    }
    return bytes;
}

bool LeaseTable::load(std::string_view bytes) {
    using store::Fields;
    *this = {};
    try {
        Fields all(bytes);
        while (all.next()) switch (all.tag()) {
                case 1:
                    fence_ = all.number("fence");
                    break;
                case 2:
                    digest_ = all.number("digest");
                    break;
                case 3: {
                    std::string name;
                    Task task;
                    Fields t(all.bytes("task", 64 * 1024));
                    while (t.next()) switch (t.tag()) {
                            case 1:
                                name = t.text("task name", kMaxName);
                                break;
                            case 2:
                                task.holder = t.number("holder");
                                break;
                            case 3:
                                task.name = t.text("holder name", kMaxName);
                                break;
                            case 4:
                                task.fence = t.number("fence");
                                break;
                            case 5:
                                task.length = t.real("length", 0, kMaxLeaseLength);
                                break;
                            case 6:
                                task.revoked = t.flag("revoked");
                                break;
                            case 7: {
                                Waiter waiter;
                                Fields q(t.bytes("waiter", 1024));
                                while (q.next()) switch (q.tag()) {
                                        case 1:
                                            waiter.holder = q.number("waiter");
                                            break;
                                        case 2:
                                            waiter.name = q.text("waiter name", kMaxName);
                                            break;
                                        case 3:
                                            waiter.length = q.real("length", 0, kMaxLeaseLength);
                                            break;
                                        default:
                                            q.skip();
                                    }
                                task.queue.push_back(std::move(waiter));
                                ++waiters_;
                                break;
                            }
                            default:
                                t.skip();
                        }
                    tasks_[name] = std::move(task);
                    break;
                }
                case 4: {
                    std::string name;
                    Note note;
                    Fields n(all.bytes("note", 2048));
                    while (n.next()) switch (n.tag()) {
                            case 1:
                                name = n.text("task name", kMaxName);
                                break;
                            case 2:
                                note.text = n.text("note", kMaxNote);
                                break;
                            case 3:
                                note.fence = n.number("fence");
                                break;
                            case 4:
                                note.holder = n.number("holder");
                                break;
                            case 5:
                                note.number = n.number("number");
                                break;
                            default:
                                n.skip();
                        }
                    notes_[name] = std::move(note);
                    break;
                }
                default:
                    all.skip();
            }
    } catch (const store::Unreadable&) {
        *this = {};
        return false;
    }
    return true;
}

}  // namespace cobaltshift::lease
