#include "site/lead.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cmath>
#include <sstream>

namespace cobaltshift::site {

namespace {

// Names in the note, without blanks.
const char* const kWords[kStates] = {"whole",   "weakened",  "suspected", "lost",
                                     "cut-off", "returning", "drained"};
constexpr std::size_t kMostNumber = 1000;

template <class Number>
bool read_number(const std::string& text, Number& value) {
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    return !text.empty() && parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
}

}  // namespace

bool fit_for_a_site(const std::string& name) {
    return !name.empty() && name.size() <= kMaxSiteName &&
           std::all_of(name.begin(), name.end(),
                       [](unsigned char c) { return std::isalnum(c) || c == '-' || c == '_' || c == '.'; });
}

std::string Book::text() const {
    std::ostringstream text;
    text << 'v' << version;
    for (const auto& [name, e] : sites) {
        text << ' ' << name << '=' << kWords[static_cast<std::size_t>(e.state)];
        if (e.step == 0 && e.slower == 1 && e.losses == 0) continue;
        text << ':' << e.step << ':' << e.slower << ':' << e.losses;
    }
    return text.str();
}

std::optional<Book> Book::read(const std::string& text) {
    Book book;
    std::istringstream words(text);
    std::string word;
    if (!(words >> word) || word[0] != 'v' || !read_number(word.substr(1), book.version)) return {};
    while (words >> word) {
        const auto at = word.find('=');
        if (at == std::string::npos || !fit_for_a_site(word.substr(0, at))) return {};
        std::vector<std::string> parts;
        std::istringstream rest(word.substr(at + 1));
        for (std::string part; std::getline(rest, part, ':');) parts.push_back(part);
        if (parts.size() != 1 && parts.size() != 4) return {};
        const auto* state = std::find(std::begin(kWords), std::end(kWords), parts[0]);
        if (state == std::end(kWords)) return {};
        Entry e;
        e.state = static_cast<State>(state - std::begin(kWords));
        if (parts.size() == 4 && (!read_number(parts[1], e.step) || !read_number(parts[2], e.slower) ||
                                  !read_number(parts[3], e.losses) || e.step > kMostNumber || e.slower < 1 ||
                                  e.slower > kMostNumber || e.losses > kMostNumber))
            return {};
        if (!book.sites.emplace(word.substr(0, at), e).second || book.sites.size() > kMostLed) return {};
    }
    return book;
}

Lead::Led& Lead::led(const std::string& site) { return sites_.try_emplace(site, settings_).first->second; }

bool Lead::begin(Millis now, const std::string& note) {
    leads_ = true;
    waiting_ = false;
    doubtful_ = 1;  // one of a predecessor's, or of its own before the right was lost
    const auto read = Book::read(note);
    next_ = book_ = read.value_or(Book{});
    // What this one believed while another led counts for nothing.
    std::map<std::string, Led> before;
    before.swap(sites_);
    for (const auto& [name, e] : book_.sites) {
        Led& one = led(name);
        one.watch.restore(now, e.state, e.losses);
        one.drained = e.state == State::drained;
        if (e.state == State::returning) {
            one.paced.begin(now);
            one.paced.resume(now, e.step, e.slower);
        }
        ++counts_.taken_up;
    }
    for (const auto& [name, was] : before) {
        Led& one = led(name);
        one.usual = was.usual, one.usual_at = was.usual_at;
        if (!book_.sites.count(name)) one.watch.restore(now, State::whole, 0);
    }
    return read.has_value() || note.empty();
}

void Lead::end() { leads_ = waiting_ = false; }

void Lead::listed(Millis now, const std::map<ServerId, std::string>& servers) {
    std::erase_if(servers_, [&](const auto& at) { return !servers.count(at.first); });
    std::map<std::string, double> counts;
    for (const auto& [id, site] : servers) {
        if (!fit_for_a_site(site)) continue;
        if (!sites_.count(site) && sites_.size() >= kMostLed) continue;
        servers_[id].site = site;
        ++counts[site];
        led(site);
    }
    for (auto& [name, one] : sites_) {
        const double fades = std::exp2((one.usual_at - now) / settings_.usual_half_life);
        one.usual = std::max(counts[name], one.usual_at > 0 ? one.usual * fades : 0);
        one.usual_at = now;
    }
}

void Lead::verdict(Millis now, ServerId server, bool good) {
    const auto at = servers_.find(server);
    if (at == servers_.end()) return;
    at->second.good = good;
    at->second.at = now;
    if (!leads_) return;
    const auto site = sites_.find(at->second.site);
    if (site != sites_.end() && site->second.watch.state() == State::returning)
        site->second.paced.seen(1, good);
}

void Lead::ordered(const std::string& site, bool drained) {
    const auto at = sites_.find(site);
    if (at != sites_.end()) at->second.drained = drained;
}

Evidence Lead::evidence(Millis now, const std::string& name, Led& one) {
    Evidence e;
    e.forwarders_heard = 0;  // probes alone speak here
    double listed = 0;
    for (const auto& [id, server] : servers_) {
        if (server.site != name) continue;
        ++listed;
        if (!server.good || now > server.at + settings_.verdict_life) continue;
        ++e.outside;
        e.outside_failed += !*server.good;
    }
    e.servers_listed = one.usual > 0 ? std::min(1.0, listed / one.usual) : 1;
    return e;
}

Book::Entry Lead::entry(const Led& one) const {
    Book::Entry e;
    e.state = one.watch.state();
    e.losses = std::min<unsigned>(one.watch.losses(), kMostNumber);
    if (e.state == State::returning) e.step = one.paced.step(), e.slower = one.paced.slower();
    return e;
}

bool Lead::look(Millis now, const std::string& name, Led& one) {
    if (one.drained != (one.watch.state() == State::drained)) {
        if (!(one.drained ? one.watch.drain(now) : one.watch.give_back(now))) return false;
        if (!one.drained) one.paced.begin(now);
        return true;
    }
    if (one.watch.seen(now, evidence(now, name, one))) {
        if (one.watch.state() == State::returning) one.paced.begin(now);
        return true;
    }
    if (one.watch.state() != State::returning) return false;
    switch (one.paced.tick(now)) {
        case Paced::Turn::none:
            return false;
        case Paced::Turn::forth:
            ++counts_.forth;
            return true;
        case Paced::Turn::back:
            ++counts_.back;
            return true;
        case Paced::Turn::done:
            return one.watch.returned(now);
    }
    return false;
}

std::optional<std::string> Lead::tick(Millis now) {
    if (!leads_ || waiting_) return {};
    // What may not have been left is asked for again as it was, before anything else is decided.
    if (doubtful_ == 0 || next_.sites == book_.sites) {
        next_.sites = book_.sites;
        bool turned = false;
        for (auto& [name, one] : sites_) {
            turned = look(now, name, one) || turned;
            next_.sites[name] = entry(one);
        }
        counts_.turns += turned;
    }
    if (next_.sites == book_.sites) return {};
    next_.version = book_.version + 1 + doubtful_;
    waiting_ = true;
    return next_.text();
}

void Lead::left(Millis now) {
    if (!leads_ || !waiting_) return;
    waiting_ = false;
    doubtful_ = 0;
    for (auto& [name, one] : sites_)
        if (one.watch.state() == State::returning && next_.sites[name] != book_.sites[name])
            one.paced.known(now);
    book_ = next_;
}

void Lead::not_left() {
    if (!waiting_) return;
    waiting_ = false;
    ++doubtful_;
}

}  // namespace cobaltshift::site
