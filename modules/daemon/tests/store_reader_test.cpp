#include <daemon/store_reader.h>
#include <gtest/gtest.h>
#include <runtime/timer.h>
#include <testing/support/after.h>

namespace chivewharf::daemon {
namespace {

using testing_support::after;

/// Answers each read without records after the time that the read may wait, and counts the reads.
class empty_store final : public fleet::store_port {
public:
    void read(fleet::store_topic topic, const fleet::topic_follower::request& /*request*/,
              duration wait, std::function<void(fleet::store_reply)> reply) override
    {
        ++reads[static_cast<std::size_t>(topic)];
        ++open;
        after(wait, [this, reply = std::move(reply)] {
            --open;
            fleet::store_reply answer;
            answer.answered = true;
            reply(answer);
        });
    }
    void announce(const wire::host_record& /*self*/,
                  std::function<void(std::optional<std::uint64_t>)> reply) override
    {
        after(duration{0}, [reply = std::move(reply)] { reply(7); });
    }

    std::array<int, enum_count<fleet::store_topic>> reads{};
    int open = 0; ///< number of reads that have not been answered
};

class no_workers final : public fleet::worker_port {
public:
    void start(fleet::start_order, std::function<void(const fleet::order_reply&)>) override {}
    void stop(fleet::stop_order, std::function<void(const fleet::order_reply&)>) override {}
    void poll_status(fleet::status_request, std::function<void(fleet::status_reply)>) override {}
};

class no_peers final : public fleet::peer_port {
public:
    void send(const std::string&, const wire::message&) override {}
    void drop(const std::string&) override {}
};

class no_callers final : public fleet::caller_port {
public:
    void answer(std::uint64_t, fleet::job_answer, duration) override {}
    std::size_t report_departures() override { return 0; }
};

/// Answers the reads of the operators' topic with the given replies, as far as they are released,
/// and otherwise without records.
class scripted_store final : public fleet::store_port {
public:
    explicit scripted_store(std::vector<fleet::store_reply> replies) : replies_{std::move(replies)}
    {
    }
    void read(fleet::store_topic topic, const fleet::topic_follower::request& request,
              duration /*wait*/, std::function<void(fleet::store_reply)> reply) override
    {
        fleet::store_reply answer;
        answer.answered = true;
        answer.end = request.offset;
        const bool scripted = topic == fleet::store_topic::configuration && delivered < released;
        if (scripted)
            answer = replies_[delivered];
        ++open;
        after(milliseconds{5}, [this, answer, scripted, reply = std::move(reply)] {
            --open;
            delivered += scripted ? 1 : 0;
            reply(answer);
        });
    }
    void announce(const wire::host_record& /*self*/,
                  std::function<void(std::optional<std::uint64_t>)> reply) override
    {
        after(duration{0}, [reply = std::move(reply)] { reply(7); });
    }

    std::size_t released = 0;  ///< number of replies that may be delivered
    std::size_t delivered = 0; ///< number of replies that were delivered
    int open = 0;

private:
    std::vector<fleet::store_reply> replies_;
};

fleet::store_reply page(std::vector<fleet::keyed_record> records, bool more, std::uint64_t end)
{
    fleet::store_reply reply;
    reply.answered = true;
    reply.more = more;
    reply.end = end;
    reply.records = std::move(records);
    return reply;
}

fleet::operator_key decode_key(const std::string& key)
{
    using kind = fleet::operator_record_kind;
    if (key == "config")
        return {kind::configuration, {}};
    return key.starts_with("drain/") ? fleet::operator_key{kind::drain, key.substr(6)}
                                     : fleet::operator_key{};
}

/// Messages that a host sends to another one.
class recorded_peers final : public fleet::peer_port {
public:
    void send(const std::string&, const wire::message& message) override
    {
        if (const auto* records = std::get_if<wire::store_records>(&message)) {
            for (const auto& record : records->records)
                passed_on.push_back(record);
        }
        if (const auto* report = std::get_if<wire::host_report>(&message))
            reports.push_back(*report);
    }
    void drop(const std::string&) override {}

    std::vector<wire::store_record> passed_on;
    std::vector<wire::host_report> reports;
};

/// A host of domain `d` whose store gives the replies. It is linked to host `b` of its domain.
struct scripted_host {
    explicit scripted_host(std::vector<fleet::store_reply> replies)
        : store{std::move(replies)}, reader{core, store, {{}, {}, decode_key}, metrics, 1}
    {
        core.peer_linked("b", "d", 2, boot_clock::now());
        wire::host_report accepting;
        accepting.accepts_store_records = true;
        core.peer_message("b", accepting, boot_clock::now());
    }

    void run(std::size_t replies)
    {
        const bool first = store.released == 0;
        store.released = replies;
        if (first) {
            ASSERT_TRUE(reader.start([](const runtime::runtime_error&) {}));
        }
        run_until([this, replies] { return store.delivered == replies; });
    }

    void stop()
    {
        reader.stop();
        run_until([this] { return store.open == 0; });
    }

    void run_until(const std::function<bool()>& done)
    {
        auto* loop = g_main_loop_new(nullptr, FALSE);
        runtime::timer check;
        const auto began = boot_clock::now();
        check.every(milliseconds{2}, [&] {
            if (done() || boot_clock::now() - began > seconds{10})
                g_main_loop_quit(loop);
        });
        g_main_loop_run(loop);
        g_main_loop_unref(loop);
    }

    no_workers workers;
    recorded_peers peers;
    no_callers callers;
    metrics::registry metrics;
    fleet::fleet_host core{
        {"a", "d", "10.0.0.1:1", 1, 250},
        {"d", "e"},
        workers,
        peers,
        callers,
        metrics,
        [](const std::string& text) -> result<fleet::cluster_config, std::string> {
            fleet::cluster_config config;
            config.version = 3;
            config.record = text;
            return config;
        },
        boot_clock::now()};
    scripted_store store;
    store_reader reader;
};

using drains = std::vector<std::string>;

// Guards against a host that serves before it has read the drains on a later page, records of other
// writers that count as unreadable, and drains that the other hosts of the domain are not told.
TEST(store_reader, drains_are_known_before_the_configuration)
{
    scripted_host host{{
        page({{"config", "c", 0}, {"wave/1", "x", 1}}, true, 4),
        page({{"drain/e", "any value", 2}, {"drain/nowhere", "{}", 3}}, false, 4),
        page({{"drain/d", "{}", 4}, {"wave/2", std::nullopt, 5}, {"wave/1", "y", 6}}, false, 7),
        page({{"drain/e", std::nullopt, 7}}, false, 8),
    }};
    host.run(4);
    const auto report = host.core.report(boot_clock::now());
    EXPECT_EQ(report.drained_domains, drains{"d"});
    EXPECT_EQ(report.operator_offset, 8U);
    EXPECT_EQ(report.known_config, 3U);
    EXPECT_EQ(host.metrics.counter("chivewharf_bad_records_total", "kind=\"configuration\""), 0U);
    EXPECT_EQ(host.metrics.counter("chivewharf_bad_records_total", "kind=\"config\""), 0U);
    for (const auto& sent : host.peers.reports) {
        if (sent.known_config > 0) {
            EXPECT_GE(sent.operator_offset, 4U);
        }
    }
    std::vector<std::string> keys;
    for (const auto& record : host.peers.passed_on)
        keys.push_back(record.key + (record.deleted ? " deleted" : ""));
    EXPECT_EQ(keys, (std::vector<std::string>{"drain/d", "drain/e deleted"}));
    host.stop();
}

// Guards against a drain that never ends: its key was deleted while the host could not read the
// topic, or before the host's first read, when only another host had told it of the drain.
TEST(store_reader, complete_read_replaces_the_drains)
{
    scripted_host host{{
        page({{"config", "c", 10}}, false, 20),
        page({{"drain/e", "{}", 20}}, false, 21),
        page({}, false, 5), // the topic's records have been deleted
        page({{"config", "c", 10}}, false, 30),
    }};
    wire::host_report told;
    told.operator_offset = 12;
    told.drained_domains = {"d"};
    host.core.peer_message("b", told, boot_clock::now());
    EXPECT_EQ(host.core.report(boot_clock::now()).drained_domains, drains{"d"});
    host.run(2);
    EXPECT_EQ(host.core.report(boot_clock::now()).drained_domains, drains{"e"});
    host.run(4);
    EXPECT_EQ(host.core.report(boot_clock::now()).drained_domains, drains{});
    EXPECT_EQ(host.core.report(boot_clock::now()).operator_offset, 30U);
    host.stop();
}

// Guards against a host without a shard that reads the workers' records too rarely. When it takes
// over a shard while the store is unavailable, it would start tasks on workers that announced
// seconds ago that they are leaving.
TEST(store_reader, host_without_a_shard_polls_the_workers_frequently)
{
    no_workers workers;
    no_peers peers;
    no_callers callers;
    metrics::registry metrics;
    fleet::fleet_host core{{"a", "d", "10.0.0.1:1", 1, 250},
                           {"d"},
                           workers,
                           peers,
                           callers,
                           metrics,
                           [](const std::string&) -> result<fleet::cluster_config, std::string> {
                               return unexpected{std::string{"none"}};
                           },
                           boot_clock::now()};
    empty_store store;
    store_reader reader{core, store, {}, metrics, 1};
    ASSERT_TRUE(reader.start([](const runtime::runtime_error&) {}));
    auto* loop = g_main_loop_new(nullptr, FALSE);
    // Four reads with pauses of 500 ms take 1.5 s; the limit leaves time for a slow machine.
    constexpr int min_reads = 4;
    runtime::timer check;
    const auto began = boot_clock::now();
    constexpr duration limit = seconds{6};
    check.every(milliseconds{20}, [&] {
        const auto read = store.reads[static_cast<std::size_t>(fleet::store_topic::workers)];
        if (read >= min_reads || boot_clock::now() - began > limit)
            g_main_loop_quit(loop);
    });
    g_main_loop_run(loop);
    EXPECT_GE(store.reads[static_cast<std::size_t>(fleet::store_topic::workers)], min_reads);
    // Open reads must be answered before the store is destroyed.
    reader.stop();
    check.every(milliseconds{20}, [&] {
        if (store.open == 0)
            g_main_loop_quit(loop);
    });
    g_main_loop_run(loop);
    g_main_loop_unref(loop);
}

} // namespace
} // namespace chivewharf::daemon
