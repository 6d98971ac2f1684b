// Keepers, machines that act under rights, and what is acted upon, as processes of the program on loopback
// with a relay on every way between them (links.hpp). The target stands in this process: it has a gate, and a
// record of its own that owes nothing to the gate. Entry type: LeaseFleet; its user draws what happens to it.
#pragma once

#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "lab/child.hpp"
#include "lab/links.hpp"
#include "lease/gate.hpp"
#include "lease_io/line.hpp"
#include "lease_io/settings.hpp"

namespace cobaltshift::lab {

class LeaseFleet {
public:
    struct Options {
        std::size_t keepers = 5, machines = 12, tasks = 4;
        Millis length = 1000, margin = 100, grace = 200;
        Millis heartbeat = 40, election = 400;
        Millis act_every = 5;
        std::uint64_t seed = 1;
    };
    LeaseFleet(asio::io_context& io, const Clock& clock, const Options& options);
    ~LeaseFleet();

    void start();
    Links& links() { return links_; }
    const Options& options() const { return options_; }

    // Keepers: their processes and folders.
    void start_keeper(std::size_t k);
    void kill_keeper(std::size_t k);
    void stop_keeper(std::size_t k, bool on);
    void wipe_keeper(std::size_t k);   // dead: its folder is emptied
    void spoil_keeper(std::size_t k);  // dead: a byte of its database is changed
    bool keeper_runs(std::size_t k) const { return keepers_[k].child && !keepers_[k].stopped; }
    // By what keepers said of themselves lately.
    lease::KeepersSettings settings() const;  // of whoever asks them straight
    // The settings' [keepers] for a process of this name, with a link of its own to each keeper.
    std::string keepers_table(const std::string& name);
    double keeper_cpu(std::size_t k) const {
        return keepers_[k].child ? keepers_[k].child->cpu_seconds() : 0;
    }
    std::optional<std::size_t> leader() const;
    // All others vote, run, are heard and have stored all that is agreed: this one's folder may be lost.
    bool others_whole(std::size_t k) const;
    const nlohmann::json* status(std::size_t k) const;
    std::string last_words(std::size_t k) const {
        return keepers_[k].child ? keepers_[k].child->last_words() : "";
    }

    // Machines: `lease run` with a command that acts, started again whenever it ends.
    void kill_machine(std::size_t m);
    // `all`: the runner with its guard and its command; else the runner alone, whose guard must end the
    // command.
    void stop_machine(std::size_t m, bool all, Millis length);
    std::optional<std::size_t> acting(std::size_t task) const;  // the machine whose act was let pass last
    std::size_t task_of(std::size_t m) const { return m % options_.tasks; }

    // No new starts; SIGTERM to all; the worst exit code of keepers.
    int stop();

    struct Record {
        std::uint64_t acts = 0, refused = 0;
        std::uint64_t unexplained =
            0;  // refused, and its machine had not been stopped as a whole just before
        // Refused, beside a stall of the whole machine that all this runs on.
        std::uint64_t stalled = 0;
        std::uint64_t holders = 0;  // changes of fence
        std::uint64_t bad = 0;      // datagrams that are no acts
        std::uint64_t notes = 0;    // told as left, each once
        std::uint64_t reads = 0;    // of all notes at the keepers, none older than what had been told before
        Millis longest_gap = 0;     // of any task between two acts that were let pass
        std::vector<std::string> found;
    };
    const Record& record() const { return record_; }
    Millis quiet_since(std::size_t task) const { return last_act_.at(task); }
    std::uint64_t fence(std::size_t task) const { return highest_.at(task); }
    std::map<int, std::uint64_t> ends() const { return ends_; }  // of `lease run`, by exit code

private:
    struct Keeper {
        std::unique_ptr<Child> child;
        std::unique_ptr<lease::ReplicaConnection> line;
        tcp::endpoint at;
        bool stopped = false;
        nlohmann::json status;
        Millis status_at = -1e18;
    };
    struct Machine {
        std::unique_ptr<Child> child;
        std::string settings;
        bool stopped = false;
        Millis resumed = -1e18;  // as a whole
        std::uint64_t stop = 0;
    };
    void later(Millis after, std::function<void()> what);
    void start_machine(std::size_t m);
    void look();
    void receive();
    void acted(const std::string& text);
    void ask_notes();
    void read(std::string_view payload);
    void noted(std::size_t task, std::uint64_t fence, std::size_t machine, std::uint64_t value);

    asio::io_context& io_;
    const Clock& clock_;
    const Options options_;
    Links links_;
    sim::Stream lots_;
    Folder folder_;
    std::string secret_file_;
    lease::Secret secret_;
    std::vector<Keeper> keepers_;
    std::vector<Machine> machines_;
    asio::ip::udp::socket target_;
    asio::ip::udp::endpoint from_;
    std::array<char, 512> datagram_;
    lease::Gate gate_;
    std::map<std::size_t, std::uint64_t> highest_;
    std::map<std::size_t, Millis> last_act_;
    std::map<std::size_t, std::size_t> last_machine_;
    std::map<std::size_t, std::map<std::uint64_t, std::pair<std::uint64_t, std::size_t>>> notes_;
    // By number of question: what had been told as left by the time it was asked.
    std::map<std::uint64_t, std::map<std::size_t, std::uint64_t>> asked_;
    std::uint64_t question_ = 0, looks_ = 0;
    std::map<int, std::uint64_t> ends_;
    Record record_;
    std::list<asio::steady_timer> timers_;
    asio::steady_timer look_;
    Millis look_due_ = 0, stalled_at_ = -1e18;
    bool over_ = false;
};

// `cobaltshift-lab act`: acts on a target every so often, under the right in its environment, until it is
// ended. Meanwhile it adds one to the number in the task's note, again and again, and tells the target of
// each that a keeper has said is left.
struct Acting {
    std::string target;
    std::size_t machine = 0;
    Millis every = 5, length = 0;  // 0: for ever
    std::string settings;          // empty: no notes
    int run() const;

private:
    pid_t leave_note(const std::string& task, std::uint64_t value) const;
};

}  // namespace cobaltshift::lab
