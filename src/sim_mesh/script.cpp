#include "sim_mesh/script.hpp"

#include <algorithm>
#include <charconv>
#include <set>
#include <sstream>

namespace cobaltshift::simmesh {

namespace {

// What each verb may be followed by.
const std::map<std::string, std::set<std::string>>& verbs() {
    static const std::map<std::string, std::set<std::string>> all = {
        {"put", {"edition", "base", "operator", "invalid", "routes", "swap", "via"}},
        {"patch", {"edition", "base", "operator", "invalid", "routes", "swap", "via"}},
        {"resend", {"edition"}},
        {"kill", {"for"}},
        {"power", {"for"}},
        {"freeze", {"for"}},
        {"wipe", {"for"}},
        {"replace", {}},
        {"disk", {"for"}},
        {"cut", {"for", "from", "one_way"}},
        {"loss", {"for"}},
        {"clock", {"by"}},
        {"sigterm", {"for"}},
        {"close", {"for", "service"}},
        {"crash", {"for"}},
        {"lose", {"for", "share"}},
        {"reset", {"share"}},
        {"release", {"each"}}};
    return all;
}

// Options that need no value.
const std::set<std::string>& flags() {
    static const std::set<std::string> all = {"invalid", "swap", "one_way"};
    return all;
}

const std::set<std::string>& targets() {
    static const std::set<std::string> all = {"leader", "others", "follower", "hubs",   "hub",
                                              "proxy",  "half",   "proxies",  "service"};
    return all;
}

class Reader {
public:
    Reader(const std::string& name, const std::string& text) : text_(text) { scenario_.name = name; }
    Scenario read() {
        std::string line;
        while (std::getline(text_, line)) {
            ++number_;
            line = line.substr(0, line.find('#'));
            std::istringstream in(line);
            std::string first;
            if (in >> first) read_line(first, in);
        }
        if (scenario_.fleet.hubs < 1 || scenario_.fleet.proxies < 1 || scenario_.fleet.zones < 1 ||
            scenario_.fleet.services < 1)
            wrong("a fleet needs proxies, hubs, zones and services");
        if (!scenario_.rules) wrong("'must rules' is missing");
        Millis last = 0;
        for (const Timed& timed : scenario_.events) last = std::max(last, timed.at);
        for (const Traffic& traffic : scenario_.traffic) last = std::max(last, traffic.to);
        if (scenario_.fleet.end == 0) scenario_.fleet.end = last + 3000;
        return scenario_;
    }

private:
    [[noreturn]] void wrong(const std::string& what) const { throw ScriptError(where() + ": " + what); }
    std::string where() const { return scenario_.name + ":" + std::to_string(number_); }

    double number(const std::string& text) const {
        double value = 0;
        const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
        if (text.empty() || parsed.ec != std::errc() || parsed.ptr != text.data() + text.size())
            wrong("'" + text + "' is no number");
        return value;
    }
    std::map<std::string, double> pairs(std::istringstream& in, const std::set<std::string>& known) const {
        std::map<std::string, double> all;
        std::string word;
        while (in >> word) {
            const auto equals = word.find('=');
            if (equals == std::string::npos || !known.count(word.substr(0, equals)))
                wrong("'" + word + "' is not known here");
            all[word.substr(0, equals)] = number(word.substr(equals + 1));
        }
        return all;
    }

    void read_line(const std::string& first, std::istringstream& in) {
        if (first == "fleet") {
            Fleet& f = scenario_.fleet;
            for (const auto& [key, value] : pairs(in, {"proxies", "hubs", "zones", "services", "seed",
                                                       "capacity", "work", "end", "slack", "deadline"})) {
                const auto count = static_cast<std::size_t>(value);
                if (key == "proxies") f.proxies = count;
                if (key == "hubs") f.hubs = count;
                if (key == "zones") f.zones = count;
                if (key == "services") f.services = count;
                if (key == "capacity") f.capacity = count;
                if (key == "seed") f.seed = count;
                if (key == "work") f.work = value;
                if (key == "end") f.end = value * 1000;
                if (key == "slack") f.slack = value;
                if (key == "deadline") f.deadline = value;
            }
        } else if (first == "traffic") {
            auto all = pairs(in, {"plain", "registered", "from", "to", "leave"});
            scenario_.traffic.push_back(
                {all["plain"], all["registered"], all["from"] * 1000, all["to"] * 1000, all["leave"]});
        } else if (first == "at") {
            std::string time;
            in >> time;
            Timed timed;
            timed.at = number(time) * 1000;
            std::string rest = rest_of(in);
            if (rest.rfind("on_ack ", 0) == 0) timed.on_ack = true, rest = rest.substr(7);
            timed.commands = commands(rest);
            scenario_.events.push_back(std::move(timed));
        } else if (first == "every") {
            std::string pause, from, to;
            in >> pause >> from >> to;
            if (from.rfind("from=", 0) != 0 || to.rfind("to=", 0) != 0)
                wrong("every PAUSE from=A to=B COMMAND");
            const std::vector<Command> what = commands(rest_of(in));
            const double step = number(pause) * 1000, end = number(to.substr(3)) * 1000;
            if (step < 1) wrong("the pause is too short");
            for (Millis at = number(from.substr(5)) * 1000; at < end; at += step)
                scenario_.events.push_back({at, false, what});
        } else if (first == "must") {
            std::string what, sign, value;
            in >> what >> sign >> value;
            if (what == "rules" && sign.empty())
                scenario_.rules = true;
            else if (what == "served" && sign == ">=")
                scenario_.served = number(value);
            else
                wrong("must rules, or must served >= SHARE");
        } else {
            wrong("'" + first + "' is not known");
        }
    }
    static std::string rest_of(std::istringstream& in) {
        std::string rest;
        std::getline(in >> std::ws, rest);
        return rest;
    }
    std::vector<Command> commands(const std::string& text) const {
        std::vector<Command> all;
        std::istringstream parts(text);
        std::string part;
        while (std::getline(parts, part, ';')) {
            std::istringstream in(part);
            Command command;
            command.where = where();
            if (!(in >> command.verb)) wrong("an empty command");
            const auto verb = verbs().find(command.verb);
            if (verb == verbs().end()) wrong("'" + command.verb + "' is not known");
            std::string word;
            while (in >> word) {
                const auto equals = word.find('=');
                const std::string key = word.substr(0, equals);
                if (verb->second.count(key) > 0 && (equals != std::string::npos || flags().count(key) > 0))
                    command.options[key] = equals == std::string::npos ? "" : word.substr(equals + 1);
                else if (equals == std::string::npos)
                    command.words.push_back(word);
                else
                    wrong("'" + word + "' is not known after " + command.verb);
            }
            for (const char* key :
                 {"for", "share", "base", "edition", "operator", "routes", "via", "each", "by"})
                if (command.has(key)) number(command.options[key]);
            const bool targeted =
                !std::set<std::string>{"put", "patch", "resend", "loss"}.count(command.verb);
            if (targeted && (command.words.empty() || !targets().count(command.words[0])))
                wrong("'" + command.verb + "' of what?");
            if (targeted && std::set<std::string>{"hub", "proxy", "service"}.count(command.words[0])) {
                if (command.words.size() < 2) wrong("which " + command.words[0] + "?");
                command.which = number(command.words[1]);
            }
            all.push_back(std::move(command));
        }
        if (all.empty()) wrong("nothing to do");
        return all;
    }

    std::istringstream text_;
    int number_ = 0;
    Scenario scenario_;
};

}  // namespace

double Command::number(const std::string& option, double otherwise) const {
    const auto at = options.find(option);
    return at == options.end() ? otherwise : std::stod(at->second);
}

Scenario read_scenario(const std::string& name, const std::string& text) { return Reader(name, text).read(); }

}  // namespace cobaltshift::simmesh
