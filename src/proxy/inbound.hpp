// The server's side of a proxy: takes requests from other proxies, asks the Admission whether and when they
// may begin, passes them to the application server over few kept connections, and says truly what came of it.
// Entry type: Inbound, a Listener's Front. Made by Proxy.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <unordered_map>

#include "admission/admission.hpp"
#include "admission/answer_sizes.hpp"
#include "boot/boot.hpp"
#include "net/clock.hpp"
#include "net/front.hpp"
#include "net/paced_link.hpp"
#include "net/upstream.hpp"
#include "proxy/hop.hpp"

namespace cobaltshift::proxy {

class Inbound : public Front {
public:
    struct Around {
        std::function<std::uint64_t()> edition;
        std::function<void(std::uint64_t edition)> newer;  // a caller holds a newer one
    };
    // `link`: of this machine, over which answers leave; none: its rate is not known.
    Inbound(asio::io_context& io, const Clock& clock, const boot::Boot& boot, Around around,
            const PacedLink* link = nullptr);

    // The server's own word (from its beats); see Admission.
    bool beat(const std::string& life, std::uint32_t capacity, bool closing, std::uint64_t call_seq);
    void gone(const std::string& life);
    // Asks the server's health once, for its life, where no beat has come in this life of ours.
    void ask_health(const std::string& path, std::uint32_t capacity,
                    std::function<void(const std::string& life)> well);
    void leave();
    const admission::Admission& admission() const { return admission_; }
    bool busy() const { return !jobs_.empty(); }

    Bounds bounds() const override;
    std::optional<http::status> fault(const HttpRequest& head) override;
    std::optional<HttpResponse> local(const HttpRequest&) override { return {}; }
    std::string name_of(const HttpRequest&) const override { return {}; }
    RequestId arrived(RequestPtr request, Millis spent, std::weak_ptr<Client> client) override;
    void client_gone(RequestId id) override;

private:
    struct Job {
        RequestPtr message;
        std::weak_ptr<Client> client;
        Millis deadline = 0, began = 0;
        bool at_work = false;
        admission::AnswerSizes::Kind kind;
        double promised_bytes = 0;  // of the link, until its answer is handed to it
    };
    void promise_link(Job& job, admission::Offer& offer);
    void forget(std::unordered_map<admission::Ticket, Job>::iterator job);
    void begin(admission::Ticket ticket);
    void ended(admission::Ticket ticket, Outcome outcome, HttpResponse* response);
    void answer(admission::Ticket ticket, HttpResponse response);
    void look();  // what may begin, what is turned away, when to look again
    void look_soon();

    asio::io_context& io_;
    const Clock& clock_;
    const boot::Boot& boot_;
    Around around_;
    admission::Admission admission_;
    const PacedLink* const link_;
    admission::AnswerSizes answer_sizes_;
    double promised_bytes_ = 0;
    Upstream upstream_;
    std::unordered_map<admission::Ticket, Job> jobs_;
    std::map<std::pair<Millis, admission::Ticket>, bool> deadlines_;  // of those at work
    admission::Ticket next_ = 1;
    asio::steady_timer timer_;
    Millis armed_for_ = 0;
    bool looking_ = false;
};

}  // namespace cobaltshift::proxy
