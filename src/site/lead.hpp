// Who leads the sites of a fleet: from single servers' verdicts to each site's state and the step of its
// return. One process leads under a right (src/lease), and what it has come to is the right's note: one line,
// with a version that grows: by one, and by two where a note before it may have been left or not. The others
// follow the note and are ready. Entry type: Lead. Free of I/O.
//
// Invariants:
// - Nothing is decided except while leading, and not before the predecessor's note has been taken up.
// - A note is decided on only after the one before it is known to be left: no state or step is passed over,
// and
//   each takes its time from then.
// - Who takes over goes on from the note: the same states, the same step begun anew, the next version.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "site/paced.hpp"
#include "site/watch.hpp"

namespace cobaltshift::site {

using kelplb::ServerId;

constexpr std::size_t kMostLed = 16, kMaxSiteName = 32;
// What a site's name may be made of: letters, digits, '-', '_', '.'.
bool fit_for_a_site(const std::string& name);

// The note: version, and each site's state. "v3 north=whole coast=returning:2:1:1 hill=lost:0:1:4", the
// numbers step, slower (Paced) and losses (Watch).
struct Book {
    struct Entry {
        State state = State::whole;
        std::size_t step = 0;
        unsigned slower = 1, losses = 0;
        bool operator==(const Entry&) const = default;
    };
    std::uint64_t version = 0;
    std::map<std::string, Entry> sites;

    std::string text() const;
    static std::optional<Book> read(const std::string& text);  // none: not one
    bool operator==(const Book&) const = default;
};

struct LeadSettings {
    WatchSettings watch;
    PacedSettings paced;
    Millis verdict_life = 5000;  // a server's verdict counts so long
    // Of the most servers a site has had, what still counts as usual halves in this time.
    Millis usual_half_life = 300000;
};

class Lead {
public:
    explicit Lead(const LeadSettings& settings) : settings_(settings) {}

    // The right is held; `note` is what was left for it, empty if nothing. False: it can't be read, and all
    // sites begin as whole.
    bool begin(Millis now, const std::string& note);
    void end();  // it is not held any more
    bool leads() const { return leads_; }

    // All servers there are, with their sites.
    void listed(Millis now, const std::map<ServerId, std::string>& servers);
    // Of one probe.
    void verdict(Millis now, ServerId server, bool good);
    // What people want of a site: that it is drained, or not.
    void ordered(const std::string& site, bool drained);

    // Looks at all sites. The note that is to be left now, if there is one.
    std::optional<std::string> tick(Millis now);
    // The last one is known to be left; or may not be, and is to be asked for again.
    void left(Millis now);
    void not_left();

    const Book& book() const { return book_; }  // as left
    struct Counts {
        std::uint64_t turns = 0, forth = 0, back = 0, taken_up = 0;
    };
    const Counts& counts() const { return counts_; }

private:
    struct Server {
        std::string site;
        std::optional<bool> good;
        Millis at = 0;
    };
    struct Led {
        Watch watch;
        Paced paced;
        double usual = 0;
        Millis usual_at = 0;
        bool drained = false;  // as people want it
        Led(const LeadSettings& s) : watch(s.watch), paced(s.paced) {}
    };
    Led& led(const std::string& site);
    Evidence evidence(Millis now, const std::string& site, Led& led);
    bool look(Millis now, const std::string& site, Led& led);
    Book::Entry entry(const Led& led) const;

    const LeadSettings settings_;
    bool leads_ = false, waiting_ = false;
    std::map<ServerId, Server> servers_;
    std::map<std::string, Led> sites_;
    Book book_, next_;
    std::uint64_t doubtful_ = 0;  // versions that may have been left, after the book's
    Counts counts_;
};

}  // namespace cobaltshift::site
