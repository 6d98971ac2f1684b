// Shared by the socket tests: a sidecar on its own thread and a client application.
#pragma once

#include <gtest/gtest.h>

#include "lab/scripted.hpp"
#include "log/log.hpp"
#include "net/node.hpp"

namespace cobaltshift {

using namespace lab;

const std::string kNowhere = "127.0.0.1:1";  // refuses connections

// A sidecar on its own thread. All methods may be called from the test's thread.
class SidecarThread {
public:
    explicit SidecarThread(const json& config) : node_(io_, read_config(config)), at(node_.endpoint()) {
        thread_ = std::thread([this] { io_.run(); });
    }
    ~SidecarThread() {
        io_.stop();
        thread_.join();
    }
    void reload() {
        asio::post(io_, [this] {
            try {
                node_.reload({});
            } catch (const ConfigError& error) {
                log_line("handler.failed", error.what());  // as the program does
            }
        });
    }
    Sidecar::ObjectCounts object_counts() {
        std::promise<Sidecar::ObjectCounts> promise;
        asio::post(io_, [&] { promise.set_value(node_.object_counts()); });
        return promise.get_future().get();
    }
    void stop(std::function<void()> done) {
        asio::post(io_, [this, done] { node_.stop(done); });
    }

private:
    asio::io_context io_{1};
    Node node_;
    std::thread thread_;

public:
    tcp::endpoint at;
};

// A client application with one connection to the sidecar.
class App {
public:
    explicit App(const tcp::endpoint& at) : wire(connected(at)) {}
    static std::string request(const std::string& request_class, const std::string& time_left = "25000m",
                               const std::string& body = "", const std::string& more = "") {
        static std::atomic<int> last{0};
        return (request_class == "listen" ? "GET /" : "POST /") + request_class +
               "?sid=7f HTTP/1.1\r\nHost: api\r\n" + "X-Correlation-Id: 9b1f" + std::to_string(++last) +
               "\r\nX-Service-Class: " + request_class + "\r\nX-Time-Left: " + time_left + "\r\n" +
               (request_class == "annotate" ? "Idempotency-Key: 5c0f\r\n" : "") + more +
               (request_class == "listen" ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n") +
               "\r\n" + body;
    }
    HttpResponse ask(const std::string& text) {
        wire.write(text);
        return answer();
    }
    HttpResponse answer() {
        HttpResponse response;
        if (!wire.read(response)) response.result(0u);
        return response;
    }
    Wire wire;

private:
    tcp::socket connected(const tcp::endpoint& at) {
        tcp::socket socket(io_);
        socket.connect(at);
        return socket;
    }
    static inline asio::io_context io_;
};

}  // namespace cobaltshift
