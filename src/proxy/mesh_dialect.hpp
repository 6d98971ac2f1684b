// The mesh's words for what a Sidecar does on the caller's side of a hop: one for each service. What may be
// sent and said is hop::AttemptRules'; here it is read from messages and written into them. Entry type:
// MeshDialect. Called by Sidecar; made by Outbound.
#pragma once

#include <functional>

#include "hop/attempt_rules.hpp"
#include "net/clock.hpp"
#include "net/dialect.hpp"
#include "proxy/hop.hpp"

namespace cobaltshift::proxy {

class MeshDialect : public Dialect {
public:
    struct Around {
        const Clock& clock;
        std::function<std::size_t()> live_proxies;
        std::function<std::uint64_t()> edition;
        // Said by the admission of that life: it takes nothing for now, or is another's.
        std::function<void(const std::string& life)> avoid;
        // An answer came from there that says a newer edition is held.
        std::function<void(const std::string& life, std::uint64_t edition)> newer;
    };
    MeshDialect(Around around, admission::RetryBudget::Settings budget)
        : around_(std::move(around)), rules_(budget) {}

    UpstreamManner manner() override;
    RequestArrived classify(const HttpRequest& message, Story& story) override;
    bool may_send(HttpRequest& message, Story& story, const std::string& server) override;
    Reading read(Outcome outcome, const HttpResponse* response, Story& story) override;
    void tidy(HttpResponse& response) override;
    HttpResponse refusal(Story& story, Millis retry_in) override;
    HttpResponse failure(Story& story) override;

    const hop::AttemptRules::Counts& counts() const { return rules_.counts(); }

private:
    Around around_;
    hop::AttemptRules rules_;
};

}  // namespace cobaltshift::proxy
