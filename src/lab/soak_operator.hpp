// The operator of a soak: changes the configuration again and again, each change until it is acknowledged,
// and reads it back at the end. Entry type: SoakOperator.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "lab/soak_io.hpp"
#include "lab/soak_ledger.hpp"
#include "random.hpp"

namespace cobaltshift::lab {

// Of the configurations that the operator brings.
struct SoakConfigurationLimits {
    std::size_t max_body_bytes = 4 << 20;
    unsigned min_deadline_s = 5;  // of a route
};

class SoakOperator {
public:
    // `controls`: the control nodes' control addresses.
    SoakOperator(asio::io_context& io, SoakLedger& ledger, kelplb::Random& random,
                 std::vector<tcp::endpoint> controls, SoakConfigurationLimits limits = {})
        : io_(io), ledger_(ledger), random_(random), controls_(std::move(controls)), limits_(limits) {}

    awaitable<void> change_once();
    awaitable<void> change_until(std::shared_ptr<const bool> stopped);
    // Every control node must name the newest acknowledged version.
    awaitable<void> read_back();

    std::uint64_t acknowledged() const { return acknowledged_; }

private:
    const tcp::endpoint& drawn_control() { return controls_[random_.below(controls_.size())]; }
    std::string configuration(std::uint64_t version);
    awaitable<std::string> read_from(tcp::endpoint control);

    asio::io_context& io_;
    SoakLedger& ledger_;
    kelplb::Random& random_;
    const std::vector<tcp::endpoint> controls_;
    const SoakConfigurationLimits limits_;
    std::uint64_t version_ = 0, acknowledged_ = 0;
    bool changing_ = false;  // in change_until(), a change has been sent and is not acknowledged yet
};

}  // namespace cobaltshift::lab
