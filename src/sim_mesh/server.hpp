// An application server: works on `capacity` requests, queues a few, is slow at first, says what it is by
// beats, leaves in order or crashes, and in trouble loses its answers. Entry type: Server, one life. Called
// by World (its trouble) and by the Proxy beside it (requests).
#pragma once

#include <deque>

#include "sim_mesh/rules.hpp"

namespace cobaltshift::simmesh {

class World;

struct ServerAnswer {
    enum class Kind : std::uint8_t {
        whole,
        turned_away,
        wrong_life,
        failed,
        broken,
        refused,
        none
    } kind = Kind::none;
    std::string id;  // that it bears
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
        half,
        extra
    };  // half: breaks off; extra: late copy

    Server(World& world, Ip ip, std::string service, std::string life, const Settings& settings, bool warm);
    ~Server() { *alive_ = false; }

    // `answer` comes once or (an answer lost by silence) never; a copy that comes late goes to `extra`. The
    // number withdraws it.
    using Answered = std::function<void(const ServerAnswer&)>;
    std::uint64_t take(const Run& run, const std::string& expected, Answered answer, Answered extra);
    void dropped(std::uint64_t number);  // its connection has closed

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
        Answered answer, extra;
        bool at_work = false;
    };
    void beat();
    void look();
    void begin(std::uint64_t number);
    void finish(std::uint64_t number);
    void answered(Answered& to, ServerAnswer answer, Millis after = 0.3);
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
    std::deque<std::uint64_t> queue_;
    std::size_t working_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cobaltshift::simmesh
