// Scripted peers on loopback sockets, for tests that say every byte: servers, discovery and clients with
// blocking calls, each connection on a thread of its own. Every wait is for an event, with a bound that only
// a failure reaches. For whole fleets there are archive.hpp and fleet.hpp, on one thread.
#pragma once

#include <sys/socket.h>

#include <atomic>
#include <condition_variable>
#include <functional>
#include <future>
#include <list>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <stdexcept>
#include <thread>

#include "net/config.hpp"
#include "net/http.hpp"

namespace cobaltshift::lab {

using nlohmann::json;
constexpr std::chrono::seconds kPatience{30};

template <class T>
std::string text_of(const T& endpoint) {
    std::ostringstream text;
    text << endpoint;
    return text.str();
}

// A blocking connection, either side's.
class Wire {
public:
    explicit Wire(tcp::socket s) : socket(std::move(s)) {
        const timeval patience{kPatience.count(), 0};
        ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof patience);
    }
    bool read(HttpRequest& request) { return read_message(request); }
    bool read(HttpResponse& response) { return read_message(response); }
    void write(const std::string& text) {
        error_code ec;
        asio::write(socket, asio::buffer(text), ec);
    }
    void respond(int status, const std::string& body = "", const std::string& headers = "") {
        write("HTTP/1.1 " + std::to_string(status) + " Said\r\n" + headers +
              "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }
    // All that comes until the other side ends.
    std::string rest() {
        std::string all;
        char bytes[4096];
        for (ssize_t n; (n = ::recv(socket.native_handle(), bytes, sizeof bytes, 0)) > 0;)
            all.append(bytes, static_cast<std::size_t>(n));
        return all;
    }
    // Waits for the other side's end; true if not a byte came before it.
    bool ended() {
        char byte;
        const auto n = ::recv(socket.native_handle(), &byte, 1, 0);
        return n == 0 || (n < 0 && errno != EAGAIN);
    }
    void reset() {
        error_code ec;
        socket.set_option(asio::socket_base::linger(true, 0), ec);
        socket.close(ec);
    }
    tcp::socket socket;

private:
    template <class Message>
    bool read_message(Message& message) {
        message = {};
        error_code ec;
        while (in_.size() == 0) {
            char bytes[4096];
            const auto n = ::recv(socket.native_handle(), bytes, sizeof bytes, 0);
            if (n <= 0) return false;
            in_.commit(asio::buffer_copy(in_.prepare(n), asio::buffer(bytes, n)));
        }
        http::read(socket, in_, message, ec);
        return !ec;
    }
    beast::flat_buffer in_;
};

// Accepts on an ephemeral port and runs the script on each connection.
class Acceptor {
public:
    using Script = std::function<void(Wire&)>;
    explicit Acceptor(Script script, int receive_buffer = 0) : script_(std::move(script)), acceptor_(io_) {
        acceptor_.open(tcp::v4());
        if (receive_buffer > 0) acceptor_.set_option(asio::socket_base::receive_buffer_size(receive_buffer));
        acceptor_.bind({asio::ip::make_address("127.0.0.1"), 0});
        acceptor_.listen();
        at = acceptor_.local_endpoint();
        thread_ = std::thread([this] { run(); });
    }
    ~Acceptor() { stop(); }
    void stop() {
        if (!thread_.joinable()) return;
        {
            std::lock_guard lock(mutex_);
            stopped_ = true;
            for (Wire* wire : wires_) ::shutdown(wire->socket.native_handle(), SHUT_RDWR);
        }
        ::shutdown(acceptor_.native_handle(), SHUT_RDWR);
        thread_.join();
        for (auto& t : threads_) t.join();
        acceptor_.close();
    }
    std::atomic<int> connections{0};
    tcp::endpoint at;

private:
    void run() {
        for (;;) {
            error_code ec;
            tcp::socket socket(io_);
            acceptor_.accept(socket, ec);
            std::lock_guard lock(mutex_);
            if (stopped_) return;
            if (ec) continue;
            ++connections;
            threads_.emplace_back([this, wire = std::make_shared<Wire>(std::move(socket))] {
                {
                    std::lock_guard guard(mutex_);
                    if (stopped_) return;
                    wires_.insert(wire.get());
                }
                script_(*wire);
                std::lock_guard guard(mutex_);
                wires_.erase(wire.get());
                error_code ignored;
                wire->socket.close(ignored);
            });
        }
    }
    Script script_;
    asio::io_context io_;
    tcp::acceptor acceptor_;
    std::thread thread_;
    std::list<std::thread> threads_;
    std::mutex mutex_;
    std::set<Wire*> wires_;
    bool stopped_ = false;
};

// A server whose requests are counted and kept; `reply` gets the number of the request, from 0.
class FakeServer {
public:
    using Reply = std::function<bool(Wire&, const HttpRequest&, int)>;  // false: the connection ends
    explicit FakeServer(Reply reply = [](Wire& w, const HttpRequest&,
                                         int) { return w.respond(200, "fine"), true; })
        : reply_(std::move(reply)), acceptor_([this](Wire& wire) {
              for (HttpRequest request; wire.read(request);) {
                  int number = 0;
                  {
                      std::lock_guard lock(mutex_);
                      number = static_cast<int>(seen_.size());
                      seen_.push_back(request);
                  }
                  changed_.notify_all();
                  if (!reply_(wire, request, number)) return;
              }
          }) {}
    std::vector<HttpRequest> seen() {
        std::lock_guard lock(mutex_);
        return seen_;
    }
    bool wait_for(std::size_t requests) {
        std::unique_lock lock(mutex_);
        return changed_.wait_for(lock, kPatience, [&] { return seen_.size() >= requests; });
    }
    int connections() const { return acceptor_.connections; }
    std::string at() const { return text_of(acceptor_.at); }
    void stop() { acceptor_.stop(); }

private:
    Reply reply_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<HttpRequest> seen_;
    Acceptor acceptor_;
};

inline json host(const std::string& name, const std::string& dial, const char* health = "SERVING") {
    return {{"host", name}, {"dial", dial}, {"site", "a"}, {"block", 0}, {"health", health}, {"born_ms", 0}};
}

// Answers a watch with whatever comes next, and is silent until then.
class FakeDiscovery {
public:
    FakeDiscovery()
        : acceptor_([this](Wire& wire) {
              for (HttpRequest request; wire.read(request);) {
                  std::unique_lock lock(mutex_);
                  asked_.push_back(std::string(request.target()));
                  changed_.notify_all();
                  while (!stopped_ && next_ == answers_.size())
                      changed_.wait_for(lock, std::chrono::seconds(1));
                  if (stopped_) return;
                  const std::string answer = answers_[next_++];
                  lock.unlock();
                  if (answer.empty()) return;  // down
                  wire.respond(200, answer);
              }
          }) {}
    ~FakeDiscovery() {
        {
            std::lock_guard lock(mutex_);
            stopped_ = true;
        }
        changed_.notify_all();
    }
    void say(const std::string& answer) {
        std::lock_guard lock(mutex_);
        answers_.push_back(answer);
        changed_.notify_all();
    }
    void say(int seq, bool whole, std::vector<json> hosts) {
        say(json{{"seq", seq}, {"whole", whole}, {"hosts", hosts}}.dump());
    }
    std::vector<std::string> wait_for(std::size_t calls) {
        std::unique_lock lock(mutex_);
        if (!changed_.wait_for(lock, kPatience, [&] { return asked_.size() >= calls; }))
            throw std::runtime_error("discovery was not asked in time");
        return asked_;
    }
    std::string at() const { return text_of(acceptor_.at); }

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<std::string> answers_, asked_;
    std::size_t next_ = 0;
    bool stopped_ = false;
    Acceptor acceptor_;
};

inline json a_config(const std::string& discovery, const std::vector<json>& hosts) {
    const auto kind = [](const char* name, const char* effect) {
        return json{{"name", name},        {"effect", effect},         {"on-time-ms", 20000},
                    {"give-up-ms", 30000}, {"dedup-window-ms", 30000}, {"dedup-scope", "all"}};
    };
    return {
        {"name", "n0"},
        {"listen", "127.0.0.1:0"},
        {"discovery", discovery},
        {"seed", "1f"},
        {"known", {{"seq", 5}, {"whole", true}, {"hosts", hosts}}},
        {"settings",
         {{"classes", {kind("listen", "repeatable"), kind("deposit", "once"), kind("annotate", "by_key")}},
          {"limits", {{"max-attempts", 3}, {"may-cancel", true}, {"connect-timeout-ms", 20000}}}}}};
}

}  // namespace cobaltshift::lab
