// What an application server's answer, or the lack of one, proves about whether the request has run. Called
// on the server side of a hop (proxy::Inbound, sim_mesh). Pure functions.
#pragma once

#include <optional>
#include <string_view>

#include "exchange/answer_owner.hpp"
#include "module.hpp"
#include "outcome/outcome.hpp"

namespace cobaltshift::hop {

struct ServerAnswerHead {
    unsigned status = 0;
    bool not_run = false;  // it has the field Not-Run
    bool stamped = false;  // it has a Postmark, the server's stamp
    bool encoded = false;  // it has a Content-Encoding, so the body is not the server's own bytes
};

// Whether the server says that it did not run the request.
bool is_refusal(const ServerAnswerHead& head);

// Returns none if the answer may be passed on unchanged. Only Not-Run and status 421 prove that the request
// did not run. A success without a stamp or with an encoded body, and a status that promises that the request
// has not run (408, 429, 503) without Not-Run, count as a broken answer.
std::optional<Failure> failure_of_answer(const ServerAnswerHead& head);

// The failure of an attempt that ended without an answer.
Failure failure_without_answer(Outcome outcome);

// Whose answer one with the id `answered` is, in the place of the answer to `asked`. Servers put the id on
// every success, so one without an id is another request's; refusals and errors may come without.
exchange::AnswerOwner owner_of_answer(std::string_view asked, std::string_view answered, unsigned status);

}  // namespace cobaltshift::hop
