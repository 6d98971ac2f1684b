#include "lab/process_usage.hpp"

#include <boost/asio/ip/address_v4.hpp>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <system_error>

namespace cobaltshift::lab {

namespace {

namespace asio = boost::asio;

// A field of /proc/PID/status in MB.
double status_mb(pid_t pid, const std::string& field) {
    std::ifstream file("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(file, line);)
        if (line.starts_with(field + ":")) return std::atof(line.c_str() + field.size() + 1) / 1024;
    return 0;
}

// Bytes that the kernel has received for the connections of `ip` and that nobody has read.
double unread_mb(const std::string& ip) {
    const auto address = asio::ip::make_address_v4(ip).to_bytes();
    char prefix[16];
    std::snprintf(prefix, sizeof prefix, "%02X%02X%02X%02X:", address[3], address[2], address[1], address[0]);
    std::ifstream file("/proc/net/tcp");
    double bytes = 0;
    for (std::string line; std::getline(file, line);) {
        std::istringstream words(line);
        std::string slot, local, remote, state, queues;
        words >> slot >> local >> remote >> state >> queues;
        constexpr const char* kEstablished = "01";
        if (state != kEstablished || !local.starts_with(prefix)) continue;
        bytes += static_cast<double>(std::stoul(queues.substr(queues.find(':') + 1), nullptr, 16));
    }
    return bytes / (1 << 20);
}

std::size_t open_descriptors(pid_t pid) {
    std::error_code gone;
    std::size_t count = 0;
    for (std::filesystem::directory_iterator at("/proc/" + std::to_string(pid) + "/fd", gone), end;
         !gone && at != end; at.increment(gone))
        ++count;
    return count;
}

}  // namespace

bool runs_program(pid_t pid, const std::string& program) {
    std::error_code gone;
    const auto file = std::filesystem::read_symlink("/proc/" + std::to_string(pid) + "/exe", gone);
    return !gone && file.filename() == program;
}

ProcessUsage usage_of(pid_t pid, const std::string& ip) {
    const double now_mb = status_mb(pid, "VmRSS") + unread_mb(ip);
    return {std::max(now_mb, status_mb(pid, "VmHWM")), open_descriptors(pid)};
}

}  // namespace cobaltshift::lab
