// What is to be done at a moment of virtual time: a callable taken once, kept in place up to kInline bytes,
// so that a day of millions of events does not allocate for each.
#pragma once

#include <cstddef>
#include <memory>
#include <new>
#include <type_traits>
#include <utility>

namespace cobaltshift::sim {

class Task {
public:
    static constexpr std::size_t kInline = 88;

    Task() = default;
    template <class F>
    requires(!std::is_same_v<std::decay_t<F>, Task> && std::is_invocable_v<std::decay_t<F>&>)
        Task(F&& what) {  // NOLINT: a lambda is a task
        using Kept = std::decay_t<F>;
        if constexpr (fits<Kept>) {
            ::new (static_cast<void*>(space_)) Kept(std::forward<F>(what));
            ops_ = &kOps<Kept, Here<Kept>>;
        } else {
            ::new (static_cast<void*>(space_))
                std::unique_ptr<Kept>(std::make_unique<Kept>(std::forward<F>(what)));
            ops_ = &kOps<std::unique_ptr<Kept>, There<Kept>>;
        }
    }
    Task(Task&& other) noexcept { take(other); }
    Task& operator=(Task&& other) noexcept {
        if (this == &other) return *this;
        reset();
        take(other);
        return *this;
    }
    ~Task() { reset(); }

    void operator()() { ops_->call(space_); }
    explicit operator bool() const { return ops_ != nullptr; }

private:
    template <class T>
    static constexpr bool fits =
        sizeof(T) <= kInline &&
        alignof(T) <= alignof(std::max_align_t) && std::is_nothrow_move_constructible_v<T>;
    struct Ops {
        void (*call)(void*);
        void (*move)(void* from, void* to);  // and ends what was there
        void (*end)(void*);
    };
    template <class T>
    struct Here {
        static void call(void* at) { (*static_cast<T*>(at))(); }
    };
    template <class T>
    struct There {
        static void call(void* at) { (**static_cast<std::unique_ptr<T>*>(at))(); }
    };
    template <class Kept, class Call>
    static constexpr Ops kOps{&Call::call,
                              [](void* from, void* to) {
                                  ::new (to) Kept(std::move(*static_cast<Kept*>(from)));
                                  static_cast<Kept*>(from)->~Kept();
                              },
                              [](void* at) { static_cast<Kept*>(at)->~Kept(); }};
    void take(Task& other) {
        ops_ = std::exchange(other.ops_, nullptr);
        if (ops_) ops_->move(other.space_, space_);
    }
    void reset() {
        if (const Ops* ops = std::exchange(ops_, nullptr)) ops->end(space_);
    }

    const Ops* ops_ = nullptr;
    alignas(std::max_align_t) std::byte space_[kInline];
};

}  // namespace cobaltshift::sim
