#include "loop.h"

#include <gtest/gtest.h>
#include <runtime/supervisor.h>

namespace chivewharf::runtime::test {
namespace {

/// Part that fails on demand. It appends `+NAME` to the shared log on each start and `-NAME` on
/// each stop.
class fake_part final : public supervised {
public:
    fake_part(std::string name, std::string& log) : name_{std::move(name)}, log_{log} {}

    std::string name() const override { return name_; }
    result<void, runtime_error> start(std::function<void(runtime_error)> failed) override
    {
        ++starts;
        log_ += '+' + name_;
        if (failing_starts > 0) {
            --failing_starts;
            return unexpected{runtime_error{runtime_errc::bind_failed, "no"}};
        }
        report = std::move(failed);
        return {};
    }
    void stop() override { log_ += '-' + name_; }
    void fail() { report({runtime_errc::io_failed, "broken"}); }

    int starts = 0;
    int failing_starts = 0; ///< number of next starts that fail
    std::function<void(runtime_error)> report;

private:
    std::string name_;
    std::string& log_;
};

class supervisor_test : public testing::Test {
protected:
    supervisor_test()
    {
        root_.add(a_);
        root_.add(b_);
    }

    bool start()
    {
        return root_.start([this](const runtime_error& error) { reported_error_ = error.message; })
            .has_value();
    }

    std::string log_;
    std::string reported_error_;
    fake_part a_{"a", log_};
    fake_part b_{"b", log_};
    supervisor root_{"root", {5, seconds{30}, milliseconds{1}}};
};

// Guards against a part that is started before, or stopped after, a part that it depends on.
TEST_F(supervisor_test, starts_in_order_and_stops_in_reverse)
{
    ASSERT_TRUE(start());
    root_.stop();
    EXPECT_EQ(log_, "+a+b-b-a");
}

// Guards against parts that keep running after the start of a later part has failed.
TEST_F(supervisor_test, stops_what_it_started_when_a_part_does_not_start)
{
    b_.failing_starts = 1;
    EXPECT_FALSE(start());
    EXPECT_EQ(log_, "+a+b-a");
}

// Guards against restarting a part forever that fails every time.
TEST_F(supervisor_test, restarts_a_failing_part_five_times_and_then_gives_up)
{
    ASSERT_TRUE(start());
    for (int restart = 1; restart <= 5; ++restart) {
        b_.fail();
        ASSERT_TRUE(run_until([&] { return b_.starts == 1 + restart; }));
        EXPECT_EQ(reported_error_, "");
    }
    EXPECT_EQ(a_.starts, 1);
    b_.fail();
    EXPECT_EQ(reported_error_, "part b keeps failing: broken");
    EXPECT_TRUE(log_.ends_with("-b-a")) << log_;
}

// Guards against unlimited restarts of a part that fails to start: a failed start counts as a
// failure.
TEST_F(supervisor_test, gives_up_when_restarts_do_not_start)
{
    ASSERT_TRUE(start());
    b_.failing_starts = 100;
    b_.fail();
    ASSERT_TRUE(run_until([this] { return !reported_error_.empty(); }));
    EXPECT_EQ(b_.starts, 6);
}

// Guards against restarting a part that reports a failure after the supervisor was stopped.
TEST_F(supervisor_test, a_failure_reported_after_the_stop_restarts_nothing)
{
    ASSERT_TRUE(start());
    root_.stop();
    b_.fail();
    bool elapsed = false;
    timer delay;
    delay.once(milliseconds{50}, [&elapsed] { elapsed = true; });
    ASSERT_TRUE(run_until([&elapsed] { return elapsed; }));
    EXPECT_EQ(b_.starts, 1);
}

// Guards against a restart that was scheduled before the supervisor was stopped.
TEST_F(supervisor_test, the_stop_cancels_a_pending_restart)
{
    ASSERT_TRUE(start());
    b_.fail();
    root_.stop();
    bool elapsed = false;
    timer delay;
    delay.once(milliseconds{50}, [&elapsed] { elapsed = true; });
    ASSERT_TRUE(run_until([&elapsed] { return elapsed; }));
    EXPECT_EQ(b_.starts, 1);
    EXPECT_EQ(log_, "+a+b-b-a");
}

} // namespace
} // namespace chivewharf::runtime::test
