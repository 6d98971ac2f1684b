#include "lab/child.hpp"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

extern char** environ;

namespace cobaltshift::lab {

namespace {
constexpr std::size_t kLastWords = 2000;
}

Folder::Folder() {
    std::string pattern = (std::filesystem::temp_directory_path() / "cobaltshift-lab-XXXXXX").string();
    if (!::mkdtemp(pattern.data())) throw std::runtime_error("no folder for temporary files");
    path_ = pattern;
}
Folder::~Folder() {
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
}
std::string Folder::write(const std::string& name, const std::string& text) const {
    const std::string file = path_ + "/" + name;
    std::ofstream(file) << text;
    return file;
}

Child::Child(asio::io_context& io, const Command& command, std::function<void(tcp::endpoint)> listening)
    : log_(std::make_shared<Log>(io)) {
    log_->listening = std::move(listening);
    if (!command.log_file.empty()) log_->file.open(command.log_file, std::ios::app);
    int ends[2];
    if (::pipe2(ends, O_CLOEXEC) != 0) throw std::runtime_error("no pipe");
    std::vector<std::string> words{command.program}, variables = command.environment;
    words.insert(words.end(), command.arguments.begin(), command.arguments.end());
    for (char** v = environ; *v; ++v) variables.emplace_back(*v);
    std::vector<char*> argv, envp;
    for (auto& word : words) argv.push_back(word.data());
    for (auto& variable : variables) envp.push_back(variable.data());
    argv.push_back(nullptr), envp.push_back(nullptr);
    pid_ = ::fork();
    if (pid_ == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // a lab that is killed leaves no fleet behind
        ::dup2(ends[1], STDERR_FILENO);
        ::close_range(STDERR_FILENO + 1, ~0U, 0);  // a stand-in's socket must not live on in it
        ::execve(argv[0], argv.data(), envp.data());
        ::_exit(127);
    }
    ::close(ends[1]);
    if (pid_ < 0) {
        ::close(ends[0]);
        throw std::runtime_error("no new process");
    }
    log_->pipe.assign(ends[0]);
    read(log_);
}

Child::~Child() {
    log_->listening = nullptr;
    error_code ignored;
    log_->pipe.close(ignored);
    if (pid_ <= 0) return;
    signal(SIGKILL);
    wait();
}

void Child::read(std::shared_ptr<Log> log) {
    log->pipe.async_read_some(asio::buffer(log->chunk), [log](error_code ec, std::size_t n) {
        if (ec) return;
        log->text.append(log->chunk.data(), n);
        if (log->file.is_open()) log->file.write(log->chunk.data(), static_cast<std::streamsize>(n)).flush();
        for (std::size_t end; (end = log->text.find('\n')) != std::string::npos;
             log->text.erase(0, end + 1)) {
            static const std::string says = "listens on ";
            const std::string line = log->text.substr(0, end);
            log->last += line + '\n';
            if (log->last.size() > kLastWords) log->last.erase(0, log->last.size() - kLastWords);
            const auto at = line.find(says);
            if (at == std::string::npos || !log->listening) continue;
            const std::string address = line.substr(at + says.size());
            const auto colon = address.rfind(':');
            const tcp::endpoint endpoint(asio::ip::make_address(address.substr(0, colon)),
                                         static_cast<unsigned short>(std::stoi(address.substr(colon + 1))));
            std::exchange(log->listening, nullptr)(endpoint);
        }
        read(log);
    });
}

void Child::signal(int number) const {
    if (pid_ > 0) ::kill(pid_, number);
}

int Child::wait() {
    int status = 0;
    if (pid_ <= 0) return -1;
    while (::waitpid(pid_, &status, 0) < 0 && errno == EINTR) {
    }
    pid_ = -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
}

int Child::wait_and_tell(const std::string& name) {
    const int code = wait();
    if (code != 0) std::fprintf(stderr, "%s ended with %d:\n%s\n", name.c_str(), code, log_->last.c_str());
    return code;
}

std::optional<int> Child::ended() {
    int status = 0;
    if (pid_ <= 0 || ::waitpid(pid_, &status, WNOHANG) != pid_) return {};
    pid_ = -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
}

bool Child::catches(int number) const {
    std::ifstream file("/proc/" + std::to_string(pid_) + "/status");
    std::string word;
    std::uint64_t caught = 0;
    while (file >> word)
        if (word == "SigCgt:") file >> std::hex >> caught;
    return (caught >> (number - 1) & 1) != 0;
}

double Child::resident_mb() const {
    std::ifstream file("/proc/" + std::to_string(pid_) + "/statm");
    double all = 0, resident = 0;
    file >> all >> resident;
    return resident * static_cast<double>(::sysconf(_SC_PAGESIZE)) / (1 << 20);
}

double Child::cpu_seconds() const {
    std::ifstream file("/proc/" + std::to_string(pid_) + "/stat");
    std::string text((std::istreambuf_iterator<char>(file)), {});
    const auto name_end = text.rfind(')');
    if (name_end == std::string::npos) return 0;
    std::istringstream rest(text.substr(name_end + 2));
    std::string word;
    double user = 0, system = 0;
    for (int i = 3; i < 14 && rest >> word; ++i) {
    }
    rest >> user >> system;
    return (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

std::string beside(const std::string& name) {
    return (std::filesystem::read_symlink("/proc/self/exe").parent_path() / name).string();
}

}  // namespace cobaltshift::lab
