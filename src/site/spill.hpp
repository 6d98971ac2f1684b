// Where the load goes when sites are lost, computed beforehand: from what each site can do, what it is asked
// for, how far sites are from one another and what each class can bear. Entry types: Fleet (what is known)
// and spill() (what follows). Free of I/O and of time; the same fleet gives the same plan everywhere.
//
// Invariants of a Spill:
// - No site is used over its bound.
// - What is turned away first stands last in ranked(): nothing is turned away while anything behind it in
// that
//   order is served in a place that it could have had (placing by augmenting paths in that order: what stands
//   before is moved aside for what stands behind, never taken back).
// - A demand stays at home as far as it may; what crosses is spread so that the fullest of the sites that it
//   can reach is as empty as can be, then the next (max-min by spare room).
// - Nothing crosses further than its class' aim leaves time for.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "kelplb/balancer.hpp"

namespace cobaltshift::site {

using kelplb::Effect;
using kelplb::Millis;

constexpr std::size_t kMaxSites = 16, kMaxClasses = 64, kMaxTenants = 256, kMaxDemands = 512;

struct Site {
    std::string name;
    double capacity = 0;  // milliseconds of work a second that all its servers do together
    double follows = 1;   // of its clients' load, what comes elsewhere when it is lost. 0 to 1
};
struct Class {
    std::string name;
    Effect effect = Effect::once;
    double worth = 1;     // of one request
    Millis work = 20;     // of one request, in the mean
    Millis aim = 500;     // an answer within this is worth all
    Millis answer = 100;  // what an answer takes at a site that is busy up to its bound, but for the crossing
    bool kept = false;    // must be served whatever one or two sites are lost
};
struct Tenant {
    std::string name;
    double guaranteed = 0;  // requests a second, over all sites
};
struct Demand {
    std::size_t site = 0, of_class = 0;
    std::size_t tenant = 0;  // past the last: nobody's
    double rate = 0;         // requests a second, at peak
};

struct Fleet {
    std::vector<Site> sites;
    std::vector<Class> classes;
    std::vector<Tenant> tenants;
    std::vector<Demand> demands;
    std::vector<std::vector<Millis>> round_trip;  // between sites; 0 on the diagonal
    double bound = 0.85;                          // of a site's capacity, when others' load has come

    // What a class has left of its aim for the way there and back.
    bool bears(std::size_t of_class, std::size_t from, std::size_t to) const;
};

// A part of a demand: what of it is within its tenant's guarantee stands before the rest.
struct Part {
    std::size_t demand = 0;
    double rate = 0;
    enum class Rank { kept, guaranteed, other } rank = Rank::other;
};
// In the order in which they are served: kept classes, then what tenants are guaranteed, then by worth for a
// millisecond of work. The last is turned away first.
std::vector<Part> ranked(const Fleet& fleet);

struct Spill {
    struct Flow {
        std::size_t demand = 0, to = 0;
        double rate = 0;
    };
    std::vector<Flow> flows;                   // each demand and site once
    std::vector<double> refused;               // by demand, requests a second
    std::vector<double> use;                   // by site: work over capacity
    double worth_asked = 0, worth_served = 0;  // a second
};
// `lost`: indices of sites; their servers do nothing, and of their clients' load `follows` comes elsewhere.
Spill spill(const Fleet& fleet, const std::vector<std::size_t>& lost);

// All losses of one site, and of two.
std::vector<std::vector<std::size_t>> losses(const Fleet& fleet, std::size_t most = 2);

}  // namespace cobaltshift::site
