// What an application server's answer, or the lack of one, proves about the request that it was asked with.
// Called by the proxy beside the server (proxy::Inbound, sim_mesh); free of I/O.
#pragma once

#include <optional>
#include <string_view>

#include "module.hpp"
#include "outcome/outcome.hpp"

namespace cobaltshift::hop {

struct ServerAnswerHead {
    unsigned status = 0;
    bool not_run = false;  // it bears Not-Run
    bool stamped = false;  // it bears the server's Postmark
    bool encoded = false;  // it bears a Content-Encoding: not the server's own bytes
};

// None: it is the server's and may be passed on as it is. Only Not-Run and 421 prove that nothing ran; a
// success must bear the stamp; statuses that promise something need the proof.
std::optional<Failure> failure_of_answer(const ServerAnswerHead& head);

// Of an attempt at the server that ended without an answer.
Failure failure_without_answer(Outcome outcome);

// Whether an answer belongs to another request than `asked`: a late second answer on a kept connection. A
// success without an id is nobody's; a refusal without one is taken for this request's.
bool answers_another(std::string_view asked, std::string_view answered, unsigned status);

}  // namespace cobaltshift::hop
