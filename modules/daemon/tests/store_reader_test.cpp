#include <daemon/store_reader.h>
#include <gtest/gtest.h>
#include <runtime/timer.h>
#include <testing/support/after.h>

namespace chivewharf::daemon {
namespace {

using testing_support::after;

/// Answers reads at once with no news, and counts them.
class quiet_store final : public fleet::store_port {
public:
    void read(fleet::store_topic topic, const fleet::topic_follower::request& /*what*/,
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
    int open = 0; ///< reads that have not been answered
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

// Guards against a host without a shard that reads the workers rarely: when it takes over a shard
// while the store is away, it starts tasks on workers that said seconds ago that they leave.
TEST(store_reader, host_without_a_shard_follows_the_workers_closely)
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
    quiet_store store;
    store_reader reader{core, store, {}, metrics, 1};
    ASSERT_TRUE(reader.start([](const runtime::runtime_error&) {}));
    auto* loop = g_main_loop_new(nullptr, FALSE);
    // Three rounds of a read and a pause of 500 ms, and time for a slow machine.
    constexpr int wanted = 4;
    runtime::timer check;
    const auto began = boot_clock::now();
    constexpr duration limit = seconds{6};
    check.every(milliseconds{20}, [&] {
        const auto read = store.reads[static_cast<std::size_t>(fleet::store_topic::workers)];
        if (read >= wanted || boot_clock::now() - began > limit)
            g_main_loop_quit(loop);
    });
    g_main_loop_run(loop);
    EXPECT_GE(store.reads[static_cast<std::size_t>(fleet::store_topic::workers)], wanted);
    // The reads under way are answered before the store goes.
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
