#include <base/rng.h>
#include <cstdlib>
#include <gtest/gtest.h>
#include <runtime/request_budget.h>
#include <runtime/request_scanner.h>
#include <vector>

namespace chivewharf::runtime::test {
namespace {

struct scan_result {
    reason violation = reason::none;
    std::vector<request_size> requests;
    std::size_t scanned = 0;

    bool operator==(const scan_result&) const = default;
};

/// Scans a text in pieces of 1 to `max_piece` bytes.
scan_result scan(std::string_view text, std::size_t max_piece = 1 << 20, std::uint64_t seed = 1,
                 const scan_limits& limits = {})
{
    rng random{seed};
    request_scanner scanner;
    scan_result result;
    while (!text.empty() && scanner.violation() == reason::none) {
        auto piece = text.substr(0, 1 + random() % max_piece);
        text.remove_prefix(piece.size());
        while (!piece.empty() && scanner.violation() == reason::none) {
            const auto size = scanner.scan(piece, limits);
            result.scanned += size;
            piece.remove_prefix(size);
            if (scanner.at_end() && scanner.violation() == reason::none)
                result.requests.push_back(scanner.size());
        }
    }
    result.violation = scanner.violation();
    return result;
}

const std::string start = "POST /x HTTP/1.1\r\n";
const std::string chunked = start + "Transfer-Encoding: chunked\r\n\r\n";

// Guards against heads that libsoup would take as another request than the scanner, and against
// unbounded heads.
TEST(request_scanner, reports_the_first_violation)
{
    const struct {
        std::string text;
        reason expected;
    } cases[] = {
        {start + "Host: h\r\nA:\r\n\r\n", reason::none},
        {start + "no colon\r\n\r\n", reason::malformed_request},
        {start + "nocolon\r\n\r\n", reason::malformed_request},
        {start + ": empty name\r\n\r\n", reason::malformed_request},
        {start + "A : b\r\n\r\n", reason::malformed_request},
        {start + "A: b\r\n folded\r\n\r\n", reason::malformed_request},
        {start + "A: b\n\r\n", reason::malformed_request},
        {start + "A: b\rc\r\n\r\n", reason::malformed_request},
        {start + std::string{"A: \0\r\n\r\n", 8}, reason::malformed_request},
        {start + "Content-Length: -1\r\n\r\n", reason::malformed_request},
        {start + "Content-Length: 1,1\r\n\r\n", reason::malformed_request},
        {start + "Content-Length: 99999999999999999999\r\n\r\n", reason::malformed_request},
        {start + "content-length: 1\r\nContent-Length:  1 \r\n\r\nx", reason::none},
        {start + "Content-Length: 1\r\nContent-Length: 2\r\n\r\n", reason::ambiguous_length},
        {start + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
         reason::ambiguous_length},
        {start + "Transfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n",
         reason::ambiguous_length},
        {"POST /x HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n", reason::ambiguous_length},
        {start + "Transfer-Encoding: gzip, chunked\r\n\r\n", reason::malformed_request},
        {chunked + "g\r\n", reason::malformed_request},
        {chunked + "\r\n", reason::malformed_request},
        {chunked + "1\nx", reason::malformed_request},
        {chunked + "1\r\nxy", reason::malformed_request},
        {chunked + "fffffffffffffffff\r\n", reason::malformed_request},
        {chunked + "1;" + std::string(300, 'e') + "\r\n", reason::malformed_request},
        {chunked + std::string(300, '0') + "1\r\n", reason::malformed_request},
        {chunked + "1;e=1\r\nx\r\n0\r\nTrailer: t\r\n\r\n", reason::none},
        {"GET " + std::string(70'000, 'a'), reason::header_too_large},
    };
    for (const auto& c : cases) {
        for (const std::size_t piece : {1, 7, 1 << 20})
            EXPECT_EQ(scan(c.text, piece).violation, c.expected) << c.text.substr(0, 80);
    }
}

// Guards against a limit that is off by one, and against a trailer that escapes it.
TEST(request_scanner, applies_the_limits_of_a_head)
{
    const std::string head = start + "A: 1\r\nB: 2\r\n\r\n";
    EXPECT_EQ(scan(head, 9, 1, {head.size(), 3}).violation, reason::none);
    EXPECT_EQ(scan(head, 9, 1, {head.size() - 1, 0}).violation, reason::header_too_large);
    EXPECT_EQ(scan(head, 9, 1, {head.size(), 1}).violation, reason::header_too_large);
    const auto trailer = chunked + "0\r\n" + std::string(100, 'a');
    EXPECT_EQ(scan(trailer, 9, 1, {chunked.size() + 50, 0}).violation, reason::header_too_large);
}

// Guards against a scanner that loses the start of the next request and charges a head as a body.
TEST(request_scanner, follows_pipelined_requests)
{
    const std::string text = "\r\n" + start + "Content-Length: 4\r\n\r\nGET " + chunked +
                             "3\r\nabc\r\n1\r\n\n\r\n0\r\n\r\n" + start + "A:\r\n\r\n";
    for (const std::size_t piece : {1, 3, 1 << 20}) {
        const auto result = scan(text, piece, 5);
        EXPECT_EQ(result.violation, reason::none);
        EXPECT_EQ(result.scanned, text.size());
        ASSERT_EQ(result.requests.size(), 3U);
        EXPECT_EQ(result.requests[0].body_bytes, 4U);
        EXPECT_EQ(result.requests[1].body_bytes, 4U);
        EXPECT_EQ(result.requests[1].chunks, 2U);
        EXPECT_EQ(result.requests[2].lines, 3U);
    }
}

// Fuzz: guards against results that depend on how the bytes were split, and against state that
// grows or hangs. A long run: --gtest_repeat with CHIVEWHARF_FUZZ_SEED.
TEST(request_scanner, fuzz_gives_the_same_result_for_every_split)
{
    const char* chosen = std::getenv("CHIVEWHARF_FUZZ_SEED");
    rng random{chosen == nullptr ? 20261204 : std::stoull(chosen)};
    const std::string parts[] = {"\r\n",
                                 "\r",
                                 "\n",
                                 ":",
                                 " ",
                                 "A",
                                 "0",
                                 "1\r\nx\r\n",
                                 "Content-Length: 3\r\n",
                                 "Transfer-Encoding: chunked\r\n",
                                 "POST /x HTTP/1.1\r\n",
                                 "abc",
                                 ";e",
                                 "\r\n\r\n",
                                 std::string(1, '\0'),
                                 "\xff"};
    for (int i = 0; i < 5000; ++i) {
        std::string text = random() % 4 == 0 ? "" : random() % 2 == 0 ? start : chunked;
        for (auto n = random() % 20; n > 0; --n)
            text += parts[random() % std::size(parts)];
        const auto whole = scan(text);
        EXPECT_EQ(scan(text, 1), whole) << text;
        EXPECT_EQ(scan(text, 5, random()), whole) << text;
        EXPECT_LE(whole.scanned, text.size());
    }
}

request_size lines(std::size_t count)
{
    return {4 * count, count, 0, 0};
}

// Guards against refusals of small requests while larger ones hold the memory.
TEST(request_budget, refuses_the_largest_and_newest_first)
{
    const auto large = request_budget::cost(lines(4000));
    request_budget budget{3 * large};
    const auto small = budget.open();
    budget.charge(small, request_budget::cost(lines(10)), true);
    const auto running = budget.open();
    budget.charge(running, large + 1, false);
    const auto older = budget.open();
    budget.charge(older, large, true);
    EXPECT_EQ(budget.victim(small), 0U);
    const auto newer = budget.open();
    budget.charge(newer, large, true);
    EXPECT_EQ(budget.victim(small), newer);
    budget.refuse(newer);
    EXPECT_EQ(budget.victim(small), 0U) << "the memory of a refused request is about to be freed";
    budget.close(newer);
    EXPECT_EQ(budget.victim(small), 0U);
}

// Guards against requests that arrive faster than the memory of refused ones is freed.
TEST(request_budget, bounds_memory_that_is_not_freed_yet)
{
    const auto large = request_budget::cost(lines(4000));
    request_budget budget{10 * large};
    std::size_t peak = 0;
    for (int i = 0; i < 1000; ++i) {
        const auto connection = budget.open();
        for (const std::size_t part : {2000, 4000}) {
            budget.charge(connection, request_budget::cost(lines(part)), true);
            while (const auto victim = budget.victim(connection)) {
                budget.refuse(victim);
                // Only the request that is being read is freed at once.
                if (victim == connection)
                    budget.close(connection);
            }
        }
        peak = std::max(peak, budget.used());
    }
    EXPECT_LE(peak, 14 * large);
}

// Guards against a sum that drifts, which would refuse everything or nothing after a while.
TEST(request_budget, counts_what_is_open)
{
    rng random{20261204};
    request_budget budget{1 << 20};
    std::vector<std::uint64_t> open;
    for (int i = 0; i < 2000; ++i) {
        open.push_back(budget.open());
        const auto one = open[random() % open.size()];
        budget.charge(one, random() % 100'000, true);
        if (random() % 2 == 0)
            budget.refuse(one);
        if (random() % 2 == 0)
            budget.close(one);
    }
    for (const auto one : open)
        budget.close(one);
    EXPECT_EQ(budget.used(), 0U);
    EXPECT_EQ(budget.victim(1), 0U);
}

} // namespace
} // namespace chivewharf::runtime::test
