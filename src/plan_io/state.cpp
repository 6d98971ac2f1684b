#include "plan_io/state.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>

namespace cobaltshift::plan {

namespace {

using nlohmann::json;

std::string path_in(const std::string& folder) { return folder + "/planner.json"; }

// FNV-1a; detects torn writes and disk faults, not tampering.
std::uint64_t checksum(const std::string& text) {
    std::uint64_t h = 14695981039346656037ULL;
    for (const char c : text) h = (h ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
    return h;
}

bool sync_folder(const std::string& folder) {
    const int fd = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (fd < 0) return false;
    const bool good = ::fsync(fd) == 0;
    ::close(fd);
    return good;
}

}  // namespace

std::optional<State> load_state(const std::string& folder, std::string& why) {
    why.clear();
    std::ifstream in(path_in(folder), std::ios::binary);
    if (!in) return {};
    const std::string text((std::istreambuf_iterator<char>(in)), {});
    const auto fault = [&](const char* what) {
        why = path_in(folder) + " " + what;
        return std::nullopt;
    };
    const json document = json::parse(text, nullptr, false);
    if (!document.is_object() || !document.contains("state") || !document.contains("check"))
        return fault("is truncated or not a planner state file");
    if (!document["check"].is_number_unsigned() ||
        checksum(document["state"].dump()) != document["check"].get<std::uint64_t>())
        return fault("does not match its checksum");
    try {
        const json& fields = document["state"];
        State state{{fields.at("epoch").get<std::uint64_t>(), fields.at("sequence").get<std::uint64_t>()},
                    {}};
        for (const json& one : fields.at("removed"))
            state.removed.push_back({one.at(0).get<ServerId>(), one.at(1).get<double>()});
        return state;
    } catch (const json::exception&) {
        return fault("lacks a field or has one of the wrong type");
    }
}

bool save_state(const std::string& folder, const State& state, std::string& why) {
    json fields{{"epoch", state.id.epoch}, {"sequence", state.id.sequence}, {"removed", json::array()}};
    for (const ServerIncarnation& life : state.removed) fields["removed"].push_back({life.id, life.born});
    const std::string text = json{{"state", fields}, {"check", checksum(fields.dump())}}.dump() + "\n";
    const std::string name = path_in(folder), fresh = name + ".new";
    const auto fault = [&](const char* what) {
        why = fresh + ": " + what + ": " + std::strerror(errno);
        return false;
    };
    const int fd = ::open(fresh.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
    if (fd < 0) return fault("can't be opened");
    const bool written = ::write(fd, text.data(), text.size()) == static_cast<ssize_t>(text.size());
    const bool synced = written && ::fsync(fd) == 0;
    if (::close(fd) != 0 || !synced) return fault("can't be written");
    if (::rename(fresh.c_str(), name.c_str()) != 0) return fault("can't be renamed over the former file");
    if (!sync_folder(folder)) return fault("its folder can't be synced");
    return true;
}

}  // namespace cobaltshift::plan
