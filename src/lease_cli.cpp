#include "lease_cli.hpp"

#include <sodium.h>

#include <algorithm>
#include <csignal>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "lease/codec.hpp"
#include "lease_io/ask.hpp"
#include "lease_io/clock.hpp"
#include "lease_io/keeper_node.hpp"
#include "log/log.hpp"
#include "metrics_io/endpoint.hpp"

namespace cobaltshift {

namespace {

using nlohmann::json;

const std::string kPassThroughPrefix = "\x01";

// Parses a duration such as 1500ms, 30s or 2m to milliseconds. The unit is required.
CLI::Validator duration() {
    return CLI::AsNumberWithUnit(std::map<std::string, double>{{"ms", 1}, {"s", 1000}, {"m", 60000}},
                                 CLI::AsNumberWithUnit::UNIT_REQUIRED, "DURATION");
}

std::chrono::milliseconds millis(lease::Millis value) {
    return std::chrono::milliseconds(static_cast<long>(value));
}

lease::Request question(lease::Request::Kind kind, const std::string& task) {
    lease::Request q;
    q.kind = kind;
    q.holder = 1 + (static_cast<std::uint64_t>(randombytes_random()) << 20);
    q.number = 1;
    q.name = "operator";
    q.task = task;
    return q;
}

// Returns the leader's response, or nothing if none arrived within `within` ms.
std::optional<lease::Response> ask_leader(const lease::KeepersSettings& settings, const lease::Request& q,
                                          lease::Millis within) {
    std::optional<lease::Response> answer;
    lease::ask(settings, lease::FrameKind::question, encode(q), millis(within),
               [&](std::uint32_t, lease::FrameKind kind, std::string_view payload) {
                   std::string why;
                   if (kind != lease::FrameKind::answer) return false;
                   auto one = lease::decode_answer(payload, why);
                   if (!one || one->kind == lease::Response::Kind::not_leader) return false;
                   answer = std::move(one);
                   return true;
               });
    return answer;
}

int report_no_leader(lease::Millis within) {
    std::cerr << "cobaltshift: no keeper that leads answered within " << within / 1000 << " s\n";
    return 1;
}

// The status of each replica that responds within `within` ms, by number.
std::map<std::uint32_t, json> statuses(const lease::KeepersSettings& settings, lease::Millis within) {
    std::map<std::uint32_t, json> all;
    lease::ask(settings, lease::FrameKind::order, json{{"do", "status"}}.dump(), millis(within),
               [&](std::uint32_t number, lease::FrameKind kind, std::string_view payload) {
                   if (kind != lease::FrameKind::report) return false;
                   json said = json::parse(payload, nullptr, false);
                   if (said.is_object()) all[number] = std::move(said);
                   return all.size() == settings.keepers.size();
               });
    return all;
}

const json* leader_of(const std::map<std::uint32_t, json>& all) {
    const json* leader = nullptr;
    for (const auto& [number, said] : all)
        if (said.value("leads", false) && (!leader || said.value("term", 0ULL) > leader->value("term", 0ULL)))
            leader = &said;
    return leader;
}

struct Row {
    std::string task, holder, fence, left, queue, state, note;
};
std::vector<Row> rows(const std::string& text) {
    std::vector<Row> all;
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);) {
        std::istringstream fields(line);
        Row row;
        for (std::string* field :
             {&row.task, &row.holder, &row.fence, &row.left, &row.queue, &row.state, &row.note})
            std::getline(fields, *field, '\t');
        if (!row.state.empty()) all.push_back(std::move(row));
    }
    return all;
}

}  // namespace

LeaseCli::LeaseCli(CLI::App& app, std::string& settings_file) : file_(settings_file) {
    const auto common = [&](CLI::App* command, bool needed = true) {
        auto* option =
            command->add_option("--settings", file_, "settings file; its section [keepers] is required");
        if (needed) option->required();
        return command;
    };
    const auto asks = [&](CLI::App* command) {
        common(command);
        command->add_flag("--json", json_, "one JSON value instead of a table");
        command->add_option("--within", within_, "time limit for the answer")->transform(duration());
        return command;
    };
    keeper_ =
        common(app.add_subcommand("keeper", "runs or administers a replica of the lease service"), false);
    keeper_->require_subcommand(0, 1);
    found_ = common(keeper_->add_subcommand(
        "found", "initialises the empty folder of one of the first keepers; run once for each"));
    status_ =
        asks(keeper_->add_subcommand("status", "shows each keeper's status; exit code 1 if none leads"));
    remove_ = asks(keeper_->add_subcommand("remove", "removes a stopped keeper from the members"));
    remove_->add_option("KEEPER", number_, "its number")->required();
    add_ = asks(keeper_->add_subcommand("add", "waits until a started keeper is a voting member"));
    add_->add_option("KEEPER", number_, "its number")->required();
    lease_ = app.add_subcommand("lease", "leases of tasks that one process of the fleet may run at a time");
    lease_->require_subcommand(1);
    run_ = common(lease_->add_subcommand("run", "runs a command while holding the lease of a task"));
    run_->add_option("TASK", command_.task)->required();
    run_->add_option("--length", command_.length, "duration of the lease; it is renewed before its end")
        ->transform(duration());
    run_->add_option("--grace", command_.grace,
                     "time between SIGTERM and the lease's end; at most a third of the length")
        ->transform(duration());
    run_->add_flag("--no-wait", no_wait_, "exits at once with 75 if another process holds the task");
    run_->add_option("--wait", command_.wait_at_most,
                     "exits with 75 if the lease is not acquired within this time")
        ->transform(duration());
    run_->add_option("--name", command_.name, "display name of this process; default: host and process id");
    run_->add_option("--next", command_.next, "name of the waiting process that gets the task afterwards");
    run_->add_option("COMMAND", command_.words, "after --")->required();
    list_ = asks(lease_->add_subcommand("list", "lists the held tasks and their holders"));
    list_->add_option("PREFIX", task_, "only tasks whose names start with this");
    show_ =
        asks(lease_->add_subcommand("show", "shows the holder of a task; exit code 1 if nobody holds it"));
    show_->add_option("TASK", task_)->required();
    revoke_ = asks(lease_->add_subcommand(
        "revoke", "stops the renewal of a task's lease, which ends within its length"));
    revoke_->add_option("TASK", task_)->required();
    note_ = asks(lease_->add_subcommand(
        "note",
        "stores a note for the next holder of a task; exit code 76 if the fence is no longer current"));
    note_->add_option("TASK", task_)->required();
    note_->add_option("TEXT", text_, "at most 1024 bytes; empty: removes the note")->required();
    note_->add_option("--fence", fence_, "fencing token of the lease")
        ->envname("COBALTSHIFT_FENCE")
        ->required();
}

std::vector<std::string> LeaseCli::words(int argc, const char* const* argv) {
    std::vector<std::string> all;
    bool behind = false;
    for (int i = 1; i < argc; ++i) {
        all.push_back(behind ? kPassThroughPrefix + std::string(argv[i]) : argv[i]);
        behind = behind || all.back() == "--";
    }
    std::reverse(all.begin(), all.end());
    return all;
}

void LeaseCli::need_keepers() const {
    if (settings_.keepers.keepers.empty()) throw SettingsError(file_ + ": keepers.addresses is missing");
}

int LeaseCli::run() {
    if (file_.empty()) {
        std::cerr << "cobaltshift: --settings is required\n";
        return 2;
    }
    settings_ = load_settings(file_);
    set_log_format(settings_.log);
    need_keepers();
    if (sodium_init() < 0) throw std::runtime_error("libsodium can't start");
    if (keeper_->parsed()) {
        if (found_->parsed()) return found();
        if (status_->parsed()) return status();
        if (remove_->parsed()) return remove();
        if (add_->parsed()) return add();
        return keep();
    }
    if (run_->parsed()) return run_with_lease();
    if (list_->parsed()) return list(false);
    if (show_->parsed()) return list(true);
    if (note_->parsed()) return note();
    return revoke();
}

// ---- Lease replicas --------------------------------------------------------------------------------------

int LeaseCli::keep() {
    if (!settings_.keeper) throw SettingsError(file_ + ": keeper is missing");
    lease::asio::io_context io(1);
    lease::asio::signal_set stop(io, SIGTERM, SIGINT);
    lease::KeeperNode node(io, *settings_.keeper, settings_.keepers);
    node.when_over([&] { io.stop(); });
    stop.async_wait([&](lease::error_code ec, int) {
        if (ec) return;
        node.stop();
        io.stop();
    });
    std::unique_ptr<MetricsEndpoint> metrics;
    if (settings_.metrics)
        metrics = std::make_unique<MetricsEndpoint>(io, *settings_.metrics, [&node] {
            MetricsText text;
            node.metrics(text);
            return text.text();
        });
    std::ostringstream address;
    address << node.endpoint();
    log_line("listens", "listens on " + address.str(), {{"address", address.str()}});
    io.run();
    return node.over().empty() ? 0 : 1;
}

int LeaseCli::found() {
    if (!settings_.keeper) throw SettingsError(file_ + ": keeper is missing");
    lease::found(*settings_.keeper, settings_.keepers.keepers.size());
    log_line("keeper.founded", "keeper " + std::to_string(settings_.keeper->office.agree.number) + " of '" +
                                   settings_.keeper->fleet + "' is founded in " + settings_.keeper->folder);
    return 0;
}

int LeaseCli::status() {
    const auto all = statuses(settings_.keepers, std::min(within_, 2000.0));
    const json* leader = leader_of(all);
    if (json_) {
        json whole = json::array();
        for (const auto& [number, said] : all) whole.push_back(said);
        std::cout << whole.dump(2) << '\n';
        return leader ? 0 : 1;
    }
    std::cout << "keeper  address                role       term  stored  tasks  syncs  longest ms\n";
    for (std::uint32_t n = 0; n < settings_.keepers.keepers.size(); ++n) {
        std::ostringstream address;
        address << settings_.keepers.keepers[n];
        std::cout << std::left << std::setw(8) << n << std::setw(23) << address.str();
        const auto at = all.find(n);
        if (at == all.end()) {
            std::cout << "no answer\n";
            continue;
        }
        const json& said = at->second;
        std::string role = said.value("role", "?");
        for (const json& member : leader ? (*leader)["members"] : json::array())
            if (member.value("number", 99U) == n && !member.value("voter", true)) role = "learner";
        std::cout << std::setw(11) << role << std::setw(6) << said.value("term", 0ULL) << std::setw(8)
                  << said.value("last", 0ULL) << std::setw(7) << said.value("tasks", 0ULL) << std::setw(7)
                  << said.value("syncs", 0ULL) << std::fixed << std::setprecision(1)
                  << said.value("longest_sync_ms", 0.0) << '\n';
    }
    if (!leader) std::cout << "no keeper leads: no right is given or renewed\n";
    return leader ? 0 : 1;
}

int LeaseCli::remove() {
    json said;
    const auto done = lease::ask(settings_.keepers, lease::FrameKind::order,
                                 json{{"do", "remove"}, {"keeper", number_}}.dump(), millis(within_),
                                 [&](std::uint32_t, lease::FrameKind kind, std::string_view payload) {
                                     if (kind != lease::FrameKind::report) return false;
                                     said = json::parse(payload, nullptr, false);
                                     return said.is_object() && said.value("error", "") != "does not lead";
                                 });
    if (!done) return report_no_leader(within_);
    if (said.contains("error")) {
        std::cerr << "cobaltshift: " << said.value("error", "") << '\n';
        return 1;
    }
    std::cout << (json_ ? said.dump() : "keeper " + std::to_string(number_) + " is no member any more")
              << '\n';
    return 0;
}

int LeaseCli::add() {
    const lease::Millis end = lease::boottime_now() + within_;
    while (lease::boottime_now() < end) {
        const auto all = statuses(settings_.keepers, 500);
        if (const json* leader = leader_of(all))
            for (const json& member : (*leader)["members"])
                if (member.value("number", 99U) == number_ && member.value("voter", false)) {
                    std::cout << (json_ ? member.dump() : "keeper " + std::to_string(number_) + " votes")
                              << '\n';
                    return 0;
                }
    }
    std::cerr << "cobaltshift: keeper " << number_ << " has no vote within " << within_ / 1000 << " s\n";
    return 1;
}

// ---- Leases ----------------------------------------------------------------------------------------------

int LeaseCli::list(bool exactly_one) {
    const auto answer = ask_leader(settings_.keepers, question(lease::Request::Kind::list, task_), within_);
    if (!answer) return report_no_leader(within_);
    std::vector<Row> all = rows(answer->text);
    if (exactly_one) std::erase_if(all, [&](const Row& row) { return row.task != task_; });
    if (json_) {
        json whole = json::array();
        for (const Row& row : all)
            whole.push_back({{"task", row.task},
                             {"holder", row.holder},
                             {"fence", std::stoull(row.fence)},
                             {"left_ms", std::stoll(row.left)},
                             {"waiting", std::stoull(row.queue)},
                             {"state", row.state},
                             {"note", row.note}});
        std::cout << whole.dump(2) << '\n';
    } else {
        std::cout << "task                            holder                  fence     left s  waiting  "
                     "state  note\n";
        for (const Row& row : all)
            std::cout << std::left << std::setw(32) << row.task << std::setw(24) << row.holder
                      << std::setw(10) << row.fence << std::setw(8) << std::fixed << std::setprecision(1)
                      << std::stod(row.left) / 1000 << std::setw(9) << row.queue << std::setw(7) << row.state
                      << row.note << '\n';
    }
    return exactly_one && all.empty() ? 1 : 0;
}

int LeaseCli::revoke() {
    const auto answer = ask_leader(settings_.keepers, question(lease::Request::Kind::revoke, task_), within_);
    if (!answer) return report_no_leader(within_);
    if (answer->kind != lease::Response::Kind::done) {
        std::cerr << "cobaltshift: nobody holds " << task_ << '\n';
        return 1;
    }
    std::cout << (json_ ? json{{"revoked", task_}}.dump() : task_ + " is not renewed any more") << '\n';
    return 0;
}

int LeaseCli::note() {
    if (!lease::is_valid_note(text_)) {
        std::cerr << "cobaltshift: TEXT is over 1024 bytes or has control characters\n";
        return 2;
    }
    lease::Request q = question(lease::Request::Kind::note, task_);
    q.fence = fence_;
    q.text = text_;
    // All invocations of this command under one lease share a holder id and take increasing request numbers
    // from this machine's clock.
    q.holder = 1ULL << 63 | fence_;
    q.number = static_cast<std::uint64_t>(lease::boottime_now() * 1000);
    const auto answer = ask_leader(settings_.keepers, q, within_);
    if (!answer) return report_no_leader(within_);
    if (answer->kind == lease::Response::Kind::full) {
        std::cerr << "cobaltshift: the limit of notes is reached\n";
        return 1;
    }
    if (answer->kind != lease::Response::Kind::done) {
        std::cerr << "cobaltshift: " << task_ << " is not held under " << fence_ << '\n';
        return lease::RunCommand::kRightEnded;
    }
    if (json_) std::cout << json{{"noted", task_}}.dump() << '\n';
    return 0;
}

int LeaseCli::run_with_lease() {
    command_.wait = !no_wait_;
    for (std::string& word : command_.words)
        if (word.starts_with(kPassThroughPrefix)) word.erase(0, kPassThroughPrefix.size());
    if (command_.length < lease::kMinLeaseLength || command_.length > lease::kMaxLeaseLength ||
        settings_.keepers.margin > command_.length / 3) {
        std::cerr << "cobaltshift: --length must be between 200ms and 60m, and three times keepers.margin_ms "
                     "at least\n";
        return 2;
    }
    if (command_.task.empty() || command_.task.size() > lease::kMaxName ||
        std::any_of(command_.task.begin(), command_.task.end(), [](unsigned char c) { return c < 0x20; })) {
        std::cerr << "cobaltshift: a task's name has 1 to " << lease::kMaxName
                  << " bytes and no control characters\n";
        return 2;
    }
    return lease::run_command(settings_.keepers, command_);
}

}  // namespace cobaltshift
