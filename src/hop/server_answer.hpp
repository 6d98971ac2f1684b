// What an application server's answer, or the lack of one, proves about whether the request has run. Called
// on the server side of a hop (proxy::Inbound, sim_mesh). Pure functions.
#pragma once

#include <optional>
#include <string_view>

#include "module.hpp"
#include "outcome/outcome.hpp"

namespace cobaltshift::hop {

struct ServerAnswerHead {
    unsigned status = 0;
    bool not_run = false;  // it has the field Not-Run
    bool stamped = false;  // it has a Postmark, the server's stamp
    bool encoded = false;  // it has a Content-Encoding, so the body is not the server's own bytes
};

// Returns none if the answer may be passed on unchanged. Only Not-Run and status 421 prove that the request
// did not run. A success without a stamp or with an encoded body, and a status that promises that the request
// has not run (408, 429, 503) without Not-Run, count as a broken answer.
std::optional<Failure> failure_of_answer(const ServerAnswerHead& head);

// The failure of an attempt that ended without an answer.
Failure failure_without_answer(Outcome outcome);

// Whether an answer belongs to another request than the one with the id `asked`, such as a late second answer
// on a keep-alive connection. A success without an id belongs to no request; any other answer without an id
// is taken for this request's.
bool answers_another(std::string_view asked, std::string_view answered, unsigned status);

}  // namespace cobaltshift::hop
