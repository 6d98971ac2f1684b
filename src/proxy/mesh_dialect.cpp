#include "proxy/mesh_dialect.hpp"

#include <algorithm>

#include "admission/module_settings.hpp"

namespace cobaltshift::proxy {

namespace {
constexpr std::uint64_t kMostAnswer = 64 << 20;
// Of one request: the first offers are for a free slot only, the later ones may wait at the admission.
constexpr unsigned kWaitFrom = 2;
constexpr Millis kLeastRetry = 60, kMostRetry = 1000;
}  // namespace

UpstreamManner MeshDialect::manner() {
    UpstreamManner m;
    m.stamp = [](HttpRequest& message, Millis left) {
        message.set(kDeadline, std::to_string(static_cast<long long>(left)));
    };
    m.judge = [](const HttpResponse& response) {
        return response.result_int() / 100 == 2 ? Outcome::completed : Outcome::errored;
    };
    m.body_bytes = kMostAnswer;
    return m;
}

RequestArrived MeshDialect::classify(const HttpRequest& message, Story& story) {
    Mark mark;
    mark.hop = read_hop(message[kHop]).value_or(Hop());
    RequestArrived event;
    event.class_index = admission::class_of(mark.hop.once(), mark.hop.rank, mark.hop.target_ms);
    story.class_index = event.class_index;
    story.mark = std::move(mark);
    retry_budget_.request(around_.clock.now());
    ++counts_.requests;
    return event;
}

bool MeshDialect::may_send(HttpRequest& message, Story& story, const std::string& server) {
    auto& mark = std::any_cast<Mark&>(story.mark);
    if (story.offered > 0) {
        const bool again = !(mark.hop.once() && story.may_have_run) && story.offered < mark.hop.tries &&
                           retry_budget_.spend(around_.clock.now(), around_.live_proxies());
        if (!again) {
            ++counts_.vetoed;
            return false;
        }
    }
    mark.server = server;
    mark.hop.may_wait = mark.sent++ >= kWaitFrom;
    mark.hop.edition = around_.edition();
    message.set(kHop, to_text(mark.hop));
    message.set(kInstance, server);
    ++counts_.tries;
    return true;
}

Reading MeshDialect::read(Outcome outcome, const HttpResponse* response, Story& story) {
    auto& mark = std::any_cast<Mark&>(story.mark);
    const auto ran = [&](Outcome as, bool final) {
        ++story.offered;
        story.may_have_run = true;
        return Reading{as, final};
    };
    if (!response) {
        mark.reason = outcome == Outcome::overdue ? Reason::silent : Reason::unreachable;
        if (outcome == Outcome::refused_connection || outcome == Outcome::superseded)
            return {outcome, false, false};
        ++counts_.broken;
        return ran(outcome, false);
    }
    if (const auto edition = (*response)[kEdition]; !edition.empty())
        around_.newer(mark.server, static_cast<std::uint64_t>(read_ms(edition).value_or(0)));
    if (const auto failure = read_failure(*response)) {
        mark.reason = failure->reason;
        if (failure->execution != Execution::not_run || failure->reason == Reason::repeated) {
            ++counts_.broken;
            return ran(failure->reason == Reason::silent ? Outcome::overdue : Outcome::severed, false);
        }
        if (failure->reason == Reason::turned_away) {
            ++story.offered;  // it had arrived there: a further one is counted
            return {Outcome::superseded, false};
        }
        ++counts_.bounced;
        if (failure->reason == Reason::unreachable) return {Outcome::refused_connection, false, false};
        if (failure->reason != Reason::full && failure->reason != Reason::late) around_.avoid(mark.server);
        return {Outcome::superseded, false, false};
    }
    const unsigned status = response->result_int();
    if (status / 100 == 2) return ran(Outcome::completed, true);
    if (status < 500) return ran(Outcome::recalled, true);
    // The server's own failure: it is what the client gets if no other does better.
    story.last = *response;
    return ran(Outcome::errored, mark.hop.once());
}

void MeshDialect::tidy(HttpResponse& response) {
    response.erase(kVerdict);
    response.erase(kEdition);
}

HttpResponse MeshDialect::refusal(Story& story, Millis retry_in) {
    const auto& mark = std::any_cast<const Mark&>(story.mark);
    const auto proof =
        NotRun::from({story.may_have_run ? Execution::may_have_run : Execution::not_run, mark.reason});
    if (!proof) return failure(story);
    ++counts_.refused;
    return proxy::refusal(*proof, std::clamp(retry_in, kLeastRetry, kMostRetry));
}

HttpResponse MeshDialect::failure(Story& story) {
    ++counts_.failed;
    if (story.last) {
        strip_hop_by_hop(*story.last);
        tidy(*story.last);
        return std::move(*story.last);
    }
    return proxy::failure(std::any_cast<const Mark&>(story.mark).reason);
}

}  // namespace cobaltshift::proxy
