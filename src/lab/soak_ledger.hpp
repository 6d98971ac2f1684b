// What a soak's clients and servers saw of each request, and what of it breaks a promise. Entry type:
// SoakLedger. Called by the soak's clients and stand-in servers; free of I/O.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace cobaltshift::lab {

// How a client's request ended.
enum class SoakEnd {
    served,            // a server's answer, whole
    refused,           // 503 and the like: it promises that the request has not run
    failed,            // any other whole answer
    closed_before,     // the connection ended before the request's last byte was with the system
    closed_unanswered  // it ended after it, with no whole answer
};

struct SoakRequest {
    std::string id;
    bool registered = false;
    bool behind_close = false;  // written behind another one whose answer closed the connection
};

class SoakLedger {
public:
    // A server has begun work on the request. `where`: the server and its connection.
    void ran(const std::string& id, const std::string& where);
    // `after_ms`: from the request's last byte to the end. `by`: the proxy's address and its status.
    void ended(const SoakRequest& request, SoakEnd end, double after_ms, const std::string& by);
    // No answer long after its deadline.
    void held(const SoakRequest& request, const std::string& proxy, double after_ms,
              const std::string& write_fault);
    void accuse(const std::string& rule, const std::string& what);

    // LOST and TWICE are known only once all servers have said what they ran. `crossed_within_ms` of its last
    // byte a request that never ran may have crossed the close of its connection, unread.
    void close(bool planned_work_alone, double crossed_within_ms);

    const std::map<std::string, std::uint64_t>& ends() const { return ends_; }
    const std::map<std::string, std::uint64_t>& broken() const { return broken_; }
    const std::vector<std::string>& findings() const { return findings_; }
    std::uint64_t requests() const { return requests_; }
    std::uint64_t crossed() const { return crossed_; }

private:
    using Steady = std::chrono::steady_clock;
    struct Unanswered {
        SoakRequest request;
        double after_ms;
    };
    struct Refused {
        std::string id, by;
        double at_ms;  // since the soak's start
    };
    struct Runs {
        unsigned count = 0;
        std::string places;  // of all of them, with their times
    };
    double now_ms() const {
        return std::chrono::duration<double, std::milli>(Steady::now() - start_).count();
    }
    std::string places_of(const std::string& id) const;

    const Steady::time_point start_ = Steady::now();
    std::unordered_map<std::string, Runs> runs_;
    std::vector<Unanswered> unanswered_;
    std::vector<Refused> refused_;
    std::vector<SoakRequest> registered_;
    std::map<std::string, std::uint64_t> ends_, broken_;
    std::vector<std::string> findings_;
    std::uint64_t requests_ = 0, crossed_ = 0;
};

}  // namespace cobaltshift::lab
