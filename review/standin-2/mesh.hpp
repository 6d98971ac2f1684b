// Parts of the review's cases: the project's programs as processes, and stand-ins of the application servers,
// the clients and the operator. Plain sockets and threads; every address is on loopback.
#pragma once

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace review {

double now_s();  // on the steady clock, since the start of this process
void sleep_s(double seconds);
std::string hex_id(std::uint64_t number);
bool trouble();  // false with TROUBLE=0

// record.txt of the case; thread-safe.
class Record {
public:
    explicit Record(const std::string& path);
    ~Record();
    void line(const std::string& text);

private:
    std::mutex mutex_;
    std::FILE* file_;
};

// ---- Sockets
// -----------------------------------------------------------------------------------------------

class Socket {
public:
    Socket() = default;
    explicit Socket(int fd) : fd_(fd) {}
    Socket(Socket&& other) noexcept : fd_(other.release()) {}
    Socket& operator=(Socket&& other) noexcept;
    ~Socket() { close(); }
    static Socket connect(const std::string& ip, int port, double timeout_s);
    static Socket listen(const std::string& ip, int port);  // throws
    bool ok() const { return fd_ >= 0; }
    int fd() const { return fd_; }
    int release();
    void close();
    bool write_all(const std::string& bytes, double until);
    // Bytes read, 0 at the end, -1 on an error, -2 if `until` has passed.
    long read_some(char* to, std::size_t most, double until);

private:
    int fd_ = -1;
};

struct Message {
    std::string start;                           // the first line
    std::map<std::string, std::string> headers;  // names in lower case
    std::string body;
    std::string header(const std::string& name) const;
    int status() const;  // of an answer; 0 if the first line is none of an answer
};
enum class Got { whole, end, cut, broken, late };
// Reads one message. `rest` holds bytes that were read before, and afterwards those behind the message.
// cut: the end came within a message; broken: the bytes are no message (they are left in `rest`).
Got read_message(Socket& socket, std::string& rest, Message& message, double until,
                 const std::function<bool(std::size_t body_bytes)>& go_on = nullptr);

// ---- A small deployment
// ------------------------------------------------------------------------------------

struct Node {
    std::string name, ip, program, settings, conf;
    pid_t pid = -1;
    int starts = 0;
    std::optional<int> ended;  // wait status, once it has ended by itself or was killed
    bool stopped_by_case = false;
};

struct Limits {
    double link_mbps = 1000;
    int memory_mb = 260, file_limit = 4100;
};

class Mesh {
public:
    static constexpr int kControl = 8620, kInbound = 8624, kReady = 8625, kApp = 8628, kOutbound = 8629;
    // `services`: of each proxy's server, one proxy each.
    Mesh(Record& record, int hubs, const std::vector<std::string>& services, Limits limits = {});
    ~Mesh();  // kills what still runs and removes the folder
    Node& hub(std::size_t i) { return *hubs_.at(i); }
    Node& proxy(std::size_t i) { return *proxies_.at(i); }
    std::size_t hubs() const { return hubs_.size(); }
    std::size_t proxies() const { return proxies_.size(); }
    std::string hub_ip(std::size_t i) const { return hubs_.at(i)->ip; }
    std::string proxy_ip(std::size_t i) const { return proxies_.at(i)->ip; }

    void start(Node& node, bool first_boot);
    void start_all();
    void signal(Node& node, int what);
    void pause(Node& node, bool on) const;  // SIGSTOP or SIGCONT, without a line in the record
    void kill(Node& node);                  // SIGKILL, and waits for its end
    bool running(Node& node);               // notes in `ended` if it has ended
    std::string ends_by_itself();  // names and statuses of processes that ended without the case's doing
    bool wait_ready(double within_s, std::size_t from = 0);
    bool ready(std::size_t proxy);
    const std::string& folder() const { return folder_; }
    std::string log_tail(const Node& node, std::size_t bytes) const;

private:
    std::string settings_text(const Node& node, bool first_boot) const;
    Record& record_;
    std::string folder_, root_, network_;
    std::vector<std::unique_ptr<Node>> hubs_, proxies_;
};

// Puts or patches the configuration as the users' operator does: follows 307, goes on to another hub.
struct OrderResult {
    int status = 0;  // of the last clear answer; 0: none
    std::string body;
};
OrderResult order(Mesh& mesh, const std::string& method, const std::string& if_match, const std::string& body,
                  double within_s, std::size_t first_hub = 0);

// ---- Servers
// -----------------------------------------------------------------------------------------------

struct Run {
    double at = 0;
    std::string id, instance, caller, target, method, body;
};

class Server {
public:
    struct Answer {
        std::string head_lines;  // beside those of a usual answer
        std::string body;
        double after_s = 0;
        std::function<bool(Socket&)>
            instead;  // takes the answer over; returns whether the connection is kept
    };
    using Handler = std::function<Answer(const Message& request, const std::string& id)>;
    Server(Mesh& mesh, std::size_t proxy, std::string service, int capacity, Handler handler);
    ~Server();
    void start(const std::string& instance);
    void stop();  // closes its sockets without a word
    // One beat; returns the status, 0 without an answer within a second.
    int beat(const std::string& state) { return beat(state, ++call_seq_); }
    int beat(const std::string& state, std::uint64_t call_seq) { return beat_of(instance_, state, call_seq); }
    int beat_of(const std::string& instance, const std::string& state, std::uint64_t call_seq);
    std::uint64_t next_call() { return ++call_seq_; }
    int deregister();
    void beats(bool on) { beats_ = on; }
    void closing(bool on) { closing_ = on; }
    void healthy(bool on) { healthy_ = on; }
    std::vector<Run> runs() const;
    const std::string& instance() const { return instance_; }

private:
    void accept_loop();
    void serve(int fd);
    void beat_loop();
    Mesh& mesh_;
    const std::size_t proxy_;
    const std::string service_, ip_;
    const int capacity_;
    Handler handler_;
    std::string instance_;
    std::atomic<std::uint64_t> call_seq_{0};
    std::atomic<bool> on_{false}, beats_{true}, closing_{false}, healthy_{true};
    std::atomic<int> working_{0};
    Socket listener_;
    std::thread accepts_, beating_;
    mutable std::mutex mutex_;
    std::vector<std::thread> threads_;
    std::vector<int> open_;
    std::vector<Run> runs_;
    double started_at_ = 0;
};

std::string configuration(int edition, const std::string& routes, const std::vector<std::string>& services);
std::string route(const std::string& name, const std::string& host, const std::string& prefix,
                  const std::string& kind, const std::string& service, double deadline_s, double target_s,
                  int tries);

}  // namespace review
