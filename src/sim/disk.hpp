// A disk that forgets: what is written is sure to last only once synced. At a crash each write that was not
// may be lost, kept, or torn (a part of it kept), and each in its own way, so also out of order; a name that
// was moved and its folder not synced may still be the old one. It may be full, and bits may rot. After ALICE
// (Pillai et al. 2014) and SQLite's and FoundationDB's simulated disks.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "sim/stream.hpp"

namespace cobaltshift::sim {

class Disk {
public:
    explicit Disk(Stream lots, std::size_t capacity = 1 << 20) : lots_(lots), capacity_(capacity) {}

    // False: it is full; nothing has changed.
    bool write(const std::string& name, std::string bytes);  // the whole file
    bool append(const std::string& name, const std::string& bytes);
    void sync(const std::string& name);                           // its bytes
    bool rename(const std::string& from, const std::string& to);  // false: no such file
    void remove(const std::string& name);
    void sync_names();  // the folder
    std::optional<std::string> read(const std::string& name) const;

    void crash();
    void fill() { capacity_ = 0; }
    void empty_out(std::size_t capacity) { capacity_ = capacity; }
    void lose_all();
    // Flips a bit of one file that lasts; false: there is none.
    bool rot();

private:
    struct Content {
        std::string now;      // as a reader sees it
        std::string durable;  // as it was when last synced
        bool synced = true;
    };
    std::size_t used() const;

    Stream lots_;
    std::size_t capacity_;
    std::map<std::uint64_t, Content> contents_;  // by inode
    std::uint64_t next_ = 1;
    std::map<std::string, std::uint64_t> names_, durable_names_;
};

}  // namespace cobaltshift::sim
