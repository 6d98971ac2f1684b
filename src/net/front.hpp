// A protocol's front end: validates the requests that a Listener reads and accepts those to be served. Entry
// type: Front. Implemented by SidecarFront (the platform's protocol), by the mesh's Inbound and Outbound
// (src/proxy) and by ApiFront (src/api).
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "module.hpp"
#include "net/held_request.hpp"

namespace cobaltshift {

// The receiver of a request's answer.
class Client {
public:
    virtual ~Client() = default;
    virtual void answer(HttpResponse response) = 0;  // exactly once for each request
    // Like answer(); on a paced link, a long answer takes precedence over others from `urgent_at` on.
    virtual void answer_urgent_at(HttpResponse response, Millis urgent_at) {
        (void)urgent_at;
        answer(std::move(response));
    }
};

class Front {
public:
    struct Bounds {
        std::size_t header = kMaxHeader;  // maximum bytes of a request head
        std::uint64_t body = kMaxBody;    // maximum bytes of a request body
        Millis head_time =
            2500;  // ms for a complete head, from the connection's start or the head's first byte
        Millis read_time = 2500;  // ms for a complete request, from the same moment
        Millis idle_time = 0;     // ms that a connection may idle between requests; 0: not limited
    };
    virtual ~Front() = default;
    virtual Bounds bounds() const { return {}; }
    // The status to reject a head with; none: valid. Called before the body is read, and again after a
    // chunked body, as its trailers may add fields.
    virtual std::optional<http::status> fault(const HttpRequest& head) = 0;
    // The answer to a request that the front end serves itself; none: the request is to be passed to
    // arrived().
    virtual std::optional<HttpResponse> local(const HttpRequest& request) = 0;
    // The request's id: a request is rejected while another one with the same id is open. Empty: not checked.
    virtual std::string request_id_of(const HttpRequest& request) const = 0;
    // The name in log lines of a request for which request_id_of() is empty.
    virtual std::string log_name(const HttpRequest&) const { return {}; }
    // Marks an answer by which the Listener rejects a request that it does not pass to arrived(), if the
    // protocol has a mark for that.
    virtual void mark_rejection(HttpResponse&) const {}
    // Accepts a request. `spent`: ms since its first byte. The answer is delivered later, through the client.
    virtual RequestId arrived(RequestPtr request, Millis spent, std::weak_ptr<Client> client) = 0;
    // The client disconnected before the answer was given.
    virtual void client_gone(RequestId id) = 0;
};

}  // namespace cobaltshift
