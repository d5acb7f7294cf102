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
};

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
