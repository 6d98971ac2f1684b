#include "lab/lease_fleet.hpp"

#include <signal.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <charconv>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "lab/fleet.hpp"
#include "lab/planner_children.hpp"
#include "lab/scenario.hpp"
#include "lease/codec.hpp"

namespace cobaltshift::lab {

namespace {

constexpr Millis kLookEvery = 50, kStatusLife = 400;
// After a machine that was stopped as a whole goes on, its command may act before anybody has looked at a
// clock.
constexpr Millis kExplained = 1000, kGoesOnFirst = 40;
// Later than this, and who is to end a command in time may have been late by as much.
constexpr Millis kStall = 100;
constexpr std::size_t kNotesEvery = 3, kMostAsked = 100;  // looks; questions not answered yet
constexpr std::chrono::milliseconds kNotePause{80};

std::vector<pid_t> children_of(pid_t pid) {
    std::ifstream file("/proc/" + std::to_string(pid) + "/task/" + std::to_string(pid) + "/children");
    std::vector<pid_t> all;
    for (pid_t child; file >> child;) all.push_back(child);
    return all;
}

}  // namespace

LeaseFleet::LeaseFleet(asio::io_context& io, const Clock& clock, const Options& options)
    : io_(io),
      clock_(clock),
      options_(options),
      links_(io, clock, sim::Stream(options.seed, "links")),
      lots_(options.seed, "lease fleet"),
      secret_file_(folder_.write("secret", kLabSecret)),
      secret_(lease::Secret::from_file(secret_file_)),
      keepers_(options.keepers),
      machines_(options.machines),
      target_(io, {asio::ip::make_address("127.0.0.1"), 0}),
      look_(io) {
    for (Keeper& keeper : keepers_) keeper.at = free_address(io);
    for (std::size_t k = 0; k < keepers_.size(); ++k) {
        keepers_[k].line = std::make_unique<lease::ReplicaConnection>(
            io, keepers_[k].at, secret_, lease::Role::client, 1 << 20, 1 << 16, options.seed + k,
            [this, k](lease::FrameKind kind, std::string_view payload) {
                if (kind == lease::FrameKind::answer) return read(payload);
                if (kind != lease::FrameKind::report) return;
                keepers_[k].status = nlohmann::json::parse(payload, nullptr, false);
                keepers_[k].status_at = clock_.now();
            });
    }
    const auto settings = [&](const std::string& name, std::optional<std::size_t> keeper) {
        std::string text = keepers_table(name);
        if (keeper) {
            const std::string folder = folder_.path() + "/" + name;
            ::mkdir(folder.c_str(), 0755);
            std::ostringstream own;
            own << "[keeper]\nnumber = " << *keeper << "\nfleet = \"lab\"\nfolder = \"" << folder
                << "\"\nheartbeat_ms = " << options_.heartbeat << "\nelection_ms = " << options_.election
                << "\nwaiter_silence_ms = 4000\ncompact_after = 64\n";
            text += own.str();
        }
        return folder_.write(name + ".toml", text);
    };
    for (std::size_t k = 0; k < keepers_.size(); ++k) {
        const std::string file = settings("keeper-" + std::to_string(k), k);
        Child found(io_, {beside("cobaltshift"), {"keeper", "found", "--settings", file}, {}}, nullptr);
        if (found.wait() != 0) throw std::runtime_error("a keeper's folder can't be founded");
    }
    for (std::size_t m = 0; m < machines_.size(); ++m)
        machines_[m].settings = settings("machine-" + std::to_string(m), std::nullopt);
}

std::string LeaseFleet::keepers_table(const std::string& name) {
    std::ostringstream text;
    text << "[keepers]\naddresses = [";
    for (std::size_t k = 0; k < keepers_.size(); ++k) {
        const std::string to = "keeper-" + std::to_string(k);
        const tcp::endpoint at = name == to ? keepers_[k].at : links_.add(name + ">" + to, keepers_[k].at);
        text << (k ? ", " : "") << '"' << at << '"';
    }
    text << "]\nmargin_ms = " << options_.margin << "\nsecret_file = \"" << secret_file_ << "\"\n";
    return text.str();
}

LeaseFleet::~LeaseFleet() { over_ = true; }

void LeaseFleet::later(Millis after, std::function<void()> what) {
    timers_.remove_if([](const asio::steady_timer& timer) {
        return timer.expiry() < std::chrono::steady_clock::now() - std::chrono::seconds(5);
    });
    timers_.emplace_back(io_);
    timers_.back().expires_after(std::chrono::milliseconds(static_cast<long>(after)));
    timers_.back().async_wait([this, what = std::move(what)](error_code ec) {
        if (!ec && !over_) what();
    });
}

void LeaseFleet::start() {
    for (std::size_t k = 0; k < keepers_.size(); ++k) start_keeper(k);
    for (std::size_t m = 0; m < machines_.size(); ++m) start_machine(m);
    for (std::size_t t = 0; t < options_.tasks; ++t) last_act_[t] = clock_.now(), highest_[t] = 0;
    receive();
    look();
}

// ---- Keepers ---------------------------------------------------------------------------------------------

void LeaseFleet::start_keeper(std::size_t k) {
    if (keepers_[k].child) return;
    const std::string file = folder_.path() + "/keeper-" + std::to_string(k) + ".toml";
    keepers_[k].child = std::make_unique<Child>(
        io_, Child::Command{beside("cobaltshift"), {"keeper", "--settings", file}, {}}, nullptr);
    keepers_[k].stopped = false;
}

void LeaseFleet::kill_keeper(std::size_t k) {
    keepers_[k].child.reset();
    keepers_[k].stopped = false;
    keepers_[k].status_at = -1e18;
}

void LeaseFleet::stop_keeper(std::size_t k, bool on) {
    if (!keepers_[k].child) return;
    keepers_[k].stopped = on;
    keepers_[k].child->signal(on ? SIGSTOP : SIGCONT);
}

void LeaseFleet::wipe_keeper(std::size_t k) {
    const std::string folder = folder_.path() + "/keeper-" + std::to_string(k);
    std::filesystem::remove_all(folder);
    ::mkdir(folder.c_str(), 0755);
}

void LeaseFleet::spoil_keeper(std::size_t k) {
    const std::string folder = folder_.path() + "/keeper-" + std::to_string(k) + "/";
    // In the middle of what it holds: its log of late writes where that is longer.
    for (const char* name : {"keeper.db-wal", "keeper.db"}) {
        std::error_code ec;
        const auto size = std::filesystem::file_size(folder + name, ec);
        if (ec || size < 8192) continue;
        std::fstream file(folder + name, std::ios::in | std::ios::out | std::ios::binary);
        for (std::uintmax_t at = size / 4; at < size; at += 512) {
            file.seekg(static_cast<std::streamoff>(at));
            const int byte = file.get();
            file.seekp(static_cast<std::streamoff>(at));
            file.put(static_cast<char>(byte ^ 0x55));
        }
    }
}

const nlohmann::json* LeaseFleet::status(std::size_t k) const {
    const Keeper& keeper = keepers_[k];
    return keeper.child && clock_.now() - keeper.status_at < kStatusLife && keeper.status.is_object()
               ? &keeper.status
               : nullptr;
}

lease::KeepersSettings LeaseFleet::settings() const {
    lease::KeepersSettings settings;
    for (const Keeper& keeper : keepers_) settings.keepers.push_back(keeper.at);
    settings.secret_file = secret_file_;
    settings.margin = options_.margin;
    return settings;
}

std::optional<std::size_t> LeaseFleet::leader() const {
    std::optional<std::size_t> leader;
    std::uint64_t term = 0;
    for (std::size_t k = 0; k < keepers_.size(); ++k)
        if (const auto* said = status(k);
            said && said->value("leads", false) && said->value("term", 0ULL) > term)
            leader = k, term = said->value("term", 0ULL);
    return leader;
}

bool LeaseFleet::others_whole(std::size_t k) const {
    const auto leads = leader();
    if (!leads) return false;
    const auto* said = status(*leads);
    std::set<std::size_t> voters;
    for (const auto& member : (*said)["members"]) {
        if (!member.value("voter", false)) continue;
        const auto number = member.value("number", std::size_t{99});
        if (number != *leads && (member.value("silent_ms", 1000000L) > 200 ||
                                 member.value("stored", 0ULL) < said->value("commit", 0ULL)))
            continue;
        voters.insert(number);
    }
    for (std::size_t other = 0; other < keepers_.size(); ++other)
        if (other != k && (!voters.count(other) || !keeper_runs(other) || !status(other))) return false;
    return true;
}

// ---- Machines --------------------------------------------------------------------------------------------

void LeaseFleet::start_machine(std::size_t m) {
    Machine& machine = machines_[m];
    if (over_ || machine.child) return;
    std::ostringstream at;
    at << target_.local_endpoint();
    const auto ms = [](Millis value) { return std::to_string(static_cast<long>(value)) + "ms"; };
    std::vector<std::string> words{"lease",
                                   "run",
                                   "task-" + std::to_string(task_of(m)),
                                   "--settings",
                                   machine.settings,
                                   "--length",
                                   ms(options_.length),
                                   "--grace",
                                   ms(options_.grace),
                                   "--name",
                                   "machine-" + std::to_string(m)};
    // One in three names who is to have it next.
    if (lots_.chance(0.3))
        words.insert(words.end(),
                     {"--next", "machine-" + std::to_string((m + options_.tasks) % machines_.size())});
    words.insert(words.end(),
                 {"--", beside("cobaltshift-lab"), "act", at.str(), "--machine", std::to_string(m),
                  "--settings", machine.settings, "--every", std::to_string(options_.act_every), "--for",
                  std::to_string(static_cast<long>(lots_.between(1000, 8000)))});
    machine.child = std::make_unique<Child>(io_, Child::Command{beside("cobaltshift"), words, {}}, nullptr);
    machine.stopped = false;
}

void LeaseFleet::kill_machine(std::size_t m) {
    if (!machines_[m].child || machines_[m].stopped) return;
    machines_[m].child.reset();
    later(lots_.between(50, 500), [this, m] { start_machine(m); });
}

void LeaseFleet::stop_machine(std::size_t m, bool all, Millis length) {
    Machine& machine = machines_[m];
    if (!machine.child || machine.stopped) return;
    machine.stopped = true;
    const std::uint64_t stop = ++machine.stop;
    const pid_t runner = machine.child->pid();
    const std::vector<pid_t> under = all ? children_of(runner) : std::vector<pid_t>{};
    for (const pid_t pid : under) ::kill(pid, SIGSTOP);
    ::kill(runner, SIGSTOP);
    later(length, [this, m, stop, runner, under] {
        Machine& resumed = machines_[m];
        if (!resumed.child || resumed.stop != stop || resumed.child->pid() != runner) return;
        if (!under.empty()) resumed.resumed = clock_.now();
        // The command first, as a scheduler may have it: it has looked before, and sends now.
        if (!under.empty()) ::kill(under.front(), SIGCONT);
        const auto go_on = [this, m, stop, runner] {
            Machine& late = machines_[m];
            if (!late.child || late.stop != stop || late.child->pid() != runner) return;
            for (const pid_t pid : children_of(runner)) ::kill(pid, SIGCONT);
            ::kill(runner, SIGCONT);
            late.stopped = false;
        };
        under.empty() ? go_on() : later(kGoesOnFirst, go_on);
    });
}

std::optional<std::size_t> LeaseFleet::acting(std::size_t task) const {
    const auto at = last_machine_.find(task);
    if (at == last_machine_.end() || clock_.now() - last_act_.at(task) > 100) return {};
    return at->second;
}

void LeaseFleet::look() {
    if (look_due_ > 0 && clock_.now() > look_due_ + kStall) stalled_at_ = clock_.now();
    for (std::size_t m = 0; m < machines_.size(); ++m) {
        Machine& machine = machines_[m];
        if (!machine.child || machine.stopped) continue;
        if (const auto code = machine.child->ended()) {
            ++ends_[*code];
            machine.child.reset();
            later(lots_.between(10, 200), [this, m] { start_machine(m); });
        }
    }
    for (Keeper& keeper : keepers_)
        if (keeper.child && !keeper.stopped) keeper.line->send(lease::FrameKind::order, R"({"do":"status"})");
    if (options_.tasks > 0 && ++looks_ % kNotesEvery == 0) ask_notes();
    look_due_ = clock_.now() + kLookEvery;
    look_.expires_after(std::chrono::milliseconds(static_cast<long>(kLookEvery)));
    look_.async_wait([this](error_code ec) {
        if (!ec && !over_) look();
    });
}

int LeaseFleet::stop() {
    over_ = true;
    look_.cancel();
    for (Machine& machine : machines_) {
        // A guard that stays stopped would outlive us.
        if (machine.child && machine.stopped)
            for (const pid_t pid : children_of(machine.child->pid())) ::kill(pid, SIGCONT);
        machine.child.reset();
    }
    int worst = 0;
    for (Keeper& keeper : keepers_) {
        if (!keeper.child) continue;
        keeper.child->signal(SIGCONT);
        keeper.child->signal(SIGTERM);
        worst = std::max(worst, keeper.child->wait_and_tell("a keeper"));
        keeper.line->drop();
    }
    return worst;
}

// ---- The target ------------------------------------------------------------------------------------------

void LeaseFleet::receive() {
    target_.async_receive_from(asio::buffer(datagram_), from_, [this](error_code ec, std::size_t n) {
        if (over_) return;
        if (!ec) acted({datagram_.data(), n});
        receive();
    });
}

// A number that was read, raised by one and left under a right: that it is left twice means that a note was
// lost, or left by whose right was over.
void LeaseFleet::noted(std::size_t task, std::uint64_t fence, std::size_t machine, std::uint64_t value) {
    const auto [at, fresh] = notes_[task].try_emplace(value, fence, machine);
    if (fresh) {
        ++record_.notes;
        return;
    }
    ++record_.unexplained;
    record_.found.push_back("task-" + std::to_string(task) + ": " + std::to_string(value) + " left under " +
                            std::to_string(fence) + " as before under " + std::to_string(at->second.first));
}

// A read that began after a note was told as left shows it, or a later one.
void LeaseFleet::ask_notes() {
    lease::Request q;
    q.kind = lease::Request::Kind::list;
    q.holder = 1, q.number = ++question_;
    q.name = "lab", q.task = "task-";
    for (const auto& [task, values] : notes_) asked_[question_][task] = values.rbegin()->first;
    if (asked_.size() > kMostAsked) asked_.erase(asked_.begin());
    for (Keeper& keeper : keepers_) keeper.line->send(lease::FrameKind::question, lease::encode(q));
}

void LeaseFleet::read(std::string_view payload) {
    std::string why;
    const auto answer = lease::decode_answer(payload, why);
    if (!answer || answer->kind != lease::Response::Kind::listed) return;
    const auto asked = asked_.find(answer->number);
    if (asked == asked_.end()) return;
    ++record_.reads;
    std::map<std::string, std::uint64_t> left;
    std::istringstream lines(answer->text);
    for (std::string line; std::getline(lines, line);)
        left[line.substr(0, line.find('\t'))] =
            std::strtoull(line.c_str() + line.rfind('\t') + 1, nullptr, 10);
    for (const auto& [task, value] : asked->second)
        if (const std::uint64_t is = left["task-" + std::to_string(task)]; is < value) {
            ++record_.unexplained;
            record_.found.push_back("task-" + std::to_string(task) + ": reads " + std::to_string(is) +
                                    " after " + std::to_string(value) + " was told as left");
        }
    asked_.erase(asked_.begin(), std::next(asked));
}

// TASK FENCE MACHINE, in words; and the number that was left, where it is a note's.
void LeaseFleet::acted(const std::string& text) {
    std::istringstream words(text);
    std::string name;
    std::uint64_t fence = 0;
    std::size_t machine = machines_.size();
    words >> name >> fence >> machine;
    std::size_t task = options_.tasks;
    if (name.starts_with("task-")) std::from_chars(name.data() + 5, name.data() + name.size(), task);
    if (!words || task >= options_.tasks || machine >= machines_.size()) {
        ++record_.bad;
        return;
    }
    if (std::uint64_t value = 0; words >> value) return noted(task, fence, machine, value);
    const Millis now = clock_.now();
    const bool stale = fence < highest_[task];  // by the record; the gate is asked apart from it
    if (const bool passed = gate_.admit(name, fence); passed == stale) {
        ++record_.unexplained;
        record_.found.push_back("the gate and the record differ on " + text);
    }
    if (stale) {
        ++record_.refused;
        if (now - machines_[machine].resumed <= kExplained) return;
        if (now - stalled_at_ <= kExplained || now > look_due_ + kStall) {
            ++record_.stalled;
        } else {
            ++record_.unexplained;
            if (record_.found.size() < 20)
                record_.found.push_back(text + " after " + std::to_string(highest_[task]) + ", " +
                                        shown(now - last_act_[task]) + " ms after its last act");
        }
        return;
    }
    ++record_.acts;
    if (fence > highest_[task]) ++record_.holders;
    highest_[task] = fence;
    record_.longest_gap = std::max(record_.longest_gap, now - last_act_[task]);
    last_act_[task] = now;
    last_machine_[task] = machine;
}

pid_t Acting::leave_note(const std::string& task, std::uint64_t value) const {
    const std::string program = beside("cobaltshift"), number = std::to_string(value);
    const pid_t child = ::fork();
    if (child != 0) return child;
    // The fence is in its environment.
    ::execl(program.c_str(), program.c_str(), "lease", "note", task.c_str(), number.c_str(), "--settings",
            settings.c_str(), "--within", "1s", nullptr);
    ::_exit(127);
}

int Acting::run() const {
    const char *task = std::getenv("COBALTSHIFT_TASK"), *fence = std::getenv("COBALTSHIFT_FENCE");
    const auto colon = target.rfind(':');
    if (!task || !fence || colon == std::string::npos) return 2;
    asio::io_context io(1);
    asio::ip::udp::socket socket(io, asio::ip::udp::v4());
    const asio::ip::udp::endpoint to(asio::ip::make_address(target.substr(0, colon)),
                                     static_cast<unsigned short>(std::stoi(target.substr(colon + 1))));
    const std::string act = std::string(task) + " " + fence + " " + std::to_string(machine);
    const char* before = std::getenv("COBALTSHIFT_NOTE");
    std::uint64_t value = before ? std::strtoull(before, nullptr, 10) + 1 : 1;
    pid_t noting = -1;
    bool noting_on = !settings.empty();
    auto noting_at = std::chrono::steady_clock::now();
    const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(static_cast<long>(length));
    while (length == 0 || std::chrono::steady_clock::now() < end) {
        error_code ignored;
        socket.send_to(asio::buffer(act), to, 0, ignored);
        int status = 0;
        if (noting > 0 && ::waitpid(noting, &status, WNOHANG) == noting) {
            const int code = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
            noting = -1;
            if (code == 0) {
                const std::string left = act + " " + std::to_string(value++);
                socket.send_to(asio::buffer(left), to, 0, ignored);
            }
            // Not answered: nobody knows; the same again. Not for ever at once, as each is a process.
            noting_on = code == 0 || code == 1;
            noting_at = std::chrono::steady_clock::now() + kNotePause;
        }
        if (noting < 0 && noting_on && std::chrono::steady_clock::now() >= noting_at)
            noting = leave_note(task, value);
        ::usleep(static_cast<useconds_t>(every * 1000));
    }
    return 0;
}

}  // namespace cobaltshift::lab
