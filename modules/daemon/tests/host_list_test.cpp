#include <daemon/host_list.h>
#include <gtest/gtest.h>

namespace chivewharf::daemon {
namespace {

// Guards against a process that ends because a field of the platform's list has another type: the
// JSON library throws for it, and nothing catches that in the main loop.
TEST(host_list, entries_with_fields_of_another_type_are_left_out)
{
    const auto list = decode_host_list(
        R"({"as_of_ms":7,"hosts":[{"name":5,"role":"worker"},{"name":"w","role":["worker"]},7,null,
            {"name":"a","role":"worker","state":null},{"role":"worker"},
            {"name":"b","role":"worker","state":"leaving"},
            {"name":"c","role":"entry","domain":"d","address":"10.0.0.1:1","later":{}}]})");
    ASSERT_TRUE(list) << list.error();
    const std::vector<listed_host> expected{{"b", "worker", "leaving", "", ""},
                                            {"c", "entry", "", "d", "10.0.0.1:1"}};
    EXPECT_EQ(list->hosts, expected);
    EXPECT_EQ(list->as_of, 7);
}

TEST(host_list, replies_that_are_no_list_are_errors)
{
    for (const char* body : {"", "[]", "{}", R"({"hosts":{}})", "\xff", R"({"hosts":[)"})
        EXPECT_FALSE(decode_host_list(body)) << body;
    const auto list = decode_host_list(R"({"hosts":[],"as_of_ms":"now"})");
    ASSERT_TRUE(list);
    EXPECT_EQ(list->as_of, std::nullopt);
}

} // namespace
} // namespace chivewharf::daemon
