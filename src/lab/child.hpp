// A process of this fleet: started, read for the line that says where it listens, signalled, waited for. Ends
// with its Child, whatever happens.
#pragma once

#include <sys/types.h>

#include <fstream>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "net/http.hpp"

namespace cobaltshift::lab {

// A folder of its own under the system's for temporary files, removed with all in it at the end.
class Folder {
public:
    Folder();
    ~Folder();
    Folder(const Folder&) = delete;
    Folder& operator=(const Folder&) = delete;
    const std::string& path() const { return path_; }
    std::string write(const std::string& name, const std::string& text) const;  // returns the file's path

private:
    std::string path_;
};

class Child {
public:
    struct Command {
        std::string program;
        std::vector<std::string> arguments;
        std::vector<std::string> environment;  // NAME=VALUE, on top of ours
        std::string log_file = "";  // its whole log is appended to this file; empty: it is not kept
    };
    // `listening` is called once, with the address, when its log says "listens on ADDRESS".
    Child(asio::io_context& io, const Command& command, std::function<void(tcp::endpoint)> listening);
    ~Child();
    Child(const Child&) = delete;
    Child& operator=(const Child&) = delete;

    void signal(int number) const;
    // Waits for its end; its exit code, or 128 and the signal that ended it.
    int wait();
    // Its exit code as of wait(), where it has ended by now.
    std::optional<int> ended();
    // wait(); an end that is not 0 is told on standard error, with the last of its log.
    int wait_and_tell(const std::string& name);
    std::string last_words() const { return log_->last; }  // of its log
    // Its program has a handler for the signal by now: what comes before ends it, whatever the program is.
    bool catches(int number) const;
    pid_t pid() const { return pid_; }
    // Bytes resident and CPU seconds so far, as the system tells; 0 where it does not.
    double resident_mb() const;
    double cpu_seconds() const;

private:
    struct Log {
        explicit Log(asio::io_context& io) : pipe(io) {}
        asio::posix::stream_descriptor pipe;
        std::string text, last;
        std::ofstream file;
        std::array<char, 1024> chunk;
        std::function<void(tcp::endpoint)> listening;
    };
    static void read(std::shared_ptr<Log> log);
    std::shared_ptr<Log> log_;
    pid_t pid_ = -1;
};

// The program that stands beside this one in its folder.
std::string beside(const std::string& name);

}  // namespace cobaltshift::lab
