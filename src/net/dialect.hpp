// One protocol's words for what a Sidecar does: how a request is classed, how an answer reads, how a refusal
// is said. Nothing is picked here; what a protocol forbids (a further try over its budget) it may veto. Entry
// type: Dialect. Called by Sidecar; implemented by PlatformDialect and by the mesh's (src/proxy).
#pragma once

#include <any>
#include <optional>
#include <string>

#include "caller/caller.hpp"
#include "net/config.hpp"
#include "net/upstream.hpp"

namespace cobaltshift {

// What has become of a request so far.
struct Story {
    std::any mark;  // the dialect's own
    std::optional<HttpResponse>
        last;  // the newest answer that was not passed on, where the dialect wants it kept
};

using caller::Reading;

class Dialect {
public:
    virtual ~Dialect() = default;
    virtual UpstreamManner manner() = 0;
    // Fills all but the id and the time left.
    virtual RequestArrived classify(const HttpRequest& message, Story& story) = 0;
    // Just before an attempt goes out, which may add to the message; false: it must not.
    virtual bool may_send(HttpRequest& message, Story& story, const std::string& server) = 0;
    virtual Reading read(Outcome outcome, const HttpResponse* response, Story& story) = 0;
    virtual void tidy(HttpResponse& response) = 0;  // what of it is for us alone
    // Final answers of our own; `retry_in` in ms, 0: no advice.
    virtual HttpResponse refusal(Story& story, Millis retry_in) = 0;
    virtual HttpResponse failure(Story& story) = 0;
};

class PlatformDialect : public Dialect {
public:
    explicit PlatformDialect(const Config& config) : config_(config) {}
    UpstreamManner manner() override { return UpstreamManner::platform(); }
    RequestArrived classify(const HttpRequest& message, Story& story) override;
    bool may_send(HttpRequest&, Story&, const std::string&) override { return true; }
    Reading read(Outcome outcome, const HttpResponse* response, Story& story) override;
    void tidy(HttpResponse& response) override;
    HttpResponse refusal(Story& story, Millis retry_in) override;
    HttpResponse failure(Story& story) override;

private:
    const Config& config_;
};

// Seconds with three places, as Retry-After is written.
std::string seconds_text(Millis time);

}  // namespace cobaltshift
