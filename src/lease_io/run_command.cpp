#include "lease_io/run_command.hpp"

#include <signal.h>
#include <sys/mman.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <cstring>
#include <new>

#include "lease_io/clock.hpp"
#include "lease_io/rights.hpp"
#include "log/log.hpp"

namespace cobaltshift::lease {

namespace {

constexpr Millis kGuardPollInterval = 50, kReleaseTimeout = 1000;

// End of the lease in memory shared with the guard process.
class SharedEnd {
public:
    SharedEnd() {
        void* page = ::mmap(nullptr, sizeof(std::atomic<Millis>), PROT_READ | PROT_WRITE,
                            MAP_SHARED | MAP_ANONYMOUS, -1, 0);
        if (page == MAP_FAILED) throw std::runtime_error("can't map memory to share with the guard process");
        end_ = new (page) std::atomic<Millis>(0);
    }
    ~SharedEnd() { ::munmap(end_, sizeof *end_); }
    SharedEnd(const SharedEnd&) = delete;
    SharedEnd& operator=(const SharedEnd&) = delete;
    std::atomic<Millis>& at() { return *end_; }

private:
    std::atomic<Millis>* end_;
};

// Main loop of the guard process: kills the command's process group at the lease's end or once its parent is
// gone.
[[noreturn]] void guard(pid_t parent, pid_t group, const std::atomic<Millis>& end) {
    ::setpgid(0, 0);  // signals of the terminal or to the parent's group must not reach it
    for (;;) {
        const Millis left = end.load() - boottime_now();
        if (left <= 0 || ::getppid() != parent) {
            ::kill(-group, SIGKILL);
            ::_exit(0);
        }
        const auto micros = static_cast<useconds_t>(1000 * std::min(left, kGuardPollInterval)) + 1;
        ::usleep(micros);
    }
}

class Runner {
public:
    Runner(const KeepersSettings& settings, RunCommand command)
        : command_(std::move(command)),
          signals_(io_, SIGTERM, SIGINT, SIGHUP),
          children_(io_, SIGCHLD),
          timer_(io_),
          rights_(io_, settings, command_.name) {}

    int run() {
        rights_.on_change([this] { on_lease_change(); });
        wait_signals();
        wait_children();
        if (command_.wait_at_most > 0) {
            timer_.expires_after(std::chrono::milliseconds(static_cast<long>(command_.wait_at_most)));
            timer_.async_wait([this](error_code ec) {
                if (!ec && child_ == 0 && !over_)
                    finish(RunCommand::kNotHeld, "not held within the time given");
            });
        }
        rights_.want(command_.task, command_.length, command_.wait);
        io_.run();
        end_guard();
        return code_;
    }

private:
    void on_lease_change() {
        if (over_) {
            if (rights_.state(command_.task) == Holder::State::idle) io_.stop();
            return;
        }
        const auto right = rights_.right(command_.task);
        if (child_ == 0) {
            if (right && right->until - boottime_now() > command_.grace) return start(*right);
            const Response* last = rights_.last(command_.task);
            if (!right && last && !command_.wait && last->kind == Response::Kind::refused)
                return finish(RunCommand::kNotHeld, "held by " + last->by);
            if (!right && last && last->kind == Response::Kind::full)
                return finish(RunCommand::kNotHeld, "the limit of tasks or waiters is reached");
            return;
        }
        if (right && right->fence == fence_ && !ending_) {
            end_.at().store(right->until);
            return restart_end_timer();
        }
        // Lost or revoked. The last grant remains valid up to its end, and the task isn't granted to another
        // holder before.
        if (!ending_) terminate_command("the lease is not renewed");
    }

    void restart_end_timer() {
        timer_.expires_after(std::chrono::microseconds(
            static_cast<long>(1000 * std::max(0.0, end_.at().load() - command_.grace - boottime_now())) + 1));
        timer_.async_wait([this](error_code ec) {
            if (!ec && child_ > 0 && !ending_) terminate_command("the lease ends");
        });
    }

    void terminate_command(const std::string& why) {
        ending_ = true;
        log_line("lease.ends", "lease " + command_.task + ": " + why + "; the command is ended",
                 {{"task", command_.task}, {"fence", fence_}, {"why", why}});
        ::kill(-child_, SIGTERM);
        ::kill(-child_, SIGCONT);  // a stopped process would not handle SIGTERM
        const Millis left = std::min(end_.at().load() - boottime_now(), command_.grace);
        timer_.expires_after(std::chrono::microseconds(static_cast<long>(1000 * std::max(0.0, left)) + 1));
        timer_.async_wait([this](error_code ec) {
            if (!ec && child_ > 0) ::kill(-child_, SIGKILL);
        });
    }

    void start(const Holder::Right& right) {
        fence_ = right.fence;
        end_.at().store(right.until);
        std::vector<char*> argv;
        for (std::string& word : command_.words) argv.push_back(word.data());
        argv.push_back(nullptr);
        const std::string fence = std::to_string(fence_), note = rights_.note(command_.task);
        const pid_t self = ::getpid();
        io_.notify_fork(asio::io_context::fork_prepare);
        child_ = ::fork();
        if (child_ == 0) {
            ::setpgid(0, 0);
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (::getppid() != self) ::_exit(RunCommand::kCantStart);
            ::setenv("COBALTSHIFT_TASK", command_.task.c_str(), 1);
            ::setenv("COBALTSHIFT_FENCE", fence.c_str(), 1);
            ::setenv("COBALTSHIFT_NOTE", note.c_str(), 1);
            for (const int number : {SIGTERM, SIGINT, SIGHUP, SIGCHLD, SIGPIPE}) ::signal(number, SIG_DFL);
            sigset_t none;
            ::sigemptyset(&none);
            ::sigprocmask(SIG_SETMASK, &none, nullptr);
            ::close_range(STDERR_FILENO + 1, ~0U, 0);
            ::execvp(argv[0], argv.data());
            const std::string text = "cobaltshift: " + command_.words[0] + ": " + std::strerror(errno) + "\n";
            (void)!::write(STDERR_FILENO, text.data(), text.size());
            ::_exit(RunCommand::kCantStart);
        }
        if (child_ < 0) {
            child_ = 0;
            io_.notify_fork(asio::io_context::fork_parent);
            return finish(RunCommand::kCantStart, "no new process");
        }
        ::setpgid(child_, child_);
        guard_ = ::fork();
        if (guard_ == 0) {
            for (const int number : {SIGTERM, SIGINT, SIGHUP, SIGCHLD}) ::signal(number, SIG_DFL);
            ::close_range(STDERR_FILENO + 1, ~0U, 0);
            guard(self, child_, end_.at());
        }
        io_.notify_fork(asio::io_context::fork_parent);
        restart_end_timer();
    }

    void end_guard() {
        if (guard_ <= 0) return;
        ::kill(guard_, SIGKILL);
        ::waitpid(guard_, nullptr, 0);
        guard_ = 0;
    }

    void wait_children() {
        children_.async_wait([this](error_code ec, int) {
            if (ec) return;
            int status = 0;
            if (child_ > 0 && ::waitpid(child_, &status, WNOHANG) == child_) {
                const pid_t group = child_;
                const bool in_time = boottime_now() < end_.at().load();
                child_ = 0;
                ::kill(-group, SIGKILL);  // kills what the command left running in its group
                end_guard();
                const int own = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
                return finish(ending_ || !in_time ? RunCommand::kRightEnded : own, "");
            }
            wait_children();
        });
    }

    void wait_signals() {
        signals_.async_wait([this](error_code ec, int number) {
            if (ec) return;
            if (child_ > 0)
                ::kill(-child_, number);
            else if (!over_)
                return finish(128 + number, "");
            wait_signals();
        });
    }

    // Releases the lease so that the next holder needn't wait for its end; gives up after kReleaseTimeout.
    void finish(int code, const std::string& why) {
        over_ = true;
        code_ = code;
        if (!why.empty())
            log_line("lease.over", "lease " + command_.task + ": " + why,
                     {{"task", command_.task}, {"why", why}});
        rights_.give_up(command_.task, command_.next);
        if (rights_.state(command_.task) == Holder::State::idle) return io_.stop();
        timer_.expires_after(std::chrono::milliseconds(static_cast<long>(kReleaseTimeout)));
        timer_.async_wait([this](error_code ec) {
            if (!ec) io_.stop();
        });
    }

    RunCommand command_;
    asio::io_context io_{1};
    asio::signal_set signals_, children_;
    asio::steady_timer timer_;
    LeaseClient rights_;
    SharedEnd end_;
    Fence fence_ = 0;
    pid_t child_ = 0, guard_ = 0;
    bool ending_ = false, over_ = false;
    int code_ = 0;
};

}  // namespace

int run_command(const KeepersSettings& settings, RunCommand command) {
    command.grace = std::min(command.grace, command.length / 3);
    if (command.name.empty()) {
        char host[64] = "";
        ::gethostname(host, sizeof host - 1);
        command.name = std::string(host) + "/" + std::to_string(::getpid());
    }
    return Runner(settings, std::move(command)).run();
}

}  // namespace cobaltshift::lease
