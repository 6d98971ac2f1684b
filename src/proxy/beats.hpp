// The resource that servers call: PUT and DELETE /api/servers/ID at the `control` address of their machine.
// Entry type: Beats. A beat is acknowledged once the admission has it: from then on it holds, whatever the
// news does.
#pragma once

#include <functional>
#include <optional>

#include "api/api.hpp"
#include "registry/records.hpp"

namespace cobaltshift::proxy {

struct Beat {
    std::string life, service, address, zone, edition;
    std::uint32_t capacity = 1;
    bool closing = false;
    double warmup_left_s = 0;
    std::uint64_t call_seq = 0;
};
// None: `why` says what is wrong with it.
std::optional<Beat> read_beat(const std::string& life, const std::string& json, std::string& why);

class Beats : public Resource {
public:
    struct Handlers {
        std::function<void(const Beat&)> beat;
        std::function<void(const std::string& life)> gone;
    };
    explicit Beats(Handlers handlers) : handlers_(std::move(handlers)) {}
    bool handle(const ApiRequest& request, std::function<void(ApiAnswer)> done) override;

private:
    Handlers handlers_;
};

// GET /api/ready.
class Ready : public Resource {
public:
    explicit Ready(std::function<bool()> ready) : ready_(std::move(ready)) {}
    bool handle(const ApiRequest& request, std::function<void(ApiAnswer)> done) override;

private:
    std::function<bool()> ready_;
};

}  // namespace cobaltshift::proxy
