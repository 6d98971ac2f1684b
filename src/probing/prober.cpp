#include "probing/prober.hpp"

#include <algorithm>
#include <cmath>
#include <set>

#include "probing/message.hpp"

namespace cobaltshift::probing {

namespace {

constexpr Millis kNever = 1e18;
// Of the interval: who knows nothing of a server waits so long, spread over so much.
constexpr double kBlind = 0.5, kBlindSpread = 0.125;
constexpr double kTellEvery = 0.25;  // each result is told four times before its next probe
constexpr double kExpires = 2;       // a verdict
// Who does not stand by asks for a shard that has been silent so long; each rank a little later, so that not
// all come at once.
constexpr double kSilent = 2, kSilentByRank = 0.25;

// SplitMix64's finisher.
std::uint64_t mixed(std::uint64_t z) {
    z += 0x9e3779b97f4a7c15;
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9;
    z = (z ^ (z >> 27)) * 0x94d049bb133111eb;
    return z ^ (z >> 31);
}
double part(std::uint64_t z) { return static_cast<double>(mixed(z) >> 11) * 0x1p-53; }
// By rendezvous: who is to stand by for a shard, the same at all instances.
std::uint64_t weight(std::uint32_t instance, std::uint32_t shard) {
    return mixed(static_cast<std::uint64_t>(instance) << 32 | shard);
}

}  // namespace

std::uint32_t shard_of(ServerId server, std::uint32_t shards) {
    return static_cast<std::uint32_t>(mixed(server) % shards);
}
std::string task_of(std::uint32_t shard) { return "probe/" + std::to_string(shard); }

Prober::Prober(const ProberSettings& settings) : settings_(settings), shards_(settings.shards) {
    for (std::uint32_t s = 0; s < settings_.shards; ++s)
        for (std::uint32_t other = 0; other + settings_.listeners < settings_.instances; ++other)
            if (std::pair(weight(other, s), other) < std::pair(weight(settings_.number, s), settings_.number))
                ++shards_[s].rank;
}

void Prober::listed(Millis now, const std::vector<ServerId>& servers) {
    for (auto& [id, server] : servers_) server.listed = false;
    for (const ServerId id : servers) {
        if (servers_.size() >= kMaxServers && !servers_.count(id)) break;
        const auto [at, fresh] = servers_.try_emplace(id);
        at->second.listed = true;
        if (!fresh) continue;
        at->second.shard = shard_of(id, settings_.shards);
        ++shards_[at->second.shard].servers;
        // What it was before it was listed, or listed again, is not known: as for who has just gained it.
        at->second.next = now + settings_.interval * (kBlind + kBlindSpread * part(id));
    }
    for (auto at = servers_.begin(); at != servers_.end();) {
        if (at->second.listed) {
            ++at;
            continue;
        }
        --shards_[at->second.shard].servers;
        if (at->second.out) --out_;
        at = servers_.erase(at);
    }
}

// When it is to be probed next by who has just gained its shard.
void Prober::plan(Millis now, ServerId id, Server& server) const {
    const Millis known = server.last ? *server.last + settings_.interval : -kNever;
    // Over already: another may have probed it since, unheard.
    server.next = known >= now ? known : now + settings_.interval * (kBlind + kBlindSpread * part(id));
}

void Prober::right(Millis now, std::uint32_t number, std::optional<lease::Holder::Right> right) {
    Shard& shard = shards_[number];
    // Another has told under a later right: whatever this one's clock says, it is over.
    if (right && right->fence < gate_.highest(task_of(number))) right.reset();
    if (stopped_) right.reset();
    const Fence fence = right ? right->fence : 0;
    shard.until = right ? right->until : 0;
    if (fence == shard.fence) return;
    if (shard.fence != 0) ++counts_.lost;
    shard.fence = fence;
    if (fence == 0) {
        shard.heard_at = now;  // whoever has it now is given the time to say so
        return;
    }
    ++counts_.gained;
    gate_.admit(task_of(number), fence);
    shard.tell_due = now;
    // The same right again, out of reach for a while: nobody has had it in between, and the round goes on.
    if (fence == shard.held) return;
    shard.held = fence;
    shard.sequence = shard.probes = 0;
    for (auto& [id, server] : servers_)
        if (server.shard == number) plan(now, id, server);
}

void Prober::verdict(Millis now, ServerId id, Server& server, Fence fence, std::uint64_t number, bool good,
                     Millis at) {
    server.last = std::max(server.last.value_or(at), at);
    if (std::pair(fence, number) <= std::pair(server.fence, server.number)) return;
    if (good != server.good || server.at < now - kExpires * settings_.interval)
        shards_[server.shard].news = true;
    server.fence = fence, server.number = number, server.good = good, server.at = at;
    output_.found.push_back({id, good});
    if (good || at < now - kExpires * settings_.interval) return;
    ++counts_.failed;
    output_.failed.push_back(id);
}

void Prober::probed(Millis now, ServerId id, std::optional<bool> good) {
    const auto at = servers_.find(id);
    if (at == servers_.end() || !at->second.out) return;
    Server& server = at->second;
    server.out = false;
    --out_;
    Shard& shard = shards_[server.shard];
    // The shard may have gone meanwhile: what was found under another's right is not told as ours.
    if (good && shard.fence != 0) verdict(now, id, server, shard.fence, ++shard.probes, *good, *server.last);
}

std::string Prober::heard(Millis now, std::string_view bytes) {
    std::string why;
    const auto told = decode(bytes, why);
    if (told && told->shards != settings_.shards) why = "it is of another count of shards";
    if (told && why.empty() && told->shard >= settings_.shards) why = "there is no such shard";
    if (why.empty()) {
        Shard& shard = shards_[told->shard];
        if (told->fence == shard.fence)
            why = "it is told under this sidecar's own right";
        else if (!gate_.admit(task_of(told->shard), told->fence))
            why = "it is told under a right that is over";
        else if (told->fence == shard.heard_fence && told->sequence <= shard.heard_sequence)
            why = "it has been told already";
    }
    if (!why.empty()) {
        ++counts_.refused;
        return why;
    }
    ++counts_.heard;
    Shard& shard = shards_[told->shard];
    shard.heard_fence = told->fence, shard.heard_sequence = told->sequence, shard.heard_at = now;
    if (shard.fence != 0) {  // a later right than ours
        shard.fence = 0;
        ++counts_.lost;
    }
    for (const Told::Result& one : told->results) {
        const auto at = servers_.find(one.server);
        if (at == servers_.end() || at->second.shard != told->shard) continue;
        if (one.age > kExpires * settings_.interval) continue;
        verdict(now, one.server, at->second, told->fence, one.number, one.good, now - one.age);
    }
    return {};
}

Millis Prober::silence(const Shard& shard) const {
    const double later = static_cast<double>(shard.rank - settings_.stand_by);
    return settings_.interval * (kSilent + kSilentByRank * (later + 1));
}

// Whether to ask for a shard.
void Prober::stand(Millis now, std::uint32_t number, Shard& shard) {
    if (settings_.number + settings_.listeners >= settings_.instances) return;
    const bool standing = shard.rank < settings_.stand_by;
    if (shard.heard_at == 0) shard.heard_at = now;  // of its own start
    if (stopped_ || (!standing && shard.wanted && shard.fence == 0 && shard.heard_fence != 0 &&
                     now < shard.heard_at + settings_.interval)) {
        if (shard.wanted) output_.give_up.push_back(number);
        shard.wanted = false;
    } else if (!shard.wanted && (standing || (shard.servers > 0 && now >= shard.heard_at + silence(shard)))) {
        output_.want.push_back(number);
        shard.wanted = true;
    }
    if (!shard.wanted && !standing && shard.servers > 0 && !stopped_)
        due_ = std::min(due_, shard.heard_at + silence(shard));
}

void Prober::probe_round(Millis now) {
    std::vector<std::pair<Millis, ServerId>> over;
    for (auto& [id, server] : servers_) {
        const Shard& shard = shards_[server.shard];
        if (shard.fence == 0 || server.out) continue;
        if (now + settings_.probe > shard.until) continue;  // until the right is renewed
        if (server.next <= now)
            over.emplace_back(server.next, id);
        else
            due_ = std::min(due_, server.next);
    }
    std::sort(over.begin(), over.end());
    for (const auto& [next, id] : over) {
        if (out_ >= settings_.at_once) break;  // the next one's end is the next event
        Server& server = servers_[id];
        server.out = true;
        server.last = now;
        server.next = now + settings_.interval;
        due_ = std::min(due_, server.next);
        ++out_;
        ++counts_.probes;
        output_.probe.push_back(id);
    }
}

void Prober::tell(Millis now, std::uint32_t number, Shard& shard) {
    if (shard.fence == 0 || settings_.instances < 2) return;
    if (now < shard.tell_due && !shard.news) {
        due_ = std::min(due_, shard.tell_due);
        return;
    }
    shard.news = false;
    shard.tell_due = now + settings_.interval * kTellEvery;
    due_ = std::min(due_, shard.tell_due);
    Told told;
    told.shard = number, told.shards = settings_.shards, told.fence = shard.fence;
    const auto send = [&] {
        told.sequence = ++shard.sequence;
        output_.tell.push_back(encode(told));
        ++counts_.told;
        told.results.clear();
    };
    for (const auto& [id, server] : servers_) {
        if (server.shard != number || server.fence != shard.fence) continue;
        if (server.at < now - settings_.interval) continue;
        told.results.push_back({id, server.number, server.good, now - server.at});
        if (told.results.size() == kMostResults) send();
    }
    if (!told.results.empty() || shard.sequence == 0 || shard.servers == 0) send();
}

void Prober::stop(Millis now) {
    stopped_ = true;
    for (std::uint32_t s = 0; s < settings_.shards; ++s) {
        Shard& shard = shards_[s];
        // The last word: who comes next need not be blind.
        if (shard.fence != 0) shard.news = true, tell(now, s, shard);
        if (shard.fence != 0) ++counts_.lost;
        shard.fence = 0;
    }
    tick(now);
}

void Prober::tick(Millis now) {
    due_ = kNever;
    for (std::uint32_t s = 0; s < settings_.shards; ++s) {
        stand(now, s, shards_[s]);
        // By its end nobody may act on it, whatever else happens.
        if (shards_[s].fence != 0 && now >= shards_[s].until) right(now, s, std::nullopt);
        if (shards_[s].fence != 0) due_ = std::min(due_, shards_[s].until);
    }
    probe_round(now);
    for (std::uint32_t s = 0; s < settings_.shards; ++s) tell(now, s, shards_[s]);
}

Prober::Output Prober::take() {
    Output output;
    std::swap(output, output_);
    return output;
}

Prober::Known Prober::known(Millis now) const {
    Known known;
    for (const auto& [id, server] : servers_) {
        if (server.fence == 0 || server.at < now - kExpires * settings_.interval)
            ++known.unknown;
        else
            ++(server.good ? known.good : known.bad);
    }
    return known;
}

}  // namespace cobaltshift::probing
