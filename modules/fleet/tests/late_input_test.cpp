#include "fleet_simulation.h"

#include <gtest/gtest.h>
#include <utility>

namespace chivewharf::fleet {
namespace {

const time_point start{seconds{100}};

wire::job_step long_step(std::uint32_t count)
{
    wire::job_step one;
    one.count = count;
    one.cpu_milli = 6000;
    one.memory_mb = 64;
    one.estimate_ms = 1300;
    return one;
}

fleet_simulation::options two_domains(std::uint64_t seed)
{
    fleet_simulation::options options;
    options.hosts = {3, 2};
    options.seed = seed;
    return options;
}

/// Cuts or restores the paths between the hosts of two domains.
void cut_domains(fleet_simulation& simulation, const std::string& a, const std::string& b, bool cut)
{
    for (const auto& host : simulation.host_names()) {
        for (const auto& other : simulation.host_names()) {
            if (host.starts_with(a) && other.starts_with(b))
                simulation.cut(host, other, cut);
        }
    }
}

// Guards against two runs of a task: a cut holds an order back, its sender gives the owner up and
// the job runs elsewhere, and the owner starts the order when the cut ends.
TEST(late_input, order_that_a_cut_held_back_starts_nothing)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        fleet_simulation simulation{two_domains(seed)};
        simulation.run_for(seconds{3});
        // Jobs of domain 0 go to the owner of domain 1.
        simulation.drain("domain-0", true);
        simulation.run_for(seconds{2});
        cut_domains(simulation, "host-0", "host-1", true);
        const auto before = simulation.starts();
        simulation.submit("a", "host-0-1", {long_step(2)}, milliseconds{1500});
        simulation.resend_to("a", "host-0-2");
        simulation.run_for(milliseconds{300});
        ASSERT_EQ(simulation.starts(), before);
        simulation.drain("domain-0", false);
        simulation.run_for(seconds{3});
        ASSERT_EQ(simulation.starts(), before + 2) << "the second attempt runs in domain 0";
        cut_domains(simulation, "host-0", "host-1", false);
        simulation.run_for(seconds{4});
        EXPECT_EQ(simulation.violations(), std::vector<std::string>{}) << "seed " << seed;
        EXPECT_EQ(simulation.starts(), before + 2);
        EXPECT_EQ(simulation.jobs().at("a").answers.back(), "completed");
    }
}

// Guards against two runs of a task: a host that was frozen wakes, its link to the owner is ready
// before its first tick, and it sends the owner a job whose caller has left, while the caller's
// next attempt is at work in another domain.
TEST(late_input, job_whose_time_is_over_is_not_restored_after_a_pause)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        fleet_simulation simulation{two_domains(seed)};
        simulation.run_for(seconds{3});
        ASSERT_TRUE(simulation.claims("host-0-1").empty());
        const auto before = simulation.starts();
        simulation.submit("a", "host-0-1", {long_step(2)}, milliseconds{1500});
        simulation.resend_to("a", "host-1-1");
        simulation.run_for(milliseconds{150});
        ASSERT_EQ(simulation.starts(), before + 2);
        simulation.freeze("host-0-1", true);
        simulation.run_for(milliseconds{3200});
        ASSERT_EQ(simulation.starts(), before + 4) << "the second attempt runs in domain 1";
        simulation.freeze("host-0-1", false);
        simulation.run_for(seconds{4});
        EXPECT_EQ(simulation.violations(), std::vector<std::string>{}) << "seed " << seed;
        EXPECT_EQ(simulation.starts(), before + 4) << "seed " << seed;
    }
}

/// Keeps a small task on each worker of the host's domain. A worker without tasks is asked before a
/// start whether it has restarted, and the start may have been withdrawn by then.
void occupy_workers(fleet_simulation& simulation, const std::string& host)
{
    wire::job_step small;
    small.count = 4;
    small.cpu_milli = 1000;
    small.max_per_worker = 1;
    small.estimate_ms = 60000;
    simulation.submit("others", host, {small}, seconds{60});
    simulation.run_for(milliseconds{100});
    ASSERT_TRUE(simulation.jobs().at("others").started);
}

/// Freezes a host whose callers wait for two jobs, and resets the connection of one of them. Its
/// caller calls another domain. The other one waits.
void freeze_beside_a_reset(fleet_simulation& simulation, const std::string& frozen)
{
    const auto before = simulation.starts();
    auto step = long_step(2);
    step.estimate_ms = 2500; // longer than the owner waits for a host that is silent
    for (const auto* job : {"left", "stayed"}) {
        simulation.submit(job, frozen, {step}, seconds{8});
        simulation.resend_to(job, "host-1-1");
    }
    simulation.run_for(milliseconds{150});
    ASSERT_EQ(simulation.starts(), before + 4);
    simulation.freeze(frozen, true);
    simulation.run_for(milliseconds{200});
    simulation.reset_connection("left", frozen);
    simulation.run_for(milliseconds{1800});
    ASSERT_EQ(simulation.starts(), before + 6) << "the second attempt runs in domain 1";
    simulation.freeze(frozen, false);
    simulation.run_for(seconds{8});
    EXPECT_EQ(simulation.jobs().at("left").answers, (std::vector<std::string>{"cut", "completed"}));
    EXPECT_EQ(simulation.jobs().at("stayed").answers, std::vector<std::string>{"completed"});
    EXPECT_EQ(simulation.starts(), before + 8) << "the job of the caller who stayed runs again";
}

// Guards against two runs of a task: a host wakes and sends a job again before it has read that the
// caller has left, while the caller's next attempt is at work in another domain. A caller who has
// stayed must get its answer.
TEST(late_input, job_whose_caller_left_during_a_pause_is_not_restored)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        fleet_simulation simulation{two_domains(seed)};
        simulation.run_for(seconds{3});
        ASSERT_TRUE(simulation.claims("host-0-1").empty());
        occupy_workers(simulation, "host-0-2");
        freeze_beside_a_reset(simulation, "host-0-1");
        EXPECT_EQ(simulation.violations(), std::vector<std::string>{}) << "seed " << seed;
    }
}

// Guards against orders that look younger than they are: a reading that was on its way for long
// must not lower the bound, and the bound must not run ahead of a slower clock.
TEST(peer_clock, bound_comes_from_the_reading_that_was_fastest)
{
    peer_clock clock;
    EXPECT_EQ(clock.at_least(start), std::nullopt);
    clock.observe(5000, start);
    EXPECT_EQ(clock.at_least(start + milliseconds{100}), 5099);
    clock.observe(5050, start + milliseconds{900}); // 850 ms on its way
    EXPECT_EQ(clock.at_least(start + seconds{1}), 5999);
    clock.observe(6050, start + seconds{1}); // faster than the first
    EXPECT_EQ(clock.at_least(start + seconds{1}), 6050);
    EXPECT_EQ(clock.at_least(start + seconds{1001}), 6050 + 999'000);
    clock.reset();
    EXPECT_EQ(clock.at_least(start), std::nullopt);
}

// Guards against an order whose job is given more time than its caller has left, and against orders
// of an earlier version, which state no time, that are taken for old.
TEST(order_age, time_on_the_way_is_taken_from_the_time_left)
{
    peer_clock receiver;
    wire::job_order order;
    order.remaining_ms = 300;
    stamp(order, receiver, start);
    EXPECT_EQ(order_age(order, start), std::nullopt);
    receiver.observe(to_ms(start.time_since_epoch()), start);
    stamp(order, receiver, start);
    EXPECT_EQ(order_age(order, start + milliseconds{120}), milliseconds{120});
    EXPECT_EQ(order_age(order, start - milliseconds{1}), duration{0});
    count_transit(order, milliseconds{120});
    EXPECT_EQ(order.remaining_ms, 180U);
    EXPECT_EQ(order.age_ms, 120U);
    count_transit(order, seconds{1});
    EXPECT_EQ(order.remaining_ms, 0U);
}

/// A host that owns the only shard, and records what it sends to other hosts.
struct owner_host_fixture final : public peer_port, public caller_port {
    class no_workers final : public worker_port {
    public:
        void start(start_order, std::function<void(const order_reply&)>) override {}
        void stop(stop_order, std::function<void(const order_reply&)>) override {}
        void poll_status(status_request, std::function<void(status_reply)>) override {}
    };

    owner_host_fixture()
        : host{{"owner", "d", "10.0.0.1:1", 1, 250},
               {"d"},
               workers,
               *this,
               *this,
               metrics,
               [](const std::string&) { return decode_config(); },
               start}
    {
        host.host_listed({"entry", "d", "10.0.0.2:1"}, start);
        host.peer_linked("entry", "d", 2, start);
        sent.clear();
    }

    void send(const std::string& /*to*/, const wire::message& message) override
    {
        sent.push_back(message);
    }
    void drop(const std::string& /*to*/) override {}
    std::size_t report_departures() override
    {
        for (const auto request : departed)
            host.router().caller_left(request, woken);
        return std::exchange(departed, {}).size();
    }
    void answer(std::uint64_t request, job_answer, duration) override
    {
        answered.push_back(request);
    }

    void submit(const std::string& id, std::uint64_t request, duration time_limit, time_point now)
    {
        const auto queue = host.find_queue("h", "/q/" + id, now);
        ASSERT_TRUE(queue);
        job_request job;
        job.job = id;
        job.steps = {long_step(1)};
        EXPECT_FALSE(host.submit(request, **queue, job, time_limit, now));
    }

    /// One queue, whose jobs may wait for ten seconds before they are refused.
    static result<cluster_config, std::string> decode_config()
    {
        cluster_config config;
        config.version = 1;
        queue_config queue;
        queue.name = "q";
        queue.host = "h";
        queue.prefix = "/q/";
        queue.target = seconds{10};
        config.queues.push_back(queue);
        return config;
    }

    no_workers workers;
    metrics::registry metrics;
    std::vector<wire::message> sent;
    std::vector<std::uint64_t> answered; ///< requests
    std::vector<std::uint64_t> departed; ///< requests whose callers have left during a pause
    time_point woken = start + seconds{3};
    fleet_host host;
};

// Guards against a refused order whose sender has no newer reading of the owner's clock, so that it
// is refused again and again.
TEST(late_input, stale_order_is_refused_after_a_report_with_the_clock)
{
    owner_host_fixture fixture;
    wire::job_order order;
    order.job = "a";
    order.attempt = 3;
    order.shard = {"d", 0, 1};
    order.sent_at_ms = to_ms(start.time_since_epoch());
    const auto now = start + max_order_age + milliseconds{1};
    fixture.host.peer_message("entry", order, now);
    ASSERT_EQ(fixture.sent.size(), 2U);
    const auto* report = std::get_if<wire::host_report>(&fixture.sent[0]);
    ASSERT_NE(report, nullptr);
    EXPECT_EQ(report->clock_ms, to_ms(now.time_since_epoch()));
    const auto* refusal = std::get_if<wire::job_result>(&fixture.sent[1]);
    ASSERT_NE(refusal, nullptr);
    EXPECT_EQ(*refusal, (wire::job_result{"a", 3, wire::job_end::stale, 0}));
    EXPECT_EQ(fixture.metrics.counter("chivewharf_stale_orders_total"), 1U);

    // An order of the maximum age is judged as any other.
    order.remaining_ms = static_cast<std::uint32_t>(to_ms(max_order_age)) + 1;
    fixture.host.peer_message("entry", order, start + max_order_age);
    EXPECT_EQ(std::get<wire::job_result>(fixture.sent.back()).end, wire::job_end::not_owner);
}

// Guards against an owner that starts a job, or takes it from the host that waits for it, for a
// caller that has left.
TEST(late_input, order_without_time_left_starts_nothing)
{
    owner_host_fixture fixture;
    wire::job_order order;
    order.job = "a";
    order.attempt = 2;
    order.shard = {"d", 0, 1};
    fixture.host.peer_message("entry", order, start);
    EXPECT_EQ(std::get<wire::job_result>(fixture.sent.back()),
              (wire::job_result{"a", 2, wire::job_end::expired, 0}));
    // The time on the way counts.
    order.remaining_ms = 80;
    order.sent_at_ms = to_ms(start.time_since_epoch());
    fixture.host.peer_message("entry", order, start + milliseconds{80});
    EXPECT_EQ(std::get<wire::job_result>(fixture.sent.back()).end, wire::job_end::expired);
    fixture.host.peer_message("entry", order, start + milliseconds{79});
    EXPECT_EQ(std::get<wire::job_result>(fixture.sent.back()).end, wire::job_end::not_owner);
}

// Guards against a request that joins the attempt of a caller who left during a pause: it was
// answered as lost by the next tick.
TEST(late_input, request_after_a_pause_does_not_join_a_job_whose_time_is_over)
{
    owner_host_fixture fixture;
    auto& host = fixture.host;
    host.config_read("1", start);
    host.tick(start);
    fixture.submit("a", 1, seconds{1}, start);
    fixture.submit("a", 2, seconds{1}, fixture.woken);
    EXPECT_EQ(fixture.answered, (std::vector<std::uint64_t>{1}));
    host.tick(fixture.woken + milliseconds{20});
    EXPECT_EQ(fixture.answered, (std::vector<std::uint64_t>{1}));
}

// Guards against a job that is sent or started for a caller who left during a pause, whichever
// event comes first after it. A job with several callers ends with the last of them.
TEST(late_input, callers_who_left_during_a_pause_are_known_before_the_first_event)
{
    using event = void (*)(owner_host_fixture&);
    const event events[] = {
        [](owner_host_fixture& fixture) { fixture.host.tick(fixture.woken); },
        [](owner_host_fixture& fixture) { fixture.submit("c", 5, seconds{10}, fixture.woken); },
        [](owner_host_fixture& fixture) {
            fixture.host.peer_linked("entry", "d", 2, fixture.woken);
        }};
    for (const auto first : events) {
        owner_host_fixture fixture;
        auto& host = fixture.host;
        host.config_read("1", start);
        host.tick(start);
        fixture.submit("a", 1, seconds{10}, start);
        fixture.submit("b", 2, seconds{10}, start);
        fixture.submit("b", 3, seconds{10}, start);
        fixture.departed = {1, 2};
        first(fixture);
        EXPECT_FALSE(host.router().knows("a"));
        EXPECT_TRUE(host.router().knows("b"));
        EXPECT_TRUE(fixture.departed.empty());
        EXPECT_TRUE(fixture.answered.empty());
    }
}

} // namespace
} // namespace chivewharf::fleet
