// A sidecar's share in probing: the Prober with its rights, its datagrams and its probes. What failed is told
// to the decision module as a rumour, which is how it takes other sidecars' word. Entry type: SharedProbing.
//
// Each datagram is one message of the Prober, with a code over it (64 hex digits at its end) where keepers
// have a secret. Whoever sends is known by the message, not by the address.
#pragma once

#include <array>
#include <memory>
#include <string>

#include "lease_io/rights.hpp"
#include "metrics/text.hpp"
#include "net/sidecar.hpp"
#include "probing/prober.hpp"
#include "probing_io/settings.hpp"

namespace cobaltshift::probing {

class SharedProbing {
public:
    // Throws plan::SecretError, or boost::system::system_error if it can't listen. Must go before the
    // sidecar.
    SharedProbing(asio::io_context& io, const Clock& clock, Sidecar& sidecar, const Config& config,
                  const lease::KeepersSettings& keepers, const ProbingSettings& settings);
    ~SharedProbing();

    // Gives its rights back; at the planned stop.
    void stop();
    std::string tally() const;  // a line for the log
    void metrics(MetricsText& text) const;

private:
    void turn();
    void carry_out();
    void listen();
    void look();
    void ended(ServerId server, Outcome outcome);

    asio::io_context& io_;
    Sidecar& sidecar_;
    const ProbingSettings settings_;
    const lease::Secret secret_;
    Prober prober_;
    lease::Rights rights_;
    Upstream probes_;
    asio::ip::udp::socket socket_;
    asio::ip::udp::endpoint from_;
    std::array<char, 2048> bytes_{};
    asio::steady_timer timer_, look_;
    bool turning_ = false, again_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cobaltshift::probing
