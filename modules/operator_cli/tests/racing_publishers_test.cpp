#include "processes.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <iostream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>

namespace chivewharf::operator_cli::test {
namespace {

using nlohmann::json;

constexpr int host_count = 7;
constexpr const char* domains[] = {"north", "east", "west"};
constexpr const char* admin_token_sha256 =
    "10a4c7c9fc5206d6f36dc6944a81bb6f4a3cb0e25014ae3b12e6c3e52712292a";

/// Seven entry hosts in three failure domains and the platform, as processes.
class cluster {
public:
    cluster()
    {
        for (int i = 0; i < host_count; ++i) {
            const auto ip = "127.0.2." + std::to_string(i + 1);
            caller_addresses_.push_back(free_address(ip));
            peer_addresses_.push_back(free_address(ip));
        }
        directory_.write("token", "admin-token");
        directory_.write("base.json", settings("nobody").dump());
        hosts_.resize(host_count);
        versions_.resize(host_count);
        for (int i = 0; i < host_count; ++i)
            start(i);
    }

    json settings(const std::string& customer) const
    {
        json document{{"site", "demo"},
                      {"key_domains", domains},
                      {"platform", {{"address", platform.address()}}}};
        for (const auto* domain_name : domains)
            document["domains"].push_back({{"name", domain_name}, {"region", "demo"}});
        for (int i = 0; i < host_count; ++i)
            document["entry_hosts"].push_back(
                {{"name", name(i)}, {"domain", domain(i)}, {"peer_address", peer_addresses_[i]}});
        document["customers"] = {{{"name", customer}, {"token_sha256", std::string(64, '0')}}};
        document["operators"] = {{{"name", "admin"}, {"token_sha256", admin_token_sha256}}};
        document["services"] = {{{"name", "plugdesk"}, {"idempotent", false}}};
        document["upstreams"] = json::array();
        return document;
    }

    /// Starts the host's process, after killing the previous one if there is one.
    void start(int i)
    {
        hosts_[i].reset();
        versions_[i] = 0;
        const json local{{"site", "demo"},
                         {"host",
                          {{"name", name(i)},
                           {"domain", domain(i)},
                           {"caller_address", caller_addresses_[i]},
                           {"peer_address", peer_addresses_[i]},
                           {"peer_key", "a-key-for-this-test"},
                           {"log_directory", directory_.file("")}}}};
        const auto file = directory_.write(name(i) + ".json", local.dump());
        hosts_[i] = std::make_unique<child_process>(
            "chivewharfd",
            std::vector<std::string>{"--host", file, "--settings", directory_.file("base.json")},
            directory_.file(name(i) + ".out"));
    }

    /// Starts `chivewharfctl publish` with settings that are unique to the author.
    std::unique_ptr<child_process> publish(std::int64_t expected, const std::string& author)
    {
        const auto file =
            directory_.write(author + ".json", settings("customer-of-" + author).dump());
        return std::make_unique<child_process>(
            "chivewharfctl",
            std::vector<std::string>{"publish", "--expect", std::to_string(expected), file,
                                     "--author", author, "--timeout", "60"},
            directory_.file(author + ".out"));
    }

    /// Queries the version of every host and checks that it does not decrease during the life of
    /// its process.
    const std::vector<std::int64_t>& read_versions()
    {
        entry_host_client client{caller_addresses_, "Bearer admin-token",
                                 boot_clock::now() + seconds{30}};
        const auto responses = client.request_all("GET", "/v1/admin/status");
        for (int i = 0; i < host_count; ++i) {
            if (!responses[i].succeeded())
                continue;
            const auto version = responses[i].body.at("version").get<std::int64_t>();
            EXPECT_GE(version, versions_[i]) << "the version of " << name(i) << " fell";
            versions_[i] = version;
        }
        return versions_;
    }

    bool all_hosts_have(std::int64_t version)
    {
        const auto& versions = read_versions();
        return std::all_of(versions.begin(), versions.end(),
                           [version](auto host_version) { return host_version == version; });
    }

    /// Waits for the publishers to exit. \return the number of publishers for each exit code
    std::map<int, int> exit_codes(const std::vector<std::unique_ptr<child_process>>& publishers)
    {
        EXPECT_TRUE(wait_until([&] {
            read_versions();
            return std::all_of(publishers.begin(), publishers.end(),
                               [](const auto& publisher) { return publisher->has_exited(); });
        }));
        std::map<int, int> counts;
        for (const auto& publisher : publishers)
            ++counts[publisher->exit_code()];
        return counts;
    }

    json run_ctl(const std::vector<std::string>& arguments)
    {
        const auto output = directory_.file("ctl.out");
        const child_process ctl{"chivewharfctl", arguments, output};
        EXPECT_TRUE(wait_until([&ctl] { return ctl.has_exited(); }));
        return json::parse(read_file(output), nullptr, false);
    }

    platform_process platform;

private:
    static std::string name(int i) { return "entry-" + std::to_string(i + 1); }
    static std::string domain(int i) { return domains[i % 3]; }

    temporary_directory directory_;
    std::vector<std::string> caller_addresses_;
    std::vector<std::string> peer_addresses_;
    std::vector<std::unique_ptr<child_process>> hosts_;
    std::vector<std::int64_t> versions_; ///< latest version read from each running process
};

const std::map<int, int> exactly_one_succeeded{{0, 1}, {4, 2}};

// Guards against a violation of promise P8 when publishers race, responses are lost, the platform
// has an outage and a host is replaced meanwhile: two publishers that both report success, a host
// whose version decreases, or a host that stays behind the version in force.
TEST(racing_publishers, one_wins_and_every_host_follows_through_an_outage)
{
    cluster hosts;
    const auto race = [&hosts](std::int64_t expected) {
        std::vector<std::unique_ptr<child_process>> publishers;
        for (const auto* author : {"ann", "ben", "cid"})
            publishers.push_back(hosts.publish(expected, author));
        return publishers;
    };
    EXPECT_EQ(hosts.exit_codes(race(0)), exactly_one_succeeded);
    ASSERT_TRUE(wait_until([&hosts] { return hosts.all_hosts_have(1); }));

    hosts.platform.control(R"({"outage": true, "lose_answers": 2})");
    const auto outage_began = boot_clock::now();
    const auto publishers = race(1);
    hosts.start(3);
    // The log cannot be read, so the replacement must get the version in force from its peers.
    EXPECT_TRUE(wait_until([&hosts] { return hosts.all_hosts_have(1); }));
    EXPECT_TRUE(wait_until([&] {
        hosts.read_versions();
        return boot_clock::now() - outage_began > seconds{3};
    }));
    hosts.platform.control(R"({"outage": false})");
    EXPECT_EQ(hosts.exit_codes(publishers), exactly_one_succeeded);
    EXPECT_TRUE(wait_until([&hosts] { return hosts.all_hosts_have(2); }));

    // The time is printed for comparison with the target of 2 s; the test does not check it.
    const auto last = hosts.publish(2, "ann");
    ASSERT_TRUE(wait_until([&hosts] { return hosts.all_hosts_have(3); }));
    const auto in_force_at = wall_now_ms();
    const auto history =
        hosts.run_ctl({"--platform", hosts.platform.address(), "history", "--json"});
    const auto& appended = history.at("records").back();
    EXPECT_EQ(appended.at("version"), 3);
    std::cout << "accepted append to in force at " << host_count
              << " hosts: " << in_force_at - appended.at("time_ms").get<wall_ms>() << " ms\n";
}

} // namespace
} // namespace chivewharf::operator_cli::test
