// What one proxy says to another about a request, beside the request itself: two header fields of ours that
// no client sees and no server gets. Used by MeshDialect (the caller's side) and Inbound (the server's side).
//
//   of a request   Mesh-Hop: KIND;RANK;TARGET_MS;TRIES;WAIT;EDITION
//                  KIND p, r or d (plain, registered, download); WAIT 1: may wait at the admission
//   of an answer   Mesh-Verdict: ran                      it is the server's
//                  Mesh-Verdict: not-run REASON           the proxy's own: it has not run and never will
//                  Mesh-Verdict: may-have-run REASON      the proxy's own
//                  Mesh-Edition: EDITION                  the configuration that the answering proxy holds
#pragma once

#include <boost/leaf.hpp>
#include <cstdint>
#include <optional>
#include <string>

#include "hop/hop.hpp"
#include "net/http.hpp"
#include "outcome/outcome.hpp"

namespace cobaltshift::proxy {

namespace leaf = boost::leaf;

constexpr const char *kHop = "Mesh-Hop", *kVerdict = "Mesh-Verdict", *kEdition = "Mesh-Edition",
                     *kRequestId = "Request-Id", *kDeadline = "Deadline-Ms", *kInstance = "Expect-Instance",
                     *kCaller = "Caller", *kPostmark = "Postmark", *kNotRun = "Not-Run";

using hop::Hop;

std::string to_text(const Hop& hop);
std::optional<Hop> read_hop(beast::string_view text);

// The server's answer as it may be passed on, or (as the error) a Failure that says whether the request may
// have run: a success must bear the server's stamp and be its own bytes.
leaf::result<HttpResponse> server_answer(HttpResponse response);
// An answer of the proxy's own to another proxy.
HttpResponse own_answer(const Failure& failure);
// What another proxy's answer says; none: it is the server's.
std::optional<Failure> read_failure(const HttpResponse& response);

// Whether a server's answer belongs to another request than `request` (hop::answers_another).
bool answers_another(const HttpRequest& request, const HttpResponse& response);

// A refusal to a client: only with proof that the request has not run.
HttpResponse refusal(const NotRun& proof, double retry_in_ms);
// A failure that promises nothing.
HttpResponse failure(Reason reason);

// Whole milliseconds, rounded down, of a Deadline-Ms field; none: it is no figure.
std::optional<double> read_ms(beast::string_view text);

}  // namespace cobaltshift::proxy
