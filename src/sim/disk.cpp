#include "sim/disk.hpp"

#include <set>

namespace cobaltshift::sim {

std::size_t Disk::used() const {
    std::size_t sum = 0;
    for (const auto& [inode, content] : contents_) sum += content.now.size();
    return sum;
}

bool Disk::write(const std::string& name, std::string bytes) {
    const auto at = names_.find(name);
    const std::size_t before = at == names_.end() ? 0 : contents_[at->second].now.size();
    if (used() - before + bytes.size() > capacity_) return false;
    const std::uint64_t inode = at == names_.end() ? next_++ : at->second;
    names_[name] = inode;
    Content& content = contents_[inode];
    content.now = std::move(bytes);
    content.synced = false;
    return true;
}

bool Disk::append(const std::string& name, const std::string& bytes) {
    return write(name, read(name).value_or("") + bytes);
}

void Disk::sync(const std::string& name) {
    const auto at = names_.find(name);
    if (at == names_.end()) return;
    Content& content = contents_[at->second];
    content.durable = content.now;
    content.synced = true;
}

bool Disk::rename(const std::string& from, const std::string& to) {
    const auto at = names_.find(from);
    if (at == names_.end()) return false;
    const std::uint64_t inode = at->second;
    names_.erase(at);
    names_[to] = inode;
    return true;
}

void Disk::remove(const std::string& name) { names_.erase(name); }

void Disk::sync_names() { durable_names_ = names_; }

std::optional<std::string> Disk::read(const std::string& name) const {
    const auto at = names_.find(name);
    if (at == names_.end()) return {};
    return contents_.at(at->second).now;
}

void Disk::crash() {
    // Each name on its own: as moved, or as it was when the folder was last synced.
    std::map<std::string, std::uint64_t> names;
    std::set<std::string> all;
    for (const auto& [name, inode] : names_) all.insert(name);
    for (const auto& [name, inode] : durable_names_) all.insert(name);
    for (const std::string& name : all) {
        const auto now = names_.find(name), old = durable_names_.find(name);
        const bool same = now != names_.end() && old != durable_names_.end() && now->second == old->second;
        const bool kept = same || lots_.chance(0.5);
        if (kept && now != names_.end()) names[name] = now->second;
        if (!kept && old != durable_names_.end()) names[name] = old->second;
    }
    for (auto& [inode, content] : contents_) {
        if (content.synced) continue;
        const double lot = lots_.unit();
        if (lot < 0.4)
            content.now = content.durable;  // lost
        else if (lot < 0.7) {               // torn: a part has come down
            // What was appended to keeps what was synced before.
            const std::size_t sure = content.now.starts_with(content.durable) ? content.durable.size() : 0;
            content.now = content.now.substr(0, sure + lots_.below(content.now.size() - sure + 1));
        }
        content.durable = content.now;
        content.synced = true;
    }
    names_ = durable_names_ = names;
    std::erase_if(contents_, [&](const auto& at) {
        for (const auto& [name, inode] : names_)
            if (inode == at.first) return false;
        return true;
    });
}

void Disk::lose_all() {
    contents_.clear();
    names_.clear();
    durable_names_.clear();
}

bool Disk::rot() {
    std::vector<Content*> some;
    for (auto& [inode, content] : contents_)
        if (!content.now.empty()) some.push_back(&content);
    if (some.empty()) return false;
    Content& one = *some[lots_.below(some.size())];
    one.now[lots_.below(one.now.size())] ^= static_cast<char>(1 << lots_.below(8));
    one.durable = one.now;
    return true;
}

}  // namespace cobaltshift::sim
