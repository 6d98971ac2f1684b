// Our own settings: hostile and careless files, each with its complaint, and the example against the
// defaults.
#include <gtest/gtest.h>

#include <fstream>
#include <iterator>

#include "settings_file/settings_file.hpp"

namespace cobaltshift {
namespace {

std::string complaint(const std::string& text) {
    try {
        read_settings(text, "x.toml");
    } catch (const SettingsError& error) {
        return error.what();
    }
    return "none";
}

TEST(SettingsFile, KeepersThatMakeNoSense) {
    const std::string three = "[keepers]\naddresses = [\"127.0.0.1:1\", \"127.0.0.1:2\", \"127.0.0.1:3\"]\n";
    const std::string good = "[keeper]\nnumber = 0\nfleet = \"f\"\nfolder = \"d\"\n";
    const std::pair<std::string, const char*> table[] = {
        {three + good, "none"},
        {three, "none"},
        {good, "odd count of keepers.addresses"},
        {"[keepers]\naddresses = [\"127.0.0.1:1\", \"127.0.0.1:2\"]\n" + good, "odd count"},
        {"[keepers]\naddresses = [\"127.0.0.1:1\", \"127.0.0.1:1\"]\n", "names an address twice"},
        {"[keepers]\naddresses = [\"keeper:1\"]\n", "x.toml:2: keepers.addresses is not address:port"},
        {three + "margin_ms = 0\n", "x.toml:3: keepers.margin_ms is not between"},
        {three + "[keeper]\nnumber = 3\n", "x.toml:4: keeper.number is not between 0 and 2"},
        {three + "[keeper]\nfleet = \"f\"\nfolder = \"d\"\n", "keeper.number is missing"},
        {three + "[keeper]\nnumber = 0\nfleet = \"f\"\n", "keeper.folder is missing"},
        {three + "[keeper]\nnumber = 0\nfleet = \"\"\n", "x.toml:5: keeper.fleet is empty"},
        {three + good + "heartbeat_ms = 300\n", "keeper.election_ms is under four times heartbeat_ms"},
        {three + good + "drift = 0.5\n", "x.toml:7: keeper.drift is not between 0 and 0.2"},
        {three + good + "lease = 3\n", "x.toml:7: keeper.lease is not known"},
    };
    for (const auto& [text, said] : table)
        EXPECT_NE(complaint(text).find(said), std::string::npos) << text << " -> " << complaint(text);
}

TEST(SettingsFile, ComplaintsNameFileLineAndKey) {
    const std::pair<const char*, const char*> table[] = {
        {"[shares]\nclients_hold = 0.5\n", "none"},
        {"", "none"},
        {"[shares]\n\nclients_hold = \"half\"", "x.toml:3: shares.clients_hold is not a number"},
        {"[shares]\nclients_hold = true", "x.toml:2: shares.clients_hold is not a number"},
        {"[shares]\nclients_hold = 7", "x.toml:2: shares.clients_hold is not between 0.05 and 1"},
        {"[shares]\nclients_hold = -0.1", "is not between"},
        {"[shares]\nclients_hold = nan", "is not between"},
        {"[shares]\nclients_hold = inf", "is not between"},
        {"[shares]\nclient_hold = 0.5", "x.toml:2: shares.client_hold is not known"},
        {"# a\n[sharing]\n", "x.toml:2: sharing is not known"},
        {"shares = 3", "x.toml:1: shares is not a table"},
        {"[shares]\nclients_hold = 0.5\nclients_hold = 0.5", "x.toml:3: "},
        {"[shares\n", "x.toml:1: "},
        {"\x01\xff", "x.toml:1: "},
    };
    for (const auto& [text, said] : table)
        EXPECT_NE(complaint(text).find(said), std::string::npos) << text << " -> " << complaint(text);
}

TEST(SettingsFile, AFileThatIsNotThereIsNamed) {
    try {
        load_settings("/nowhere/x.toml");
        FAIL();
    } catch (const SettingsError& error) {
        EXPECT_STREQ(error.what(), "/nowhere/x.toml: can't be read");
    }
}

TEST(SettingsFile, TheExampleHoldsTheDefaultsAndThePlatformsFileIsGood) {
    const ProgramSettings example = load_settings(COBALTSHIFT_DEPLOY "/example.toml"), standard;
    EXPECT_NEAR(example.shares.client_descriptors, standard.shares.client_descriptors, 1e-9);
    EXPECT_NEAR(example.shares.clients_hold, standard.shares.clients_hold, 1e-9);
    EXPECT_NEAR(example.shares.body_memory, standard.shares.body_memory, 1e-9);
    const lease::KeeperSettings keeper;
    ASSERT_TRUE(example.keeper);
    EXPECT_EQ(example.keepers.margin, standard.keepers.margin);
    EXPECT_EQ(example.keeper->office.agree.heartbeat, keeper.office.agree.heartbeat);
    EXPECT_EQ(example.keeper->office.agree.election, keeper.office.agree.election);
    EXPECT_EQ(example.keeper->office.drift, keeper.office.drift);
    EXPECT_EQ(example.keeper->office.waiter_silence, keeper.office.waiter_silence);
    EXPECT_EQ(example.keeper->office.compact_after, keeper.office.compact_after);
    EXPECT_EQ(example.keeper->connections, keeper.connections);
    EXPECT_EQ(example.keeper->listen, example.keepers.keepers[0]);
    load_settings(COBALTSHIFT_DEPLOY "/platform.toml");
}

}  // namespace
}  // namespace cobaltshift
