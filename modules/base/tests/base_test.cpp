#include <base/base.h>

#include <gtest/gtest.h>

namespace chivewharf {
namespace {

// Guards against an enumerator that was added without a name, which would shift all later names.
TEST(enum_names, reason_names_match_their_enumerators)
{
    EXPECT_EQ(to_name(reason::none), "none");
    EXPECT_EQ(to_name(reason::owner_gone), "owner_gone");
    EXPECT_EQ(to_name(reason::internal), "internal");
    EXPECT_EQ(static_cast<std::size_t>(reason::request_memory) + 1, enum_count<reason>);
    for (const auto name : enum_names<reason>::names)
        EXPECT_EQ(to_name(*from_name<reason>(name)), name);
    EXPECT_FALSE(from_name<reason>("no_such_reason"));
}

// Guards against values that would break a log line into extra pairs or lines when parsed.
TEST(log_line, quotes_values_that_would_not_parse_back)
{
    log_line line{"task_sent"};
    line.add("worker", "w-1").add("message", "a b\n\"c\"=\\").add("empty", "").add("count", 3);
    EXPECT_EQ(line.str(),
              R"(event=task_sent worker=w-1 message="a b\x0a\"c\"=\\" empty="" count=3)");
}

// Guards against wrong digests, for example in the settings check. Uses published SHA-256 and HMAC
// test vectors (FIPS 180-2 "abc", RFC 4231 case 2).
TEST(digest, matches_published_vectors)
{
    const auto abc = sha256("abc");
    EXPECT_EQ(to_hex(abc.data(), abc.size()),
              "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    const auto mac = hmac_sha256("Jefe", "what do ya want for nothing?");
    EXPECT_EQ(to_hex(mac.data(), mac.size()),
              "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843");
    EXPECT_TRUE(equal_constant_time(abc, sha256("abc")));
    EXPECT_FALSE(equal_constant_time(abc, sha256("abd")));
}

// Guards against a library update that changes hash values and thus which host is responsible for a
// key. The expected value is the published XXH3 hash of the empty input.
TEST(digest, stable_hash_is_xxh3)
{
    EXPECT_EQ(stable_hash(""), 0x2d06800538d394c2ULL);
}

} // namespace
} // namespace chivewharf
