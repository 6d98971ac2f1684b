// The mesh's words for what a Sidecar does on the caller's side of a hop: one for each service. The module
// picks; here a further try is vetoed where the route, the shared budget or a possible run forbids it. Entry
// type: MeshDialect. Called by Sidecar; made by Outbound.
#pragma once

#include <functional>

#include "admission/retry_budget.hpp"
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
        : around_(std::move(around)), retry_budget_(budget) {}

    UpstreamManner manner() override;
    RequestArrived classify(const HttpRequest& message, Story& story) override;
    bool may_send(HttpRequest& message, Story& story, const std::string& server) override;
    Reading read(Outcome outcome, const HttpResponse* response, Story& story) override;
    void tidy(HttpResponse& response) override;
    HttpResponse refusal(Story& story, Millis retry_in) override;
    HttpResponse failure(Story& story) override;

    struct Counts {
        std::uint64_t requests = 0, tries = 0, bounced = 0, vetoed = 0, broken = 0, refused = 0, failed = 0;
    };
    const Counts& counts() const { return counts_; }

private:
    struct Mark {  // of one request
        Hop hop;
        unsigned sent = 0;   // attempts, bounced ones too
        std::string server;  // the newest's
        Reason reason = Reason::no_server;
    };
    Around around_;
    admission::RetryBudget retry_budget_;
    Counts counts_;
};

}  // namespace cobaltshift::proxy
