// Discovery: tells every forwarder and planner of servers, each after a moment of its own.
#pragma once

#include <map>

#include "sim/facts.hpp"
#include "sim/scene.hpp"

namespace cobaltshift::sim {

class Discovery : public Part {
public:
    explicit Discovery(Scene& scene);
    void start() override;
    void say(const kelplb::ServerInfo& info);
    std::vector<kelplb::ServerInfo> list() const;  // but for those off

    // Whoever wants to hear of changes. `lag`: asked at each change, ms more.
    using Hear = std::function<void(const kelplb::ServerInfo&)>;
    void subscribe(Hear hear, std::function<Millis()> lag = nullptr);

private:
    struct Reader {
        Hear hear;
        std::function<Millis()> lag;
    };
    Scene& scene_;
    Stream lots_;
    std::map<kelplb::ServerId, kelplb::ServerInfo> list_;
    std::vector<Reader> readers_;
};

}  // namespace cobaltshift::sim
