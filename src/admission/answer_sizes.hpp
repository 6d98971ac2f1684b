// How long the answers of each kind of request are, as its former ones were (exponential mean). Entry type:
// AnswerSizes. Called by proxy::Inbound, which promises the machine's link by it; free of I/O.
#pragma once

#include <cstddef>
#include <map>

namespace cobaltshift::admission {

class AnswerSizes {
public:
    // What is known of a request's route beside its server.
    struct Kind {
        int route_kind = 0, rank = 0;
        long target_ms = 0;
        auto operator<=>(const Kind&) const = default;
    };

    void learn(const Kind& kind, std::size_t bytes) {
        const auto at = mean_bytes_.find(kind);
        if (at != mean_bytes_.end())
            at->second += (static_cast<double>(bytes) - at->second) * kSmoothing;
        else if (mean_bytes_.size() < kMostKinds)
            mean_bytes_[kind] = static_cast<double>(bytes);
    }
    // In bytes; 0: none of this kind has been answered yet.
    double expected(const Kind& kind) const {
        const auto at = mean_bytes_.find(kind);
        return at == mean_bytes_.end() ? 0 : at->second;
    }

private:
    static constexpr double kSmoothing = 0.1;
    static constexpr std::size_t kMostKinds = 64;
    std::map<Kind, double> mean_bytes_;
};

}  // namespace cobaltshift::admission
