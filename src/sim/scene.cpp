#include "sim/scene.hpp"

#include <algorithm>
#include <atomic>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <sstream>

namespace cobaltshift::sim {

namespace {
constexpr std::size_t kFindingsKept = 10;
constexpr DelayLaw kUsualDelay{0.5, 0, 0, 0};
}  // namespace

std::size_t Bus::next_number() {
    static std::atomic<std::size_t> next{0};
    return next++;
}

// Numbers of types are given where each is first used, by whichever thread plays first.
std::size_t Scene::next_type() {
    static std::atomic<std::size_t> next{0};
    return next++;
}

Registry& Registry::all() {
    static Registry registry;
    return registry;
}
Registered Registered::model(const std::string& name, std::function<void(Scene&)> make) {
    Registry::all().models[name] = std::move(make);
    return {};
}
Registered Registered::checker(const std::string& name, std::function<void(Scene&)> make) {
    Registry::all().checkers[name] = std::move(make);
    return {};
}
Registered Registered::fault(const std::string& kind, std::function<void(Scene&, const Fault&)> apply) {
    Registry::all().faults[kind] = std::move(apply);
    return {};
}

Scene::Scene(const Case& what) : day(what), kernel(what.seed), network(kernel, Link{kUsualDelay}) {
    bus.on_failed([this](const std::string& who, const std::string& error) {
        broken(who, "the checker failed: " + error);
    });
}

Scene::~Scene() = default;

void Scene::broken(const std::string& rule, const std::string& what, const std::string& subject) {
    ++broken_;
    if (findings_.size() < kFindingsKept) findings_.push_back({rule, kernel.now(), what, subject});
}

void Scene::at_least(const std::string& name, double value) {
    double& known = figures_[name];
    known = std::max(known, value);
}

void Scene::set_up() {
    // By name, whatever order the program's files were initialised in.
    for (const auto& [name, make] : Registry::all().models) make(*this);
    for (const auto& [name, make] : Registry::all().checkers) make(*this);
    for (const Fault& fault : day.faults) {
        const auto kind = Registry::all().faults.find(fault.kind);
        if (kind == Registry::all().faults.end()) throw ModelError("there is no fault '" + fault.kind + "'");
        kind->second(*this, fault);
    }
    for (std::size_t i = 0; i < parts_.size(); ++i) parts_[i]->start();
}

void Scene::run(Millis tail) { kernel.run(day.length + tail); }

void Scene::end() {
    for (const auto& part : parts_) part->over();
}

Played play(const Case& day, std::function<void(const std::string&)> trace) {
    Scene scene(day);
    if (trace)
        scene.bus.trace([&](const std::string& text) {
            char time[32];
            std::snprintf(time, sizeof time, "%10.1f  ", scene.kernel.now());
            trace(time + text);
        });
    scene.play();
    return {scene.findings(),      scene.broken_count(),  scene.figures(),
            scene.kernel.digest(), scene.kernel.events(), std::move(scene.course())};
}

// ---- A case as text --------------------------------------------------------------------------------------

namespace {

std::string number(double value) {  // reads back as the same
    char text[64];
    const auto end = std::to_chars(text, text + sizeof text, value);
    return std::string(text, end.ptr);
}

}  // namespace

std::string text_of(const Case& day) {
    std::string text = "seed " + std::to_string(day.seed) + "\nlength " + number(day.length) + "\n";
    for (const auto& [name, value] : day.set) text += "set " + name + " " + number(value) + "\n";
    for (const Fault& f : day.faults)
        text += "fault " + f.kind + " " + (f.target.empty() ? "-" : f.target) + " " + number(f.at) + " " +
                number(f.length) + " " + number(f.amount) + "\n";
    return text;
}

Case case_from(const std::string& text) {
    Case day;
    std::istringstream lines(text);
    std::size_t count = 0;
    for (std::string line; std::getline(lines, line);) {
        ++count;
        std::istringstream words(line.substr(0, line.find('#')));
        const auto fail = [&](const std::string& what) -> void {
            throw std::runtime_error("line " + std::to_string(count) + ": " + what);
        };
        const auto word = [&](const char* what) {
            std::string one;
            if (!(words >> one)) fail(std::string(what) + " is missing");
            return one;
        };
        const auto amount = [&](const char* what) {
            const std::string one = word(what);
            double value = 0;
            const auto parsed = std::from_chars(one.data(), one.data() + one.size(), value);
            if (parsed.ec != std::errc() || parsed.ptr != one.data() + one.size() || !std::isfinite(value))
                fail(std::string(what) + " is no number: " + one);
            return value;
        };
        std::string first;
        if (!(words >> first)) continue;
        if (first == "seed") {
            const std::string one = word("seed");
            const auto parsed = std::from_chars(one.data(), one.data() + one.size(), day.seed);
            if (parsed.ec != std::errc() || parsed.ptr != one.data() + one.size())
                fail("seed is no number: " + one);
        } else if (first == "length") {
            day.length = amount("length");
            if (day.length < 0 || day.length > 1e9) fail("length is not between 0 and 1e9");
        } else if (first == "set") {
            const std::string name = word("name");
            day.set[name] = amount("value");
        } else if (first == "fault") {
            Fault f;
            f.kind = word("kind");
            f.target = word("target");
            if (f.target == "-") f.target.clear();
            f.at = amount("at"), f.length = amount("length"), f.amount = amount("amount");
            day.faults.push_back(f);
        } else {
            fail("what is '" + first + "'?");
        }
        if (std::string more; words >> more) fail("too much: " + more);
    }
    return day;
}

}  // namespace cobaltshift::sim
