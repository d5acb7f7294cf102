#include "domain_model.h"

#include <cstdio>
#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace chivewharf::ownership {
namespace {

using history = std::vector<std::uint32_t>;

struct run_result {
    std::string violation;
    std::uint64_t starts = 0;
    std::uint64_t final_answers = 0;
};

run_result run(std::uint32_t hosts, bool calm, const history& operations,
               removed_guard removed = removed_guard::none)
{
    domain_model model{hosts, calm, removed};
    for (const auto operation : operations)
        model.step(operation);
    return {model.violation(), model.starts(), model.final_answers()};
}

history make_history(std::uint64_t seed, std::size_t length)
{
    rng random{seed};
    history operations(length);
    for (auto& operation : operations)
        operation = static_cast<std::uint32_t>(random());
    return operations;
}

// Guards invariants P1, P2 and P4 (no task starts twice or after "not run" was reported; all final
// answers of a submission are equal and complete) under kills, pauses, lost connections, lost and
// duplicated messages and appends, resubmissions and cancellations. The number of histories is set
// in CMakeLists.txt.
TEST(single_start, holds_in_random_histories)
{
    std::uint64_t starts = 0;
    std::uint64_t final_answers = 0;
    const auto operation = rc::gen::noShrink(rc::gen::resize(rc::kNominalSize, // uses all bits
                                                             rc::gen::arbitrary<std::uint32_t>()));
    const auto operations = rc::gen::resize(90, rc::gen::container<history>(operation));
    EXPECT_TRUE(rc::check("no history breaks an invariant", [&] {
        const auto hosts = *rc::gen::inRange<std::uint32_t>(3, 6);
        const auto calm = *rc::gen::arbitrary<bool>();
        const auto observed = run(hosts, calm, *operations);
        starts += observed.starts;
        final_answers += observed.final_answers;
        RC_ASSERT(observed.violation == std::string{});
    }));
    // A model that starts and answers nothing would satisfy every invariant.
    std::printf("starts=%llu final_answers=%llu\n", static_cast<unsigned long long>(starts),
                static_cast<unsigned long long>(final_answers));
    EXPECT_GT(starts, 1000U);
    EXPECT_GT(final_answers, 1000U);
}

class guard_test : public testing::TestWithParam<removed_guard> {};

// Guards against a property test that cannot detect a missing safety check: with each check
// removed, some history must violate an invariant.
TEST_P(guard_test, its_removal_breaks_an_invariant)
{
    constexpr std::uint64_t max_histories = 20'000;
    std::uint64_t seed = 1;
    std::string violation;
    for (; seed <= max_histories && violation.empty(); ++seed)
        violation = run(3 + static_cast<std::uint32_t>(seed % 3), seed % 2 == 0,
                        make_history(seed, 100), GetParam())
                        .violation;
    EXPECT_NE(violation, "");
    std::printf("seed=%llu %s\n", static_cast<unsigned long long>(seed - 1), violation.c_str());
}

INSTANTIATE_TEST_SUITE_P(all, guard_test,
                         testing::Values(removed_guard::lease, removed_guard::quarantine,
                                         removed_guard::read_back, removed_guard::promise,
                                         removed_guard::duplicate_check));

} // namespace
} // namespace chivewharf::ownership
