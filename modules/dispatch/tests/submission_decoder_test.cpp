#include <dispatch/submission_decoder.h>
#include <gtest/gtest.h>
#include <random>

namespace chivewharf::dispatch {
namespace {

const std::string good = R"({"service":"s","deadline_ms":2000,"tasks":[)"
                         R"({"kind":"k","declared_ms":1.5,"payload":{"a":[1,"x",null]}},)"
                         R"({"payload":true}]})";

std::string with_payload(const std::string& payload)
{
    return R"({"service":"s","tasks":[{"payload":)" + payload + "}]}";
}

// Guards against fields that are ignored or decoded with the wrong unit, and against a deadline
// that the body does not set.
TEST(submission_decoder, reads_every_field)
{
    const auto body = decode_submission(good, {});
    ASSERT_TRUE(body) << body.error().message;
    EXPECT_EQ(body->service, "s");
    EXPECT_EQ(body->deadline, milliseconds{2000});
    ASSERT_EQ(body->tasks.size(), 2U);
    EXPECT_EQ(body->tasks[0].kind, "k");
    EXPECT_EQ(body->tasks[0].declared, std::chrono::microseconds{1500});
    EXPECT_EQ(body->tasks[0].payload, R"({"a":[1,"x",null]})");
    EXPECT_EQ(body->tasks[1].payload, "true");
    EXPECT_FALSE(decode_submission(with_payload("1"), {})->deadline);
}

// Guards against payloads whose numbers or structure are changed by decoding.
TEST(submission_decoder, payloads_keep_their_digits_and_structure)
{
    for (const std::string payload : {"0",
                                      "-0",
                                      "-1",
                                      "1.0",
                                      "1.10",
                                      "-0.0",
                                      "1e2",
                                      "1E+2",
                                      "0.1000000000000000055511151231257827",
                                      "9007199254740993",
                                      "18446744073709551615",
                                      "18446744073709551616",
                                      "-9223372036854775808",
                                      "-9223372036854775809",
                                      "123456789012345678901234567890.5e-3",
                                      R"("")",
                                      R"("a[{,\"\\")",
                                      "[]",
                                      "{}",
                                      "[[],{},[{}]]",
                                      R"({"a":{"b":[]},"c":[1,2]})",
                                      R"(["[","{",",",":"])",
                                      R"({"":"","payload":"x"})",
                                      "null",
                                      "false"}) {
        const auto body = decode_submission(with_payload(payload), {});
        ASSERT_TRUE(body) << payload << ": " << body.error().message;
        EXPECT_EQ(body->tasks.front().payload, payload);
    }
}

// Guards against invalid bodies that are accepted, or refused with a message that does not name the
// fault.
TEST(submission_decoder, refuses_bad_bodies_with_a_message)
{
    const std::string deep(65, '[');
    struct {
        std::string text;
        std::string message;
    } const table[] = {
        {"", "body is not valid JSON at byte 1"},
        {"{", "body is not valid JSON at byte 2"},
        {"nonsense", "body is not valid JSON at byte 2"},
        {good + "x", "body is not valid JSON at byte " + std::to_string(good.size() + 1)},
        {with_payload("\"\xff\""), "body is not valid JSON at byte 37"},
        {with_payload("01"), "body is not valid JSON at byte 37"},
        {"1", "body: found a number, expected an object"},
        {"[]", "body: found an array, expected an object"},
        {"null", "body: found null, expected an object"},
        {"{}", "service: missing"},
        {R"({"tasks":[{"payload":1}]})", "service: missing"},
        {R"({"service":"s"})", "tasks: expected at least one task"},
        {R"({"service":"s","tasks":[]})", "tasks: expected at least one task"},
        {R"({"service":"s","tasks":[{}]})", "tasks[0].payload: missing"},
        {R"({"service":"s","tasks":[{"payload":1},{"kind":"k"}]})", "tasks[1].payload: missing"},
        {R"({"service":"s","tasks":{}})", "tasks: found an object, expected an array"},
        {R"({"service":"s","tasks":1})", "tasks: found a number, expected an array"},
        {R"({"service":"s","tasks":[1]})", "tasks[0]: found a number, expected an object"},
        {R"({"service":"s","tasks":[[]]})", "tasks[0]: found an array, expected an object"},
        {R"({"service":"s","more":1})", "unknown key \"more\""},
        {R"({"service":"s","tasks":[{"payloads":1}]})", "unknown key \"tasks[0].payloads\""},
        {R"({"service":"s","service":"s"})", "duplicate key \"service\""},
        {R"({"service":"s","tasks":[{"payload":1,"payload":2}]})", "duplicate key \"payload\""},
        {with_payload(R"({"a":{"b":1},"a":2})"), "duplicate key \"a\""},
        {R"({"service":7})", "service: found a number, expected a string"},
        {R"({"service":null})", "service: found null, expected a string"},
        {R"({"service":""})",
         "service: expected 1 to 128 printable ASCII characters without space"},
        {R"({"service":"a b"})",
         "service: expected 1 to 128 printable ASCII characters without space"},
        {R"({"service":"s","tasks":[{"kind":"a\r\nb"}]})",
         "tasks[0].kind: expected 1 to 128 printable ASCII characters without space"},
        {R"({"service":")" + std::string(129, 'x') + R"("})",
         "service: expected 1 to 128 printable ASCII characters without space"},
        {R"({"deadline_ms":"1"})",
         "deadline_ms: found a string, expected a positive number of milliseconds"},
        {R"({"deadline_ms":true})",
         "deadline_ms: found a boolean, expected a positive number of milliseconds"},
        {R"({"deadline_ms":[]})",
         "deadline_ms: found an array, expected a positive number of milliseconds"},
        {R"({"deadline_ms":0})", "deadline_ms: 0 is not in (0, 86400000] milliseconds"},
        {R"({"deadline_ms":-5})", "deadline_ms: -5 is not in (0, 86400000] milliseconds"},
        {R"({"deadline_ms":86400001})",
         "deadline_ms: 86400001 is not in (0, 86400000] milliseconds"},
        {R"({"service":"s","tasks":[{"declared_ms":1e300}]})",
         "tasks[0].declared_ms: 1e300 is not in (0, 86400000] milliseconds"},
        {with_payload(deep), "tasks[0].payload: nested deeper than 64 levels"},
    };
    for (const auto& row : table) {
        const auto body = decode_submission(row.text, {});
        ASSERT_FALSE(body) << row.text;
        EXPECT_EQ(body.error().message, row.message) << row.text;
        EXPECT_EQ(body.error().cause, reason::malformed_request) << row.text;
    }
}

// Guards against submissions with more tasks than the limit, and against refusing one with exactly
// that many.
TEST(submission_decoder, limits_the_number_of_tasks)
{
    const std::string two = R"({"service":"s","tasks":[{"payload":1},{"payload":2}]})";
    EXPECT_TRUE(decode_submission(two, {2}));
    const auto body = decode_submission(two, {1});
    ASSERT_FALSE(body);
    EXPECT_EQ(body.error().cause, reason::too_many_tasks);
    EXPECT_EQ(body.error().message, "tasks: more than 1 tasks");
}

// Guards against malformed input that crashes the process; run it with the sanitizers as well.
TEST(submission_decoder, mutated_bodies_decode_or_are_refused_with_a_message)
{
    constexpr unsigned seed = 20261204;
    const std::string alphabet = "{}[]\",:\\0123456789.eE+-tfnu \xc3\xff";
    std::mt19937 random{seed};
    const auto below = [&random](std::size_t n) { return random() % n; };
    for (int round = 0; round < 20000; ++round) {
        auto text = good;
        for (auto changes = 1 + below(6); changes > 0 && !text.empty(); --changes) {
            const auto at = below(text.size());
            switch (below(4)) {
            case 0:
                text[at] = alphabet[below(alphabet.size())];
                break;
            case 1:
                text.erase(at, 1 + below(8));
                break;
            case 2:
                text.insert(at, text.substr(below(text.size()), below(20)));
                break;
            default:
                text.insert(at, 1, alphabet[below(alphabet.size())]);
            }
        }
        const auto body = decode_submission(text, {});
        if (!body) {
            ASSERT_FALSE(body.error().message.empty()) << "seed " << seed << ": " << text;
            continue;
        }
        for (const auto& task : body->tasks)
            ASSERT_TRUE(decode_submission(with_payload(task.payload), {}))
                << "seed " << seed << ": " << text << " gave " << task.payload;
    }
}

} // namespace
} // namespace chivewharf::dispatch
