// A day being played: the kernel, the network, the bus and the models of one case. Models, checkers and kinds
// of faults register themselves by name (Registered), so a new subsystem adds its files and touches none of
// these.
#pragma once

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "sim/bus.hpp"
#include "sim/case.hpp"
#include "sim/kernel.hpp"
#include "sim/network.hpp"

namespace cobaltshift::sim {

// Something that lives through the day: a model or a checker.
class Part {
public:
    virtual ~Part() = default;
    virtual void start() {}  // at time 0, once all parts are made
    virtual void over() {}   // after the last event
};

// All parts of one type, in the order of adding.
template <class T>
class PartsOf {
public:
    explicit PartsOf(const std::vector<Part*>& parts) : parts_(&parts) {}
    struct Iterator {
        std::vector<Part*>::const_iterator at;
        T* operator*() const { return static_cast<T*>(*at); }
        Iterator& operator++() { return ++at, *this; }
        bool operator!=(const Iterator& other) const { return at != other.at; }
    };
    Iterator begin() const { return {parts_->begin()}; }
    Iterator end() const { return {parts_->end()}; }
    std::size_t size() const { return parts_->size(); }
    T* at(std::size_t n) const { return static_cast<T*>(parts_->at(n)); }  // throws where there is none

private:
    const std::vector<Part*>* parts_;
};

struct Finding {
    std::string rule;  // the checker's name
    Millis at = 0;
    std::string what;
    std::string subject;  // "request 17", "forwarder 3": whom a trace is to follow
};

// How a day went, for a report: kept only where the case sets `course`.
struct Course {
    static constexpr Millis kSlot = 500;
    std::vector<std::array<std::uint32_t, 4>> slots;  // by End, of what was asked in each
    std::vector<float> times;                         // of those served, in ms
};

class Scene {
public:
    explicit Scene(const Case& day);
    ~Scene();
    Scene(const Scene&) = delete;
    Scene& operator=(const Scene&) = delete;

    // Makes, starts and ends all parts; once. The day lasts until `length` and then until all is quiet, at
    // most `tail` longer.
    void play(Millis tail = 10000) { set_up(), run(tail), end(); }
    void set_up();  // the three parts of it
    void run(Millis tail);
    void end();

    const Case& day;
    Kernel kernel;
    Network network;
    Bus bus;

    // A part is found by its type, in the order of adding.
    template <class T, class... Args>
    T& add(Args&&... args) {
        auto made = std::make_unique<T>(std::forward<Args>(args)...);
        T& part = *made;
        parts_.push_back(std::move(made));
        by_type_of<T>().push_back(&part);
        return part;
    }
    template <class T>
    PartsOf<T> all() {
        return PartsOf<T>(by_type_of<T>());
    }

    void broken(const std::string& rule, const std::string& what, const std::string& subject = "");
    const std::vector<Finding>& findings() const { return findings_; }  // the first few
    std::size_t broken_count() const { return broken_; }
    // Sums and greatest values of the day, by name.
    double& figure(const std::string& name) { return figures_[name]; }
    void at_least(const std::string& name, double value);
    const std::map<std::string, double>& figures() const { return figures_; }
    Course& course() { return course_; }

private:
    std::vector<std::unique_ptr<Part>> parts_;
    static std::size_t next_type();
    template <class T>
    std::vector<Part*>& by_type_of() {
        static const std::size_t number = next_type();
        while (by_type_.size() <= number) by_type_.emplace_back();
        return by_type_[number];
    }
    std::deque<std::vector<Part*>> by_type_;
    std::vector<Finding> findings_;
    std::size_t broken_ = 0;
    std::map<std::string, double> figures_;
    Course course_;
};

// What there is to play with, by name. Made before main by the Registered objects of each file; never changed
// after.
struct Registry {
    std::map<std::string, std::function<void(Scene&)>> models, checkers;
    std::map<std::string, std::function<void(Scene&, const Fault&)>> faults;
    static Registry& all();
};
struct Registered {
    static Registered model(const std::string& name, std::function<void(Scene&)> make);
    static Registered checker(const std::string& name, std::function<void(Scene&)> make);
    static Registered fault(const std::string& kind, std::function<void(Scene&, const Fault&)> apply);
};

struct Played {
    std::vector<Finding> findings;
    std::size_t broken = 0;
    std::map<std::string, double> figures;
    std::uint64_t digest = 0, events = 0;
    Course course;
};
// Plays it. With `trace`, every fact in words with its time. Throws ModelError if the case names a fault or
// part that there is not.
Played play(const Case& day, std::function<void(const std::string&)> trace = nullptr);

}  // namespace cobaltshift::sim
