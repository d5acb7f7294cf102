#include <configlog/configlog.h>

#include <functional>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <rapidcheck.h>

namespace chivewharf::configlog {
namespace {

using nlohmann::json;

json demo_settings(std::int64_t marker)
{
    static const json demo =
        settings::load_file(std::string{CHIVEWHARF_SOURCE_DIR} + "/examples/demo.json")->value;
    auto value = demo;
    value["services"][0]["max_queued"] = marker;
    return value;
}

config_record make_record(const std::string& id, std::int64_t version, std::int64_t marker = 1)
{
    return {id, false, version, version - 1, "", "ann", demo_settings(marker), json::object()};
}

config_record make_republication(const std::string& id, const config_record& of)
{
    auto record = of;
    record.original_id = of.record_id;
    record.record_id = id;
    record.republication = true;
    record.based_on = 0;
    return record;
}

template <class Result>
std::string code_of(const Result& r)
{
    return r ? "ok" : std::string{to_name(r.error().code)};
}

// Guards against fields that are lost by encoding and decoding, and against records that one reader
// accepts and another rejects.
TEST(record, round_trip_and_malformed_forms)
{
    const auto record = make_record("a", 3);
    for (const auto& r : {record, make_republication("b", record)}) {
        const auto decoded = decode(encode(r));
        ASSERT_TRUE(decoded) << decoded.error().message;
        EXPECT_EQ(encode(*decoded), encode(r));
        EXPECT_EQ(decoded->publication_id(), "a");
    }
    const auto good = json::parse(encode(record));
    for (const char* patch :
         {R"({"version": "3"})", R"({"version": 0, "based_on": -1})", R"({"based_on": 1})",
          R"({"version": 3.0})", R"({"record_id": ""})", R"({"author": 1})", R"({"x": 1})",
          R"({"settings": []})", R"({"overlays": null})", R"({"republish": 3})", "[]", "7",
          R"({"version": 18446744073709551615, "based_on": 18446744073709551614})"}) {
        auto bad = good;
        bad.merge_patch(json::parse(patch));
        EXPECT_EQ(code_of(decode(bad.dump())), "malformed") << patch;
    }
    EXPECT_EQ(code_of(decode(std::string(max_record_bytes + 1, ' '))), "too_large");
    auto sites = record;
    sites.settings.erase("site");
    sites.overlays = {{"x", {{"site", "x"}}}, {"y", {{"site", "z"}}}};
    ASSERT_EQ(check_content(sites).size(), 1U);
    EXPECT_EQ(check_content(sites)[0].file, "overlays.y");
}

// Guards against readers that accept an outdated, invalid or malformed record, and against a
// republication that restores an older version or changes the content.
TEST(history, verdicts_in_log_order)
{
    auto bad_content = make_record("bad", 2);
    bad_content.settings["services"][0]["max_queued"] = 0;
    auto fixed_change = make_record("moved", 2);
    fixed_change.settings["domains"].push_back({{"name", "two"}, {"region", "r"}});
    fixed_change.settings["key_domains"] = {"two"};
    const auto first = make_record("a", 1);
    const auto second = make_record("b", 2, 5);
    auto forged = make_republication("f", second);
    forged.settings["services"][0]["max_queued"] = 6;
    const std::vector<std::tuple<std::string, verdict, std::int64_t>> steps{
        {encode(make_republication("r0", first)), verdict::stale, 0},
        {encode(make_record("early", 2)), verdict::stale, 0},
        {encode(first), verdict::in_force, 1},
        {encode(first), verdict::duplicate, 1},
        {encode(make_record("late", 1)), verdict::stale, 1},
        {encode(bad_content), verdict::content_invalid, 1},
        {encode(fixed_change), verdict::fixed_setting, 1},
        {"{", verdict::malformed, 1},
        {encode(second), verdict::in_force, 2},
        {encode(make_republication("r1", first)), verdict::stale, 2},
        {encode(make_republication("r2", second)), verdict::republished, 2},
        {encode(second), verdict::duplicate, 2},
        {encode(forged), verdict::content_differs, 2},
    };
    config_history history;
    for (std::size_t i = 0; i < steps.size(); ++i) {
        const auto& [data, decision, version] = steps[i];
        EXPECT_EQ(to_name(history.apply(i, 100, data)->decision), to_name(decision)) << i;
        EXPECT_EQ(history.version(), version) << i;
        EXPECT_FALSE(history.apply(i, 100, data)) << "an offset is applied once";
    }
    EXPECT_EQ(history.in_force()->record.publication_id(), "b");
    EXPECT_EQ(history.in_force()->offset, 10U);
}

// Guards against errors of a reader that starts after the log has removed the record of the
// publication in force: it adopts a losing record that is still in the log, or reports a version
// before it has read to the end.
TEST(history, truncated_log_prefers_the_republished_winner)
{
    const auto winner = make_record("w", 5, 50);
    config_history history;
    history.on_read(0, 7);
    history.apply(7, 1, encode(make_record("loser4", 4, 40)));
    history.apply(8, 1, encode(make_record("loser5", 5, 51)));
    EXPECT_EQ(history.in_force(), nullptr);
    history.apply(9, 1, encode(make_republication("r", winner)));
    history.apply(10, 1, encode(make_republication("old", make_record("o", 4, 39))));
    EXPECT_TRUE(history.has_gap());
    history.caught_up();
    ASSERT_NE(history.in_force(), nullptr);
    EXPECT_EQ(history.in_force()->record.publication_id(), "w");
    EXPECT_EQ(history.apply(11, 1, encode(make_record("gap", 7)))->decision, verdict::stale);
    history.on_read(12, 20);
    EXPECT_EQ(history.version(), 5) << "a gap does not change the version in force";
    history.apply(20, 1, encode(make_record("n", 9)));
    EXPECT_EQ(history.version(), 5);
    history.caught_up();
    EXPECT_EQ(history.version(), 9);
}

// Guards against appending publications that all readers would reject, and against a second
// publication before the result of the first is known.
TEST(publisher, refuses_before_the_append)
{
    config_history history;
    history.apply(0, 1, encode(make_record("a", 1)));
    config_publisher publisher;
    auto record = make_record("b", 9, 2);
    EXPECT_EQ(code_of(publisher.publish(record, 0, history)), "conflict");
    record.settings["site"] = "other";
    EXPECT_EQ(code_of(publisher.publish(record, 1, history)), "ok")
        << "no earlier settings of the other site restrict the change";
    EXPECT_EQ(code_of(publisher.publish(record, 1, history)), "publish_pending");
    publisher = {};
    record.settings = demo_settings(0);
    EXPECT_EQ(code_of(publisher.publish(record, 1, history)), "content_invalid");
    record.settings = demo_settings(1);
    record.settings["entry_hosts"][0]["peer_address"] = "127.0.0.1:1";
    EXPECT_EQ(code_of(publisher.publish(record, 1, history)), "fixed_setting");
    record.settings = demo_settings(1);
    record.author = std::string(max_record_bytes, 'x');
    EXPECT_EQ(code_of(publisher.publish(record, 1, history)), "too_large");
    EXPECT_EQ(publisher.state(), publish_state::idle);
}

// Guards against a publisher that relies on the response to the append instead of the log, retries
// an append too early, or reports a result although the log no longer holds the records that show
// it.
TEST(publisher, resolves_lost_answers_from_the_log)
{
    const auto start = [](config_history& history, config_publisher& publisher) {
        history.apply(0, 1, encode(make_record("a", 1)));
        return *publisher.publish(make_record("b", 0, 2), 1, history);
    };
    const auto feed = [](config_history& h, config_publisher& p, const std::string& data) {
        p.on_entry(*h.apply(h.next_offset(), 1, data));
    };
    {
        config_history history;
        config_publisher publisher;
        const auto data = start(history, publisher);
        publisher.on_append(append_outcome::may_have_been_written);
        EXPECT_FALSE(publisher.retry()) << "the log was not read yet";
        publisher.on_caught_up(history);
        EXPECT_EQ(publisher.retry(), data);
        publisher.on_append(append_outcome::written);
        EXPECT_EQ(publisher.state(), publish_state::reading) << "only the log decides";
        feed(history, publisher, data);
        EXPECT_EQ(publisher.state(), publish_state::published);
        feed(history, publisher, data);
        EXPECT_EQ(publisher.state(), publish_state::published);
    }
    {
        config_history history;
        config_publisher publisher;
        start(history, publisher);
        publisher.on_append(append_outcome::not_written);
        feed(history, publisher, encode(make_record("c", 2)));
        EXPECT_EQ(publisher.state(), publish_state::lost);
    }
    for (const auto& [seen, version, expected] :
         {std::tuple{"b", 2, publish_state::published}, std::tuple{"c", 2, publish_state::lost},
          std::tuple{"c", 3, publish_state::unknown}}) {
        config_history history;
        config_publisher publisher;
        start(history, publisher);
        publisher.on_append(append_outcome::may_have_been_written);
        history.on_read(1, 5);
        publisher.on_gap();
        feed(history, publisher, encode(make_republication("r", make_record(seen, version, 2))));
        EXPECT_EQ(publisher.state(), publish_state::reading);
        history.caught_up();
        publisher.on_caught_up(history);
        EXPECT_EQ(publisher.state(), expected);
    }
}

// Guards against a record that expires from the log, and against all hosts republishing it at once.
TEST(republisher, one_of_240_hosts_republishes)
{
    constexpr wall_ms retention = 86'400'000;
    config_history history;
    history.apply(0, 0, encode(make_record("a", 1)));
    rng random{7};
    std::vector<republisher> hosts(240, republisher{milliseconds{retention}});
    int appends = 0;
    for (wall_ms now = 0; now < retention; now += 1000) {
        std::vector<std::string> sent;
        for (auto& host : hosts) {
            if (auto data = host.poll(now, history, random, "r", "host"))
                sent.push_back(*data);
        }
        EXPECT_TRUE(sent.empty() || now > retention / 2);
        for (const auto& data : sent)
            EXPECT_EQ(history.apply(history.next_offset(), now, data)->decision,
                      verdict::republished);
        appends += static_cast<int>(sent.size());
    }
    EXPECT_GE(appends, 1);
    EXPECT_LE(appends, 3);
    EXPECT_EQ(history.in_force()->record.publication_id(), "a");
}

// Guards against a process that starts without a configuration, adopts an older or invalid record
// from a peer, or keeps a peer's content when the log has different content for the version.
TEST(follower, reconciles_log_and_peers)
{
    config_follower follower{"demo"};
    config_history history;
    EXPECT_FALSE(*follower.on_history(history));
    EXPECT_FALSE(follower.ready());
    EXPECT_TRUE(follower.record_data().empty());
    const auto offer = [&](const config_record& r) {
        return code_of(follower.offer_from_peer(encode(r)));
    };
    auto other_site = make_record("x", 2);
    other_site.settings["site"] = "elsewhere";
    EXPECT_EQ(offer(other_site), "site_missing");
    EXPECT_EQ(offer(make_record("x", 2, 0)), "content_invalid");
    EXPECT_FALSE(follower.ready());
    EXPECT_EQ(offer(make_record("b", 2, 20)), "ok");
    EXPECT_TRUE(follower.ready());
    EXPECT_EQ(offer(make_record("b", 2, 20)), "not_newer");
    EXPECT_FALSE(follower.wants(2));
    EXPECT_TRUE(follower.wants(3));
    auto fixed_change = make_record("x", 3);
    fixed_change.settings["entry_hosts"][0]["peer_address"] = "127.0.0.1:1";
    EXPECT_EQ(offer(fixed_change), "fixed_setting");
    EXPECT_EQ(code_of(follower.offer_from_peer("{")), "malformed");

    history.apply(0, 1, encode(make_record("a", 1)));
    EXPECT_FALSE(*follower.on_history(history));
    EXPECT_EQ(follower.version(), 2);
    history.apply(1, 1, encode(make_record("b", 2, 21)));
    EXPECT_TRUE(*follower.on_history(history));
    EXPECT_EQ(follower.settings().services[0].max_queued, 21);
    EXPECT_EQ(follower.content_conflicts(), 1U);
    EXPECT_FALSE(*follower.on_history(history));
    config_follower other{"demo"};
    EXPECT_TRUE(other.offer_from_peer(follower.record_data()));
    EXPECT_EQ(other.version(), 2);
    config_follower unknown_site{"elsewhere"};
    EXPECT_EQ(code_of(unknown_site.on_history(history)), "site_missing");
    EXPECT_FALSE(unknown_site.ready());
}

// Guards against hosts that together exceed the append rate of the system, and against a share that
// rejects the lease renewals of the design size (240 hosts, one append every 15 s each).
TEST(append_budget, bounds_the_system_and_admits_renewals)
{
    constexpr int hosts = 240;
    const time_point start{};
    std::vector<append_budget> saturated(hosts, append_budget{30, start});
    std::vector<append_budget> renewing(hosts, append_budget{30, start});
    std::uint64_t total = 0;
    for (int s = 0; s <= 600; ++s) {
        for (int h = 0; h < hosts; ++h) {
            for (int i = 0; i < 3; ++i)
                total += saturated[h].take(start + seconds{s}, hosts) ? 1 : 0;
            if (s % 15 == h % 15) {
                EXPECT_TRUE(renewing[h].take(start + seconds{s}, hosts));
            }
        }
    }
    EXPECT_LE(total, 600 * 30 + hosts * 2);
    EXPECT_GE(total, 600 * 30);
    EXPECT_EQ(renewing[0].taken(), 41U);
    EXPECT_GT(saturated[0].refused(), 0U);
    EXPECT_FALSE(saturated[0].take(start, hosts)) << "an earlier clock reading adds no tokens";
}

// Guards against a crash on corrupted records, and against a corrupted record that a follower
// adopts from a peer although a reader of the log would reject it.
TEST(record, mutated_records_never_crash)
{
    rng random{20261204};
    const auto text = encode(make_record("a", 1));
    int accepted = 0;
    for (int round = 0; round < 3000; ++round) {
        auto mutated = text;
        for (auto edits = 1 + random() % 3; edits > 0; --edits)
            mutated.replace(random() % mutated.size(), random() % 3,
                            text.substr(random() % text.size(), random() % 3));
        config_history history;
        config_follower follower{"demo"};
        const bool by_log = history.apply(0, 1, mutated)->decision == verdict::in_force;
        const auto by_peer = follower.offer_from_peer(mutated);
        EXPECT_TRUE(by_log || !by_peer) << mutated;
        accepted += by_log ? 1 : 0;
    }
    EXPECT_GT(accepted, 0);
    EXPECT_LT(accepted, 3000);
}

/// Log that loses responses, duplicates and delays records, removes old records and fails
/// temporarily.
class fake_log {
public:
    struct log_entry {
        std::uint64_t offset;
        wall_ms time;
        std::string data;
    };

    append_outcome append(const std::string& data, wall_ms now, rng& random)
    {
        if (!up)
            return append_outcome::not_written;
        const auto fault = random() % 8;
        if (fault == 0)
            delayed_.push_back(data);
        for (auto copies = fault == 1 ? 2 : (fault == 0 || fault == 2 ? 0 : 1); copies > 0;
             --copies)
            write(data, now);
        return fault < 4 ? append_outcome::may_have_been_written : append_outcome::written;
    }

    void deliver_delayed(wall_ms now)
    {
        for (const auto& data : std::exchange(delayed_, {}))
            write(data, now);
    }

    void remove_older(wall_ms before)
    {
        std::erase_if(entries, [&](const log_entry& l) { return l.time < before; });
    }

    std::uint64_t first() const { return entries.empty() ? next_ : entries.front().offset; }

    bool up = true;
    std::vector<log_entry> entries;
    std::function<void(const log_entry&)> on_write;

private:
    void write(const std::string& data, wall_ms now)
    {
        entries.push_back({next_++, now, data});
        on_write(entries.back());
    }

    std::uint64_t next_ = 0;
    std::vector<std::string> delayed_;
};

/// Processes that share one log, and a reference history that reads every record when it is
/// written.
class simulation {
public:
    static constexpr wall_ms retention = 4000;

    explicit simulation(std::uint64_t seed) : random_(seed), processes_(5)
    {
        log_.on_write = [this](const fake_log::log_entry& l) {
            const auto entry = reference_.apply(l.offset, l.time, l.data);
            if (entry->decision == verdict::in_force)
                ++winners_[entry->version][entry->record_id];
            version_after_[l.offset] = reference_.version();
        };
    }

    void run()
    {
        for (int step = 0; step < 400; ++step) {
            now_ += static_cast<wall_ms>(random_() % 40);
            log_.up = log_.up ? random_() % 40 != 0 : random_() % 5 == 0;
            log_.remove_older(now_ - retention);
            if (random_() % 30 == 0)
                log_.deliver_delayed(now_);
            run_random_action(processes_[random_() % processes_.size()]);
            for (auto& p : processes_)
                check(p);
        }
        log_.up = true;
        log_.deliver_delayed(now_);
        for (int round = 0; round < 60; ++round) {
            for (auto& p : processes_) {
                send(p, p.publisher.retry());
                read(p, 1000);
            }
        }
        for (auto& p : processes_) {
            check(p);
            RC_ASSERT(p.follower.version() == reference_.version());
            RC_ASSERT(p.publisher.state() != publish_state::reading);
        }
    }

    std::int64_t version() const { return reference_.version(); }

private:
    struct process {
        config_history history;
        config_follower follower{"demo"};
        config_publisher publisher;
        republisher periodic_republisher{milliseconds{retention}};
        std::string record_id;
        std::int64_t record_version = 0;
        std::int64_t last_version = 0;
    };

    void run_random_action(process& p)
    {
        switch (random_() % 10) {
        case 0:
            return publish(p);
        case 1:
            return send(p, p.publisher.retry());
        case 2: {
            const auto& peer = processes_[random_() % processes_.size()];
            if (p.follower.wants(peer.follower.version()))
                RC_ASSERT(p.follower.offer_from_peer(peer.follower.record_data()).has_value());
            return;
        }
        case 3:
            if (random_() % 6 == 0)
                p = process{};
            return;
        default:
            read(p, 1 + random_() % 4);
            if (auto data = p.periodic_republisher.poll(now_, p.history, random_,
                                                        "r" + std::to_string(++ids_), "k"))
                log_.append(*data, now_, random_);
        }
    }

    void publish(process& p)
    {
        const auto id = "p" + std::to_string(++ids_);
        auto data = p.publisher.publish(make_record(id, 1, ids_), p.history.version(), p.history);
        if (!data)
            return;
        markers_[id] = ids_;
        p.record_id = id;
        p.record_version = p.history.version() + 1;
        send(p, *data);
    }

    void send(process& p, const std::optional<std::string>& data)
    {
        if (data)
            p.publisher.on_append(log_.append(*data, now_, random_));
    }

    void read(process& p, std::size_t limit)
    {
        if (!log_.up)
            return;
        const auto from = p.history.next_offset();
        p.history.on_read(from, log_.first());
        if (p.history.has_gap())
            p.publisher.on_gap();
        std::size_t applied = 0;
        for (const auto& l : log_.entries) {
            if (l.offset < from || applied == limit)
                continue;
            p.publisher.on_entry(*p.history.apply(l.offset, l.time, l.data));
            ++applied;
        }
        if (applied < limit) {
            p.history.caught_up();
            p.publisher.on_caught_up(p.history);
        }
        RC_ASSERT(p.follower.on_history(p.history).has_value());
    }

    void check(process& p)
    {
        RC_ASSERT(p.follower.version() >= p.last_version);
        p.last_version = p.follower.version();
        const auto next = p.history.next_offset();
        if (!p.history.has_gap() && next > 0)
            RC_ASSERT(p.history.version() == version_after_[next - 1]);
        if (p.follower.ready()) {
            const auto& winner = winners_.at(p.last_version);
            RC_ASSERT(winner.size() == 1U && winner.begin()->second == 1);
            RC_ASSERT(p.follower.settings().services[0].max_queued ==
                      markers_[winner.begin()->first]);
        }
        const auto state = p.publisher.state();
        if (state == publish_state::published || state == publish_state::lost)
            RC_ASSERT((winners_.at(p.record_version).contains(p.record_id)) ==
                      (state == publish_state::published));
        RC_ASSERT(state != publish_state::rejected);
        RC_ASSERT(p.follower.content_conflicts() == 0U);
    }

    rng random_;
    fake_log log_;
    wall_ms now_ = 0;
    std::int64_t ids_ = 0;
    config_history reference_;
    std::map<std::int64_t, std::map<std::string, int>> winners_;
    std::map<std::uint64_t, std::int64_t> version_after_;
    std::map<std::string, std::int64_t> markers_;
    std::vector<process> processes_;
};

// Guards against readers that disagree, a version that decreases or has two contents, and a
// publisher whose result differs from the log, under all fault kinds of the log combined.
TEST(configlog, racing_processes_agree_over_a_faulty_log)
{
    std::int64_t versions = 0;
    EXPECT_TRUE(rc::check("racing processes agree", [&versions](std::uint64_t seed) {
        simulation sim{seed};
        sim.run();
        versions += sim.version();
    }));
    EXPECT_GT(versions, 500);
}

} // namespace
} // namespace chivewharf::configlog
