// Tests of the program's settings: invalid files with the expected error message, and the example file
// against the defaults.
#include <gtest/gtest.h>

#include <fstream>
#include <iterator>

#include "settings_file/settings_file.hpp"

namespace cobaltshift {
namespace {

std::string error_of(const std::string& text) {
    try {
        read_settings(text, "x.toml");
    } catch (const SettingsError& error) {
        return error.what();
    }
    return "none";
}

TEST(SettingsFile, InvalidKeeperSettingsAreRejected) {
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
    for (const auto& [text, message] : table)
        EXPECT_NE(error_of(text).find(message), std::string::npos) << text << " -> " << error_of(text);
}

TEST(SettingsFile, InvalidSharedProbingSettingsAreRejected) {
    const std::string three = "[keepers]\naddresses = [\"127.0.0.1:1\", \"127.0.0.1:2\", \"127.0.0.1:3\"]\n";
    const std::string good = "[probing]\nnumber = 1\ninstances = [\"127.0.0.1:4\", \"127.0.0.1:5\"]\n";
    const std::pair<std::string, const char*> table[] = {
        {three + good, "none"},
        {good, "x.toml:3: probing.instances needs keepers.addresses"},
        {three + "[probing]\nnumber = 1\n", "probing.instances is missing"},
        {three + "[probing]\nnumber = 0\ninstances = []\n", "x.toml:5: probing.instances is empty"},
        {three + "[probing]\ninstances = [\"127.0.0.1:4\"]\n", "probing.number is missing"},
        {three + "[probing]\nnumber = 1\ninstances = [\"127.0.0.1:4\"]\n",
         "x.toml:4: probing.number is not between 0 and 0"},
        {three + good + "shards = 0\n", "x.toml:6: probing.shards is not between 1 and 256"},
        {three + good + "length_ms = 2600\n", "x.toml:6: probing.length_ms is over a quarter of interval_ms"},
        {three + good + "probe_ms = 600\n", "x.toml:6: probing.probe_ms and keepers.margin_ms are together"},
        {three + good + "interval_ms = 10\n", "x.toml:6: probing.interval_ms is not between"},
        {three + good + "listen = \"here\"\n", "x.toml:6: probing.listen is not address:port"},
        {three + good + "stand_by = 0\n", "x.toml:6: probing.stand_by is not between 1 and 16"},
        {three + good + "probes = 3\n", "x.toml:6: probing.probes is not known"},
    };
    for (const auto& [text, message] : table)
        EXPECT_NE(error_of(text).find(message), std::string::npos) << text << " -> " << error_of(text);
}

TEST(SettingsFile, InvalidSiteSettingsAreRejected) {
    const std::string three =
        "[keepers]\naddresses = [\"127.0.0.1:1\", \"127.0.0.1:2\", \"127.0.0.1:3\"]\n"
        "[probing]\nnumber = 1\nlisteners = 1\ninstances = [\"127.0.0.1:4\", \"127.0.0.1:5\"]\n";
    const std::string good = "[site]\ndiscovery = \"127.0.0.1:6\"\n";
    std::string probes = three;
    probes.replace(probes.find("listeners = 1"), 13, "listeners = 0");
    const std::pair<std::string, const char*> table[] = {
        {three + good, "none"},
        {three + "[site]\n", "site.discovery is missing"},
        {good, "x.toml:2: site.discovery needs the table probing"},
        {probes + good, "x.toml:8: site.discovery needs probing.number to be of one that only listens"},
        {three + good + "length_ms = 1000\n",
         "x.toml:9: site.length_ms is under three times keepers.margin_ms"},
        {three + good + "lose_ms = 100\n", "x.toml:9: site.lose_ms is under suspect_ms"},
        {three + good + "steps = [0.5]\n", "x.toml:9: site.steps make no sense: steps do not end with 1"},
        {three + good + "step = 1\n", "x.toml:9: site.step is not known"},
    };
    for (const auto& [text, message] : table)
        EXPECT_NE(error_of(text).find(message), std::string::npos) << text << " -> " << error_of(text);
}

TEST(SettingsFile, ErrorsNameFileLineAndKey) {
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
        {"[log]\nformat = \"xml\"", "x.toml:2: log.format is neither text nor json"},
        {"[log]\nformat = \"json\"", "none"},
        {"[metrics]\n", "metrics.listen is missing"},
        {"[metrics]\nlisten = \"x\"", "x.toml:2: metrics.listen is not address:port"},
        {"# a\n[sharing]\n", "x.toml:2: sharing is not known"},
        {"shares = 3", "x.toml:1: shares is not a table"},
        {"[shares]\nclients_hold = 0.5\nclients_hold = 0.5", "x.toml:3: "},
        {"[shares\n", "x.toml:1: "},
        {"\x01\xff", "x.toml:1: "},
    };
    for (const auto& [text, message] : table)
        EXPECT_NE(error_of(text).find(message), std::string::npos) << text << " -> " << error_of(text);
}

TEST(SettingsFile, AMissingFileIsNamed) {
    try {
        load_settings("/nowhere/x.toml");
        FAIL();
    } catch (const SettingsError& error) {
        EXPECT_STREQ(error.what(), "/nowhere/x.toml: can't be read");
    }
}

TEST(SettingsFile, TheExampleHoldsTheDefaultsAndThePlatformsFileIsValid) {
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
    const probing::ProbingSettings probing;
    ASSERT_EQ(example.probing.instances.size(), 2u);
    EXPECT_EQ(example.probing.listen, example.probing.instances[1]);
    EXPECT_EQ(example.probing.length, probing.length);
    probing::ProberSettings core = example.probing.core;
    core.number = core.listeners = 0;
    EXPECT_EQ(core, probing.core);
    ASSERT_TRUE(example.site);
    const site::SiteSettings site;
    EXPECT_EQ(example.site->length, site.length);
    EXPECT_EQ(example.site->look, site.look);
    EXPECT_EQ(example.site->lead.paced.steps, site.lead.paced.steps);
    EXPECT_EQ(example.site->lead.paced.least, site.lead.paced.least);
    EXPECT_EQ(example.site->lead.watch.hold, site.lead.watch.hold);
    EXPECT_EQ(example.site->lead.watch.least, site.lead.watch.least);
    EXPECT_TRUE(load_settings(COBALTSHIFT_DEPLOY "/platform.toml").probing.instances.empty());
}

}  // namespace
}  // namespace cobaltshift
