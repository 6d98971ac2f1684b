// A sidecar's share in probing: the Prober with its rights, its datagrams and its probes. What failed is told
// to the decision module as a rumour, which is how it takes other sidecars' word. Entry type: SharedProbing.
#pragma once

#include <memory>
#include <string>

#include "lease_io/rights.hpp"
#include "metrics/text.hpp"
#include "net/sidecar.hpp"
#include "probing/prober.hpp"
#include "probing_io/datagrams.hpp"
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
    void look();
    void ended(ServerId server, Outcome outcome);

    asio::io_context& io_;
    Sidecar& sidecar_;
    const ProbingSettings settings_;
    Prober prober_;
    lease::LeaseClient rights_;
    Upstream probes_;
    Datagrams datagrams_;
    asio::steady_timer timer_, look_;
    bool turning_ = false, again_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cobaltshift::probing
