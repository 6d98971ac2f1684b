// An application server: works on `capacity` requests, queues a few, is slow at first, says what it is by
// beats, leaves in order or crashes, and in trouble loses its answers. Entry type: Server, one life. Called
// by World (its trouble) and by the Proxy beside it (requests).
#pragma once

#include <deque>

#include "sim_mesh/rules.hpp"

namespace cobaltshift::simmesh {

class World;

// What comes on a connection from a server.
struct ServerAnswer {
    enum class Kind : std::uint8_t {
        whole,        // a success, stamped
        failed,       // 500, stamped
        turned_away,  // 503 with Not-Run
        wrong_life,   // 421
        broken,       // a reset, an end, or bytes that are no answer
    } kind = Kind::broken;
    std::string id;     // that it bears
    bool last = false;  // Connection: close
    bool answers() const { return kind != Kind::broken; }
};

class Server {
public:
    struct Settings {
        std::uint32_t capacity = 8;
        Millis work = 40, cold = 3000;
        double cold_factor = 3;
    };
    enum class Loses : std::uint8_t {
        nothing,
        by_reset,
        by_silence,
        half,    // breaks off
        extra,   // a second answer 30 ms later
        twice,   // a second answer at once, behind the first
        idle,    // forgets connections that rest: the next request on one is reset, run or not
        fails,   // 500
        refuses  // turns requests away; half of these refusals come a second time 30 ms later
    };

    Server(World& world, Ip ip, std::string service, std::string life, const Settings& settings, bool warm);
    ~Server();
    Server(const Server&) = delete;

    // ---- Connections; `deliver` gets what comes on one, at the moment when it reaches the other kernel.
    using Deliver = std::function<void(const ServerAnswer&)>;
    using ConnectionNumber = std::uint64_t;
    ConnectionNumber connect(Deliver deliver);
    void disconnect(ConnectionNumber connection);  // by the other end
    void disconnect_all();                         // the process at the other end has ended
    void request(ConnectionNumber connection, const Run& run, const std::string& expected);

    void close();  // a planned end
    void crash();  // says nothing
    bool closing() const { return closing_; }
    void lose(Loses how, double share) { loses_ = how, lost_share_ = share; }

    const std::string& service() const { return service_; }
    const std::string& life() const { return life_; }
    const Settings& settings() const { return settings_; }
    double warmup_left_s() const;
    Task on_end;  // a planned end is over

private:
    struct Job {
        Run run;
        ConnectionNumber connection = 0;
        bool at_work = false;
    };
    struct Connection {
        Deliver deliver;
        Millis rests_since = 0;
    };
    void beat();
    void look();
    void begin(std::uint64_t number);
    void finish(std::uint64_t number);
    void deliver(ConnectionNumber connection, ServerAnswer answer, Millis after = 0.3);
    void turn_away(ConnectionNumber connection, ServerAnswer::Kind kind);
    void reset(ConnectionNumber connection);
    void hang_up();
    void after(Millis delay, Task what);
    void end();

    World& world_;
    const Ip ip_;
    const std::string service_, life_;
    const Settings settings_;
    const Millis started_;
    std::uint64_t seq_ = 0, next_ = 1;
    bool closing_ = false, told_ = false;
    Loses loses_ = Loses::nothing;
    double lost_share_ = 0;
    std::map<std::uint64_t, Job> jobs_;
    std::map<ConnectionNumber, Connection> connections_;
    std::deque<std::uint64_t> queue_;
    std::size_t working_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cobaltshift::simmesh
