// What the search finds in a history, and what it lets pass.
#include "sim_mesh/linearizability.hpp"

#include <doctest/doctest.h>

using namespace cobaltshift::simmesh;
using Answer = Operation::Answer;

namespace {

Operation change(double called, double returned, std::uint64_t number, std::uint64_t base, Answer answer,
                 std::uint64_t seen_edition = 0) {
    Operation one;
    one.kind = Operation::Kind::change;
    one.called = called, one.returned = returned;
    one.change = number, one.base = base, one.edition = number;  // editions by their change's number
    one.answer = answer, one.seen_edition = seen_edition;
    return one;
}

Operation reading(double called, double returned, std::uint64_t change) {
    Operation one;
    one.called = called, one.returned = returned;
    one.answer = Answer::value, one.seen_change = change;
    return one;
}

bool holds(const std::vector<Operation>& history) {
    const Linearizability said = check_linearizable(history);
    CHECK(said.complete);
    return said.holds;
}

}  // namespace

TEST_CASE("linearizability: one after the other, each sees the one before") {
    CHECK(holds({change(0, 1, 1, 0, Answer::taken), reading(2, 3, 1), change(4, 5, 2, 1, Answer::taken),
                 reading(6, 7, 2)}));
    CHECK(holds({reading(0, 1, 0)}));
}

TEST_CASE("linearizability: a reading that is older than what was acknowledged before it was asked") {
    CHECK_FALSE(
        holds({change(0, 1, 1, 0, Answer::taken), change(2, 3, 2, 1, Answer::taken), reading(4, 5, 1)}));
    CHECK(holds({change(0, 1, 1, 0, Answer::taken), change(2, 5, 2, 1, Answer::taken), reading(3, 4, 1)}));
    CHECK_FALSE(holds({change(0, 1, 1, 0, Answer::taken), change(2, 9, 2, 1, Answer::taken), reading(3, 4, 2),
                       reading(5, 6, 1)}));
}

TEST_CASE("linearizability: of two changes on one base one is acknowledged") {
    CHECK_FALSE(holds({change(0, 9, 1, 0, Answer::taken), change(0, 9, 2, 0, Answer::taken)}));
    CHECK(holds({change(0, 9, 1, 0, Answer::taken), change(0, 9, 2, 0, Answer::stale, 1)}));
    CHECK_FALSE(holds({change(0, 9, 1, 0, Answer::taken), change(0, 9, 2, 0, Answer::stale, 7)}));
    CHECK_FALSE(holds({change(0, 9, 2, 0, Answer::stale, 0)}));
}

TEST_CASE("linearizability: a change without an answer took effect at some moment after its call, or never") {
    const Operation unclear = change(0, 0, 1, 0, Answer::none);
    CHECK(holds({unclear, reading(1, 2, 0), reading(3, 4, 1)}));
    CHECK(holds({unclear, reading(1, 2, 0), reading(3, 4, 0)}));
    CHECK_FALSE(holds({unclear, reading(1, 2, 1), reading(3, 4, 0)}));
    CHECK(holds({unclear, change(2, 3, 2, 0, Answer::taken), reading(4, 5, 2)}));
    CHECK_FALSE(holds({unclear, change(2, 3, 2, 0, Answer::taken), reading(4, 5, 1)}));
}

TEST_CASE("linearizability: a change sent again is acknowledged again, and takes effect once") {
    const Operation first = change(0, 1, 1, 0, Answer::taken), second = change(2, 3, 2, 1, Answer::taken);
    CHECK(holds({first, second, change(4, 5, 1, 0, Answer::taken), reading(6, 7, 2)}));
    CHECK_FALSE(holds({first, second, change(4, 5, 1, 0, Answer::stale, 2)}));
    CHECK_FALSE(holds({first, second, change(4, 5, 1, 0, Answer::taken), reading(6, 7, 1)}));
}

TEST_CASE("linearizability: an invalid change is refused, and a valid one is not called invalid") {
    Operation invalid = change(0, 1, 1, 0, Answer::invalid);
    CHECK_FALSE(holds({invalid}));
    invalid.valid = false;
    CHECK(holds({invalid, reading(2, 3, 0)}));
    invalid.answer = Answer::taken;
    CHECK_FALSE(holds({invalid}));
}
