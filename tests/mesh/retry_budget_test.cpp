// The retry budget: what all proxies together spend, checked against the rule BUDGET.
#include "admission/retry_budget.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <vector>

using cobaltshift::admission::RetryBudget;

namespace {

constexpr double kStep = 100;         // in ms
constexpr std::size_t kWindow = 100;  // in steps

// Requests and retries in each step, of all proxies together.
struct Traffic {
    std::vector<double> requests, spent;
};
// Random traffic: loads that jump, and periods in which every request fails and is to be retried twice,
// within two seconds. `counted_share`: the part of the live proxies that each proxy knows of.
Traffic random_traffic(unsigned proxies, unsigned seed, double counted_share, std::size_t steps) {
    std::mt19937 rng(seed);
    const auto below = [&](unsigned n) { return static_cast<unsigned>(rng() % n); };
    std::vector<RetryBudget> budgets(proxies, RetryBudget({}));
    const auto counted = std::max<std::size_t>(1, static_cast<std::size_t>(proxies * counted_share));
    Traffic all{std::vector<double>(steps), std::vector<double>(steps)};
    std::vector<std::vector<unsigned>> wanted(proxies, std::vector<unsigned>(steps + 21));
    std::vector<unsigned> load(proxies, 0);
    bool failing = false;
    for (std::size_t step = 0; step < steps; ++step) {
        const double now = 5e9 + static_cast<double>(step) * kStep;
        if (below(40) == 0) {
            const unsigned most = below(3) == 0 ? 0 : 1 + below(2000 / proxies + 2);
            for (unsigned& one : load) one = most == 0 ? 0 : below(most + 1);
        }
        if (below(30) == 0) failing = below(3) > 0;
        for (unsigned proxy = 0; proxy < proxies; ++proxy) {
            for (unsigned i = 0; i < load[proxy]; ++i) {
                budgets[proxy].record_request(now);
                all.requests[step] += 1;
                if (failing) wanted[proxy][step + below(21)] += 2;
            }
            for (unsigned i = 0; i < wanted[proxy][step]; ++i)
                if (budgets[proxy].try_spend(now, counted)) all.spent[step] += 1;
        }
    }
    return all;
}

// The most by which any window exceeds the budget (negative if none does). The rule BUDGET counts the
// requests of the window, of the one before it, or of the one half a window before it, whichever has the
// most.
double max_excess(const Traffic& traffic, double ratio, double slack) {
    const auto sum = [](const std::vector<double>& of, std::size_t from, std::size_t to) {
        double all = 0;
        for (std::size_t i = from; i < to; ++i) all += of[i];
        return all;
    };
    double worst = -1e9;
    for (std::size_t from = 0; from + kWindow <= traffic.spent.size(); ++from) {
        double requests = 0;
        for (const std::size_t back : {std::size_t{0}, kWindow / 2, kWindow}) {
            const std::size_t first = from >= back ? from - back : 0;
            requests = std::max(requests, sum(traffic.requests, first, first + kWindow));
        }
        worst = std::max(worst, sum(traffic.spent, from, from + kWindow) - ratio * requests - slack);
    }
    return worst;
}

}  // namespace

TEST_CASE("retry budget: all proxies together stay within the rule's budget in any window; random traffic") {
    for (const unsigned proxies : {1U, 2U, 3U, 7U, 20U, 50U, 100U})
        for (unsigned seed = 1; seed <= 6; ++seed)
            for (const double counted : {1.0, 0.5}) {  // proxies know at least half of the others
                CAPTURE(proxies);
                CAPTURE(seed);
                CAPTURE(counted);
                const Traffic traffic = random_traffic(proxies, seed, counted, 600);
                CHECK(max_excess(traffic, 0.2, 60) <= 0);
            }
}

TEST_CASE("retry budget: a single proxy can spend its part of both slack and ratio") {
    RetryBudget retry_budget({});
    int spent = 0;
    while (retry_budget.try_spend(1000, 1)) ++spent;
    CHECK(spent == 24);  // two fifths of the slack
    for (int i = 0; i < 1000; ++i) retry_budget.record_request(1000);
    while (retry_budget.try_spend(1000, 1)) ++spent;
    CHECK(spent == 24 + 80);  // and two fifths of a fifth
}

TEST_CASE("retry budget: a share of less than one retry allows none") {
    RetryBudget retry_budget({});
    CHECK_FALSE(retry_budget.try_spend(0, 100));
    for (int i = 0; i < 10; ++i) retry_budget.record_request(0);
    CHECK(retry_budget.try_spend(0, 100));  // 0.24 + 0.8
    CHECK_FALSE(retry_budget.try_spend(0, 100));
}

TEST_CASE("retry budget: a count of no live proxies counts as one") {
    RetryBudget none({}), one({});
    int of_none = 0, of_one = 0;
    while (none.try_spend(0, 0)) ++of_none;
    while (one.try_spend(0, 1)) ++of_one;
    CHECK(of_none == of_one);
}

TEST_CASE("retry budget: a retry counts for one window and at most one bucket more") {
    RetryBudget retry_budget({});
    while (retry_budget.try_spend(20000, 1)) continue;
    for (double now = 20000; now < 30000; now += 250) CHECK_FALSE(retry_budget.try_spend(now, 1));
    CHECK(retry_budget.try_spend(30500, 1));
    CHECK(retry_budget.spent() == 1);
}

TEST_CASE("retry budget: requests leave the window as retries do, also after a long time without calls") {
    RetryBudget retry_budget({});
    for (int i = 0; i < 1000; ++i) retry_budget.record_request(500);
    int spent = 0;
    while (retry_budget.try_spend(11500, 1)) ++spent;
    CHECK(spent == 24);
    for (int i = 0; i < 1000; ++i) retry_budget.record_request(12000);
    spent = 0;
    while (retry_budget.try_spend(1e7, 1)) ++spent;
    CHECK(spent == 24);
}
