#include <dispatch/ownership_service.h>
#include <gtest/gtest.h>

namespace chivewharf::dispatch {
namespace {

// Guards against policy settings that are parsed and validated but not applied: the soak's shorter
// lease was ignored, and an id lifetime above 300 s exceeded the quarantine of a claimed slot.
TEST(ownership_options, follow_the_policy_settings)
{
    settings::policy_settings policy;
    policy.lease = seconds{3};
    policy.lease_renew = seconds{1};
    policy.clock_drift = 0.02;
    policy.claim_margin = milliseconds{200};
    policy.promise = milliseconds{1500};
    policy.promise_renew = milliseconds{400};
    policy.unreadable_log_limit = seconds{60};
    policy.new_host_wait = seconds{90};
    policy.id_lifetime = seconds{900};
    const auto options = ownership_service::options_of(policy);
    EXPECT_EQ(options.lease, policy.lease);
    EXPECT_EQ(options.renew_interval, policy.lease_renew);
    EXPECT_LT(options.renew_retry, options.renew_interval);
    EXPECT_EQ(options.clock_drift, policy.clock_drift);
    EXPECT_EQ(options.claim_margin, policy.claim_margin);
    EXPECT_EQ(options.promise_hold, policy.promise);
    EXPECT_EQ(options.promise_interval, policy.promise_renew);
    EXPECT_GT(options.promise_after, options.renew_interval);
    EXPECT_LT(options.promise_after, options.lease);
    EXPECT_EQ(options.max_log_silence, policy.unreadable_log_limit);
    EXPECT_EQ(options.new_host_wait, policy.new_host_wait);
    EXPECT_EQ(options.id_lifetime, policy.id_lifetime);
}

// Guards against default policy settings that differ from the defaults of `ownership_options`.
TEST(ownership_options, have_the_figures_of_the_design_page_by_default)
{
    const auto options = ownership_service::options_of({});
    const ownership::ownership_options expected;
    EXPECT_EQ(options.lease, expected.lease);
    EXPECT_EQ(options.renew_interval, expected.renew_interval);
    EXPECT_EQ(options.renew_retry, expected.renew_retry);
    EXPECT_EQ(options.promise_hold, expected.promise_hold);
    EXPECT_EQ(options.promise_interval, expected.promise_interval);
    EXPECT_EQ(options.promise_after, expected.promise_after);
    EXPECT_EQ(options.max_log_silence, expected.max_log_silence);
    EXPECT_EQ(options.new_host_wait, expected.new_host_wait);
    EXPECT_EQ(options.id_lifetime, expected.id_lifetime);
}

} // namespace
} // namespace chivewharf::dispatch
