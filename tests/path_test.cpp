// Paths that a server could interpret differently, as a table of targets with the expected result.
#include "net/path.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

namespace cobaltshift {
namespace {

struct PathCase {
    const char* target;
    const char* fault;  // null: accepted
};

TEST(Paths, AmbiguousTargetsAreRejected) {
    const char* const dot = "a dot segment";
    const char* const coded = "an encoded dot, slash, backslash or percent sign";
    const char* const empty = "an empty segment";
    const char* const control = "an encoded control character";
    const char* const nothing = "a percent sign that encodes nothing";
    const char* const overlong = "overlong UTF-8";
    const PathCase table[] = {
        {"/listen", nullptr},
        {"/listen?sid=7f", nullptr},
        {"/listen/2026/12.5/take-1.flac", nullptr},
        {"/listen/..hidden/a..b/...", nullptr},
        {"/listen/a%20b%C3%A9%e2%82%ac%F0%9F%8E%B5", nullptr},
        {"/listen?sid=../x//y%2f%00%2e", nullptr},  // the query is not part of the path
        {"/listen;v=1/x;y=..", nullptr},
        {"", "no absolute path"},
        {"listen", "no absolute path"},
        {"*", "no absolute path"},
        {"http://x/listen", "no absolute path"},
        {"/", empty},
        {"//listen", empty},
        {"/listen/", empty},
        {"/listen//deposit", empty},
        {"/listen/?sid=1", empty},
        {"/.", dot},
        {"/listen/.", dot},
        {"/listen/..", dot},
        {"/listen/../deposit", dot},
        {"/listen/../deposit?sid=7f", dot},
        {"/../listen", dot},
        {"/./listen", dot},
        {"/listen/..;x/deposit", dot},
        {"/listen/.;/deposit", dot},
        {"/listen/%2e%2e/deposit", coded},
        {"/listen/%2E./deposit", coded},
        {"/listen/.%2e/deposit", coded},
        {"/listen%2f..%2fdeposit", coded},
        {"/listen%2F", coded},
        {"/listen/..%5cdeposit", coded},
        {"/listen/%5Cdeposit", coded},
        {"/listen/%252e%252e/deposit", coded},
        {"/listen/%25", coded},
        {"/listen\\..\\deposit", "a backslash"},
        {"/listen/a%00.flac", control},
        {"/listen%0d%0aX-Repeat:1", control},
        {"/listen/%7f", control},
        {"/listen/%", nothing},
        {"/listen/%2", nothing},
        {"/listen/%zz", nothing},
        {"/listen/%2?e", nothing},
        {"/listen/%u002e%u002e/deposit", nothing},
        {"/listen/%c0%ae%c0%ae/deposit", overlong},
        {"/listen/%C1%9c", overlong},
        {"/listen/%e0%80%ae", overlong},
        {"/listen/%F0%80%80%AF", overlong},
        {"/listen/%ff", overlong},
        {"/listen#/../deposit", "a fragment"},
        {"/listen?a#b", "a fragment"},
    };
    for (const PathCase& one : table) {
        const char* fault = path_fault(one.target);
        EXPECT_STREQ(fault, one.fault) << one.target;
    }
}

// An accepted target must keep its segments for a server that percent-decodes it once or twice and treats
// backslashes as slashes: no dot segment may appear. Checks generated targets from a fixed seed.
TEST(Paths, AcceptedTargetsHaveNoDotSegmentsAfterDecoding) {
    const char pieces[][8] = {"/",  "..", ".", "%2e", "%2f", "%5c", "%25",
                              "2e", "a",  ";", "%c0", "%ae", "\\",  "%00"};
    const auto decoded = [](const std::string& text) {
        std::string out;
        for (std::size_t i = 0; i < text.size(); ++i) {
            if (text[i] == '%' && i + 2 < text.size() &&
                std::isxdigit(static_cast<unsigned char>(text[i + 1])) &&
                std::isxdigit(static_cast<unsigned char>(text[i + 2]))) {
                out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
                i += 2;
            } else {
                out += text[i] == '\\' ? '/' : text[i];
            }
        }
        return out;
    };
    std::uint64_t state = 7;
    std::size_t accepted = 0;
    for (int round = 0; round < 200000; ++round) {
        std::string target = "/listen";
        for (int n = 0; n < 6; ++n) {
            state = state * 6364136223846793005u + 1442695040888963407u;
            target += pieces[(state >> 33) % std::size(pieces)];
        }
        if (path_fault(target)) continue;
        ++accepted;
        const std::string twice = decoded(decoded(target));
        EXPECT_EQ(std::count(twice.begin(), twice.end(), '/'), std::count(target.begin(), target.end(), '/'));
        for (std::size_t at = 0; at != std::string::npos; at = twice.find('/', at + 1)) {
            const std::string segment = twice.substr(at + 1, twice.find_first_of("/;", at + 1) - at - 1);
            EXPECT_TRUE(segment != ".." && segment != ".") << target;
        }
    }
    EXPECT_GT(accepted, 1000u);
}

}  // namespace
}  // namespace cobaltshift
