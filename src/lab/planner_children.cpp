#include "lab/planner_children.hpp"

#include <signal.h>
#include <sys/stat.h>

#include <algorithm>

namespace cobaltshift::lab {

tcp::endpoint free_address(asio::io_context& io) {
    tcp::acceptor probe(io, {asio::ip::make_address("127.0.0.3"), 0});
    return probe.local_endpoint();
}

PlannerChildren::PlannerChildren(asio::io_context& io, const Folder& folder, std::size_t count)
    : io_(io), folder_(folder), children_(count) {
    for (std::size_t p = 0; p < count; ++p) at_.push_back(free_address(io));
    secret_ = folder.write("secret", kLabSecret);
    for (std::size_t p = 1; p < count; ++p)
        ::mkdir((folder.path() + "/state" + std::to_string(p)).c_str(), 0755);
}

std::string PlannerChildren::forwarders_settings() const {
    std::string list;
    for (const auto& at : at_) list += (list.empty() ? "\"" : ", \"") + text_of(at) + "\"";
    return folder_.write("forwarder.toml",
                         "[plan]\nplanners = [" + list + "]\nsecret_file = \"" + secret_ + "\"\n");
}

void PlannerChildren::start(std::size_t p, const std::string& discovery, const Archive::Options& server) {
    std::string text = "[planner]\nlisten = \"" + text_of(at_[p]) + "\"\ndiscovery = \"" + discovery +
                       "\"\nnumber = " + std::to_string(p) + "\nsecret_file = \"" + secret_ +
                       "\"\ncold_from = " + std::to_string(server.cold_capacity) +
                       "\nwarm_within_ms = " + std::to_string(server.warmup_time) +
                       "\nfall_multiple = " + std::to_string(server.overload_multiple) + "\n";
    // One of them starts from nothing every time.
    if (p > 0) text += "state_folder = \"" + folder_.path() + "/state" + std::to_string(p) + "\"\n";
    const std::string file = folder_.write("planner" + std::to_string(p) + ".toml", text);
    Child::Command command{beside("cobaltshift"), {"planner", "--settings", file}, {}};
    children_[p].reset();  // one that runs ends first: two can't listen at one address
    children_[p] = std::make_unique<Child>(io_, command, nullptr);
}

void PlannerChildren::kill(std::size_t p) {
    if (children_[p]) ++kills_;
    children_[p].reset();
}

int PlannerChildren::stop() {
    int worst = 0;
    for (const auto& child : children_)
        if (child) child->signal(SIGTERM);
    for (const auto& child : children_)
        if (child) worst = std::max(worst, child->wait_and_tell("a planner"));
    return worst;
}

}  // namespace cobaltshift::lab
