// Who takes what a Listener has read, and what a request must look like: one protocol's side of clients'
// connections. Entry type: Front. Implemented by SidecarFront (the platform's protocol) and by the mesh's
// fronts (src/proxy, src/control_io).
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "module.hpp"
#include "net/http.hpp"

namespace cobaltshift {

// Whoever waits for a request's answer.
class Client {
public:
    virtual ~Client() = default;
    virtual void answer(HttpResponse response) = 0;  // exactly once for each request
    // In place of answer(): from `urgent_at` on it goes before others on a link that long answers share.
    virtual void answer_urgent_at(HttpResponse response, Millis urgent_at) {
        (void)urgent_at;
        answer(std::move(response));
    }
};

class Front {
public:
    struct Bounds {
        std::size_t header = kMaxHeader;  // bytes of a head
        std::uint64_t body = kMaxBody;    // bytes of a body
        Millis head_time = 2500;          // for a whole head, from the connection's start or its first byte
        Millis read_time = 2500;          // for a whole request, from the same moment
        Millis idle_time = 0;             // of a connection between requests; 0: no bound of its own
    };
    virtual ~Front() = default;
    virtual Bounds bounds() const { return {}; }
    // Of a head, before its body is read, and again if chunks' trailers have come since. None: it is good.
    virtual std::optional<http::status> fault(const HttpRequest& head) = 0;
    // What is answered without passing it on; none: nothing.
    virtual std::optional<HttpResponse> local(const HttpRequest& request) = 0;
    // The name of what may be open once only; empty: not looked at.
    virtual std::string name_of(const HttpRequest& request) const = 0;
    // What a log calls a request that has no such name; asked of these alone.
    virtual std::string log_name_of(const HttpRequest&) const { return {}; }
    // `spent`: since its first byte. The answer comes later, through the client.
    virtual RequestId arrived(RequestPtr request, Millis spent, std::weak_ptr<Client> client) = 0;
    virtual void client_gone(RequestId id) = 0;
};

}  // namespace cobaltshift
