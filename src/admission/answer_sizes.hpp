// Predicts the size of an answer from earlier answers to requests of the same kind (exponential moving
// average). Entry type: AnswerSizes. Called by InboundRequests, which reserves time on the machine's link by
// it. Does no I/O; not thread-safe.
#pragma once

#include <cstddef>
#include <map>

namespace cobaltshift::admission {

class AnswerSizes {
public:
    // Properties of a request's route by which answer sizes are predicted. At most 64 kinds are tracked.
    struct Kind {
        int route_kind = 0, rank = 0;
        long target_ms = 0;
        auto operator<=>(const Kind&) const = default;
    };

    void record(const Kind& kind, std::size_t bytes) {
        const auto at = mean_bytes_.find(kind);
        if (at != mean_bytes_.end())
            at->second += (static_cast<double>(bytes) - at->second) * kSmoothing;
        else if (mean_bytes_.size() < kMaxKinds)
            mean_bytes_[kind] = static_cast<double>(bytes);
    }
    // The predicted size in bytes; 0 if no request of this kind has been answered yet.
    double expected(const Kind& kind) const {
        const auto at = mean_bytes_.find(kind);
        return at == mean_bytes_.end() ? 0 : at->second;
    }

private:
    static constexpr double kSmoothing = 0.1;
    static constexpr std::size_t kMaxKinds = 64;
    std::map<Kind, double> mean_bytes_;
};

}  // namespace cobaltshift::admission
