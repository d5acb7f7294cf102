#include <settings/settings.h>

#include <algorithm>
#include <base/rng.h>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <set>
#include <sstream>

namespace chivewharf::settings {
namespace {

using nlohmann::json;

const std::string examples = std::string{CHIVEWHARF_SOURCE_DIR} + "/examples/";

document example(const char* name)
{
    auto loaded = load_file(examples + name);
    EXPECT_TRUE(loaded) << to_text(loaded.error());
    return loaded ? *loaded : document{};
}

json host_example()
{
    auto value = example("demo-host.json").value;
    value["callers"] = {{"tls_certificate", "/c.pem"}, {"tls_key", "/k.pem"}};
    value["platform"] = {{"address", "127.0.0.1:9"}};
    return value;
}

/// Formats each error as `PATH|VALUE|EXPECTED`.
template <class Result>
std::vector<std::string> errors_of(const Result& parsed)
{
    std::vector<std::string> lines;
    if (!parsed) {
        for (const auto& e : parsed.error())
            lines.push_back(e.key_path + '|' + e.value + '|' + e.expected);
    }
    return lines;
}

struct fault_case {
    const char* patch; ///< JSON pointer to the value to replace
    const char* value; ///< JSON of the new value; empty removes the key
    const char* error; ///< start of the only error, formatted as by `errors_of`
};

void expect_fault(const fault_case& c, json value, bool host)
{
    SCOPED_TRACE(std::string{c.patch} + " = " + c.value);
    const json::json_pointer place{c.patch};
    if (*c.value == '\0')
        value[place.parent_pointer()].erase(place.back());
    else
        value[place] = json::parse(c.value);
    const auto doc = make_document(value, "f");
    const auto lines = host ? errors_of(parse_host(doc)) : errors_of(parse_cluster(doc));
    ASSERT_EQ(lines.size(), 1U) << testing::PrintToString(lines);
    EXPECT_THAT(lines[0], testing::StartsWith(c.error));
}

// Guards against invalid settings that are accepted, reported at the wrong key or reported twice.
TEST(parse, reports_each_kind_of_fault_once)
{
    static constexpr fault_case cluster_cases[] = {
        {"/colour", "1", "colour|1|one of the keys site key_domains"},
        {"/host", "{}", "host|{}|one of the keys"},
        {"/site", "", "site||a value"},
        {"/site", "\"a b\"", "site|\"a b\"|a name"},
        {"/site", "\"\"", "site|\"\"|a name"},
        {"/key_domains", "[]", "key_domains|[]|an array"},
        {"/key_domains/0", "\"mars\"", "key_domains[0]|\"mars\"|the name of an entry in domains"},
        {"/key_domains/1", "\"local\"", "key_domains[1]|\"local\"|each domain once"},
        {"/domains/0/region", "3", "domains[0].region|3|a name"},
        {"/domains/1", R"({"name": "local", "region": "r"})", "domains[1].name|\"local\"|a name t"},
        {"/entry_hosts", "{}", "entry_hosts|{}|an array of objects"},
        {"/entry_hosts/0", "7", "entry_hosts[0]|7|an object"},
        {"/entry_hosts/0/domain", "\"mars\"",
         "entry_hosts[0].domain|\"mars\"|the name of an entry"},
        {"/entry_hosts/0/weight", "0", "entry_hosts[0].weight|0|a number from 0.001 to 1000"},
        {"/entry_hosts/0/peer_address", "\"localhost:80\"",
         "entry_hosts[0].peer_address|\"localhost:80\"|an IP address"},
        {"/entry_hosts/0/peer_address", "\"127.0.0.1:0\"",
         "entry_hosts[0].peer_address|\"127.0.0.1:0\"|an IP address"},
        {"/entry_hosts/0/peer_address", "\"fd00::1:80\"",
         "entry_hosts[0].peer_address|\"fd00::1:80\"|an IP address"},
        {"/entry_hosts/0/peer_address", "\"127.0.0.1:65536\"",
         "entry_hosts[0].peer_address|\"127.0.0.1:65536\"|an IP address"},
        {"/customers/0/token_sha256", "\"demo-token\"",
         "customers[0].token_sha256|(hidden)|the SHA-256"},
        {"/customers/0/rate", "-1", "customers[0].rate|-1|a number from 0.001"},
        {"/customers/0/max_running", "1.5", "customers[0].max_running|1.5|an integer from 1"},
        {"/customers/0/max_running", "18446744073709551615",
         "customers[0].max_running|18446744073709551615|an integer from 1"},
        {"/customers/0/min_share", R"({"plugdesk": 2})", "customers[0].min_share.plugdesk|2|a nu"},
        {"/customers/0/max_share", R"({"x": 0.5})", "customers[0].max_share|\"x\"|the name of an"},
        {"/customers/0/max_share", "[]", "customers[0].max_share|[]|an object"},
        {"/services/0/idempotent", "\"yes\"", "services[0].idempotent|\"yes\"|true or false"},
        {"/services/0/idempotent", "", "services[0].idempotent||a value"},
        {"/services/0/default_deadline_ms", "40000",
         "services[0].default_deadline_ms|40000|at most max_deadline_ms"},
        {"/upstreams/3/slots", "0", "upstreams[3].slots|0|an integer from 1 to 1024"},
        {"/upstreams/3/slots", "null", "upstreams[3].slots|null|an integer"},
        {"/upstreams/3/slotz", "1", "upstreams[3].slotz|1|one of the keys name address"},
        {"/upstreams/3/name", "\"plugdesk-1\"", "upstreams[3].name|\"plugdesk-1\"|a name that no"},
        {"/upstreams/3/address", "\"127.0.0.1:8101\"",
         "upstreams[3].address|\"127.0.0.1:8101\"|an address that no"},
        {"/upstreams/3/service", "\"x\"",
         "upstreams[3].service|\"x\"|the name of an entry in serv"},
        {"/platform/address", "", "platform.address||a value"},
        {"/platform", "5", "platform|5|an object"},
        {"/callers/max_tasks", "0", "callers.max_tasks|0|an integer from 1"},
        {"/policy/clock_drift", "1", "policy.clock_drift|1|a number from 0 to 0.1"},
        {"/policy/lease_renew_ms", "45000", "policy.lease_renew_ms|45000|less than lease_ms"},
        {"", "[]", "|[]|an object"},
    };
    for (const auto& c : cluster_cases)
        expect_fault(c, example("demo.json").value, false);

    static constexpr fault_case host_cases[] = {
        {"/host/peer_key", "\"short\"", "host.peer_key|(hidden)|a secret"},
        {"/host/peer_key", "12", "host.peer_key|(hidden)|a secret"},
        {"/host/caller_address", "\"h:1\"", "host.caller_address|\"h:1\"|an IP address"},
        {"/host/drain_notice_ms", "-1", "host.drain_notice_ms|-1|an integer from 0"},
        {"/host/log_directory", "\"\"", "host.log_directory|\"\"|a path"},
        {"/callers/tls_key", "", "callers||tls_certificate and tls_key together"},
        {"/platform/address", "\"1.2.3:4\"", "platform.address|\"1.2.3:4\"|an IP"},
        {"/host", "", "host||a value"},
        {"/domains", "[]", "domains|[]|one of the keys site host"},
    };
    for (const auto& c : host_cases)
        expect_fault(c, host_example(), true);
}

// Guards against accepting values that are invalid only in combination, such as the shares of all
// customers, and against stopping at the first error.
TEST(parse, reports_all_faults_of_a_document_at_once)
{
    auto value = example("demo.json").value;
    auto second = value["customers"][0];
    second["min_share"] = {{"plugdesk", 0.7}};
    second["max_share"] = {{"plugdesk", 0.6}};
    value["customers"].push_back(second);
    value["customers"][0]["min_share"] = {{"plugdesk", 0.7}};
    value["operators"][0]["token_sha256"] = second["token_sha256"];
    value["upstreams"][0]["slots"] = "8";
    EXPECT_THAT(
        errors_of(parse_cluster(make_document(value, "f"))),
        testing::UnorderedElementsAre(
            "upstreams[0].slots|\"8\"|an integer from 1 to 1024",
            "customers[1].name|\"demo\"|a name that no earlier element has",
            "customers[1].token_sha256|\"(hidden)\"|a token that nobody else has",
            "operators[0].token_sha256|\"(hidden)\"|a token that nobody else has",
            "customers[1].min_share|0.7|at most max_share of the service",
            "customers[1].min_share|0.7|a sum of at most 1 over all customers of a service"));
}

// Guards against a parser that silently keeps the last value of a duplicate key, reports wrong
// paths inside arrays, or recurses without limit.
TEST(document, rejects_duplicate_keys_and_bad_syntax)
{
    const auto lines = [](std::string_view text) { return errors_of(parse_text(text, "f")); };
    EXPECT_THAT(lines(R"({"a": [1, {"b": 1, "b": 2}], /* x */ "a": 3} // end)"),
                testing::ElementsAre("a[1].b|\"b\"|each key once in an object",
                                     "a|\"a\"|each key once in an object"));
    EXPECT_THAT(lines(std::string(100000, '[')), testing::SizeIs(1));
    const auto nested = std::string(33, '[') + std::string(33, ']');
    EXPECT_THAT(lines(nested), testing::ElementsAre(testing::EndsWith("nesting of at most 32")));
    for (const char* text :
         {"", "{", "{\"a\": 1e999}", "{\"a\": \"\xff\"}", "{\"a\": 1,}", "{} {}"})
        EXPECT_THAT(lines(text), testing::ElementsAre(testing::EndsWith("JSON with comments")));
    EXPECT_EQ(load_file("/nonexistent").error()[0].expected, "a readable file");
}

// Guards against deviations from RFC 7396 in replacing values, removing keys and replacing arrays,
// and against errors that name the wrong one of two files.
TEST(document, merges_and_attributes_errors_to_the_defining_file)
{
    const auto base = *parse_text(R"({"a": {"b": 1, "c": [1, 2]}, "d": 1, "e": 1})", "base");
    const auto site = *parse_text(R"({"a": {"c": [3], "x": null}, "d": null, "e": {"f": 1}})", "s");
    EXPECT_EQ(canonical_text(merge(base, site).value), R"({"a":{"b":1,"c":[3]},"e":{"f":1}})");

    auto demo = example("demo.json");
    demo.sources[0].file = "base";
    const auto overlay = *parse_text(R"({"upstreams": [{"name": "w", "slots": 0}],
                                         "policy": {"restore_successes": 0}})",
                                     "s");
    demo.value["services"][0]["max_queued"] = 0;
    std::set<std::string> attributed;
    const auto parsed = parse_cluster(merge(demo, overlay));
    for (const auto& e : parsed.error())
        attributed.insert(e.file + ':' + e.key_path);
    EXPECT_THAT(attributed,
                testing::ElementsAre("base:services[0].max_queued", "s:policy.restore_successes",
                                     "s:upstreams[0].address", "s:upstreams[0].domain",
                                     "s:upstreams[0].service", "s:upstreams[0].slots"));
}

// Guards against examples that no longer parse, and against a base file whose defaults or keys
// differ from those in the code.
TEST(examples, parse_and_document_the_defaults)
{
    const auto base = example("base.json");
    for (const auto* site : {"coldquay", "zornitsa"}) {
        const auto parsed =
            parse_cluster(merge(base, example((std::string{site} + ".json").c_str())));
        ASSERT_TRUE(parsed) << to_text(parsed.error());
        EXPECT_EQ(parsed->site, site);
        EXPECT_EQ(parsed->entry_hosts.size(), 7U);
        EXPECT_EQ(parsed->domains.size(), 3U);
        EXPECT_EQ(parsed->policy, policy_settings{});
        EXPECT_EQ(parsed->callers, caller_settings{});
    }
    for (const auto* key : {"policy", "callers"}) {
        auto demo = example("demo.json").value;
        demo[key]["unknown"] = 0;
        std::istringstream words{parse_cluster(make_document(demo, "f")).error()[0].expected};
        std::set<std::string> known{std::istream_iterator<std::string>{words}, {}};
        for (const auto* word : {"one", "of", "the", "keys"})
            known.erase(word);
        std::set<std::string> documented;
        for (const auto& item : base.value[key].items())
            documented.insert(item.key());
        EXPECT_EQ(documented, known);
    }

    const auto demo = parse_cluster(example("demo.json"));
    const auto host = parse_host(example("demo-host.json"));
    ASSERT_TRUE(demo && host);
    EXPECT_TRUE(check_host(*host, *demo, "h").empty());
    EXPECT_EQ(demo->customers[0].token_sha256, sha256("demo-token"));
    EXPECT_EQ(demo->operators[0].token_sha256, sha256("admin-token"));
    EXPECT_EQ(to_text(demo->upstreams[3].address), "127.0.0.1:8104");
    auto mismatched = *host;
    mismatched.site = "x";
    mismatched.domain = "y";
    EXPECT_EQ(check_host(mismatched, *demo, "h").size(), 2U);
    mismatched.name = "z";
    EXPECT_EQ(check_host(mismatched, *demo, "h")[1].key_path, "host.name");
}

// Guards against changes that are not shown to an operator, and against a running process partly
// applying a change that needs a restart.
TEST(diff, names_changes_and_those_that_need_a_restart)
{
    const auto old_doc = example("demo.json").value;
    auto new_doc = old_doc;
    new_doc["upstreams"][1]["slots"] = 9;
    new_doc["upstreams"].erase(0);
    new_doc["domains"].push_back({{"name", "two"}, {"region", "r"}});
    new_doc["key_domains"] = {"local", "two"};
    new_doc["entry_hosts"][0]["peer_address"] = "[::1]:8090";
    std::vector<std::string> paths;
    for (const auto& change : diff(old_doc, new_doc))
        paths.push_back(change.key_path);
    EXPECT_THAT(paths, testing::ElementsAre("domains[two]", "entry_hosts[entry-1].peer_address",
                                            "key_domains", "upstreams[plugdesk-1]",
                                            "upstreams[plugdesk-2].slots"));
    auto reordered = old_doc;
    std::reverse(reordered["upstreams"].begin(), reordered["upstreams"].end());
    EXPECT_EQ(diff(old_doc, reordered).at(0).key_path, "upstreams");
    EXPECT_TRUE(diff(old_doc, old_doc).empty());

    const auto fixed = changes_needing_restart(*parse_cluster(make_document(old_doc, "a")),
                                               *parse_cluster(make_document(new_doc, "b")));
    ASSERT_EQ(fixed.size(), 2U);
    EXPECT_EQ(fixed[0].key_path, "key_domains");
    EXPECT_EQ(fixed[1].new_value, "[::1]:8090");
    const auto host = *parse_host(make_document(host_example(), "h"));
    auto other = host;
    other.drain_notice = seconds{1};
    EXPECT_TRUE(changes_needing_restart(host, other).empty());
    other.peer_key += "x";
    other.platform_address.reset();
    const auto local = changes_needing_restart(host, other);
    ASSERT_EQ(local.size(), 2U);
    EXPECT_EQ(local[0].new_value.dump().find(other.peer_key), std::string::npos);
}

// Guards against crashes and endless loops on corrupted files.
TEST(document, mutated_files_never_crash)
{
    rng random{20261204};
    std::string text = canonical_text(example("demo.json").value);
    int accepted = 0;
    for (int round = 0; round < 3000; ++round) {
        auto mutated = text;
        for (auto edits = 1 + random() % 4; edits > 0; --edits) {
            const auto at = random() % mutated.size();
            if (random() % 2 == 0)
                mutated[at] = static_cast<char>(random());
            else
                mutated.replace(at, random() % 8,
                                text.substr(random() % text.size(), random() % 8));
        }
        const auto parsed = parse_text(mutated, "f");
        if (parsed && parse_cluster(*parsed) && !parse_host(*parsed))
            ++accepted;
    }
    EXPECT_GT(accepted, 0);
    EXPECT_LT(accepted, 3000);

    // Replaces each value of the files in turn by a value of each type.
    const auto types = json::parse(R"([null, true, -1, 1.5, "", [], {}, [[]], {"a": {}}])");
    for (const auto& original : {example("demo.json").value, host_example()}) {
        const auto leaves = original.flatten();
        for (const auto& leaf : leaves.items()) {
            for (const auto& value : types) {
                auto changed = original;
                changed[json::json_pointer{leaf.key()}] = value;
                EXPECT_NO_THROW((void)parse_cluster(make_document(changed, "f"))) << leaf.key();
                EXPECT_NO_THROW((void)parse_host(make_document(changed, "f"))) << leaf.key();
            }
        }
    }
}

// Guards against a budget for requests that is derived from a memory size out of range.
TEST(fleet_settings, memory_is_validated)
{
    const auto parse = [](const json& memory) {
        return parse_fleet(make_document({{"host", "h"},
                                          {"domain", "d"},
                                          {"domains", {"d"}},
                                          {"callers", "127.0.0.1:1"},
                                          {"readiness", "127.0.0.1:2"},
                                          {"peers", "127.0.0.1:3"},
                                          {"store", "127.0.0.1:4"},
                                          {"memory_mb", memory}},
                                         "h"));
    };
    const auto parsed = parse(120);
    ASSERT_TRUE(parsed) << to_text(parsed.error());
    EXPECT_EQ(parsed->memory_mb, 120);
    for (const auto& wrong : {json(-1), json("120"), json(1 << 21)}) {
        const auto refused = parse(wrong);
        ASSERT_FALSE(refused);
        EXPECT_EQ(refused.error().size(), 1U);
    }
}

} // namespace
} // namespace chivewharf::settings
