#include <csignal>
#include <daemon/fleet_daemon.h>
#include <gtest/gtest.h>
#include <testing/support/after.h>
#include <unistd.h>

namespace chivewharf::daemon {
namespace {

using testing_support::after;

/// A store that never answers.
class silent_store final : public fleet::store_port {
public:
    void read(fleet::store_topic, const fleet::topic_follower::request&, duration,
              std::function<void(fleet::store_reply)>) override
    {
    }
    void announce(const wire::host_record&,
                  std::function<void(std::optional<std::uint64_t>)>) override
    {
    }
};

class no_workers final : public fleet::worker_port {
public:
    void start(fleet::start_order, std::function<void(const fleet::order_reply&)>) override {}
    void stop(fleet::stop_order, std::function<void(const fleet::order_reply&)>) override {}
    void poll_status(fleet::status_request, std::function<void(fleet::status_reply)>) override {}
};

/// What the callers of a host have seen. It outlives the host.
struct caller_record {
    std::vector<fleet::job_answer> answers;
    bool listening = true;
    std::size_t unwritten = 0;             ///< responses that the callers have not received
    std::size_t unwritten_at_stop = 0;     ///< the same when the front end was stopped
    std::optional<duration> write_time;    ///< of a response; none if callers do not read
    std::function<void()> begin_closing{}; ///< called at the start of the planned stop
};

/// Callers without a network, whose jobs wait for an owner.
class recorded_callers final : public caller_front {
public:
    explicit recorded_callers(caller_record& record) : record_{record} {}

    void attach(fleet::fleet_host& core, metrics::registry&) override { core_ = &core; }
    void begin_closing() override
    {
        if (record_.begin_closing)
            record_.begin_closing();
    }
    void stop_listening() override { record_.listening = false; }
    void close_idle() override {}
    std::size_t pending_responses() const override { return open_ + record_.unwritten; }
    std::string name() const override { return "callers"; }
    result<void, runtime::runtime_error> start(std::function<void(runtime::runtime_error)>) override
    {
        core_->config_read("1", boot_clock::now());
        for (std::uint64_t request = 1; request <= 2; ++request)
            submit(request);
        return {};
    }
    void stop() override { record_.unwritten_at_stop = pending_responses(); }

    std::size_t report_departures() override { return 0; }
    void answer(std::uint64_t, fleet::job_answer answer, duration) override
    {
        --open_;
        ++record_.unwritten;
        record_.answers.push_back(answer);
        if (record_.write_time)
            after(*record_.write_time, [&record = record_] { --record.unwritten; });
    }

    void submit(std::uint64_t request)
    {
        const auto now = boot_clock::now();
        const auto queue = core_->find_queue("h", "/q/", now);
        ASSERT_TRUE(queue);
        fleet::job_request job;
        job.job = "job" + std::to_string(request);
        job.steps.emplace_back();
        ++open_;
        ASSERT_FALSE(core_->submit(request, **queue, job, seconds{60}, now));
    }

private:
    caller_record& record_;
    fleet::fleet_host* core_ = nullptr;
    std::size_t open_ = 0;
};

result<fleet::cluster_config, std::string> one_queue(const std::string& record)
{
    fleet::cluster_config config;
    config.version = 1;
    config.record = record;
    fleet::queue_config queue;
    queue.name = "q";
    queue.host = "h";
    queue.prefix = "/q/";
    queue.service = "s";
    queue.target = seconds{60};
    config.queues.push_back(queue);
    return config;
}

struct stop_fixture : testing::Test {
    void SetUp() override
    {
        settings.host = "a";
        settings.domain = "d";
        settings.domains = {"d"};
        settings.callers = settings.readiness = settings.peers = {"127.0.0.1", 0};
        settings.drain_ms = 2800;
    }

    /// Runs a host that is told to stop at once.
    int run_and_stop()
    {
        fleet_adapters adapters;
        adapters.workers = std::make_unique<no_workers>();
        adapters.store = std::make_unique<silent_store>();
        auto front = std::make_unique<recorded_callers>(record);
        callers = front.get();
        adapters.callers = std::move(front);
        adapters.config = one_queue;
        fleet_daemon daemon{settings, std::move(adapters), [] { return std::nullopt; }};
        after(duration{0}, [] { kill(getpid(), SIGTERM); });
        return daemon.run();
    }

    settings::fleet_settings settings;
    caller_record record;
    recorded_callers* callers = nullptr;
};

// Guards against a host that ends its planned stop with requests open, and ends before the
// responses to them have been written.
TEST_F(stop_fixture, open_requests_are_answered_at_the_limit_and_written)
{
    record.write_time = milliseconds{100};
    EXPECT_EQ(run_and_stop(), 0);
    EXPECT_EQ(record.answers,
              (std::vector{fleet::job_answer::not_run, fleet::job_answer::not_run}));
    EXPECT_EQ(record.unwritten_at_stop, 0U);
}

// Guards against connections that are accepted so late that their requests are lost.
TEST_F(stop_fixture, connections_are_refused_before_the_process_ends)
{
    bool listening_late = true;
    record.begin_closing = [this, &listening_late] {
        after(milliseconds{settings.drain_ms - 250},
              [this, &listening_late] { listening_late = record.listening; });
    };
    EXPECT_EQ(run_and_stop(), 0);
    EXPECT_FALSE(listening_late);
}

// Guards against a stop that never ends because a caller does not read its response.
TEST_F(stop_fixture, caller_that_does_not_read_cannot_hold_the_stop)
{
    EXPECT_EQ(run_and_stop(), 0);
    EXPECT_EQ(record.answers.size(), 2U);
    EXPECT_EQ(record.unwritten_at_stop, 2U);
}

// Guards against a request that arrives while the host ends its stop, and is held until the process
// has ended.
TEST_F(stop_fixture, request_that_arrives_at_the_end_is_refused_at_once)
{
    record.begin_closing = [this] {
        after(milliseconds{settings.drain_ms - 80}, [this] { callers->submit(3); });
    };
    EXPECT_EQ(run_and_stop(), 0);
    EXPECT_EQ(record.answers, std::vector(3, fleet::job_answer::not_run));
}

} // namespace
} // namespace chivewharf::daemon
