#include <algorithm>
#include <fleet/fleet.h>
#include <gtest/gtest.h>
#include <memory>
#include <set>
#include <string_view>
#include <wire/frame_codec.h>

namespace chivewharf::fleet {
namespace {

constexpr topic_reader::plan plan{milliseconds{0}, milliseconds{500}};
constexpr duration step = milliseconds{10};
constexpr std::string_view unreadable_mark = "?";
/// Limit of a reply that a host accepts, as for the real store.
constexpr std::size_t max_reply_bytes = std::size_t{8} << 20U;
/// Largest record that the real store accepts.
constexpr std::size_t max_record_bytes = 262144;

/// The hosts of a domain, ranked by their index, that follow one topic of a store in virtual time.
class followed_log {
public:
    struct host {
        std::unique_ptr<topic_reader> reader;
        std::map<std::string, std::string> known;
        std::size_t reads = 0;
        bool running = true;
        bool store_refuses = false;
        bool receives = true; ///< messages of other hosts arrive
    };

    explicit followed_log(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            auto& added = *hosts.emplace_back(std::make_unique<host>());
            added.reader = std::make_unique<topic_reader>(
                store_topic::workers, plan, [&added](const keyed_record& record) {
                    auto& known = added.known[record.key];
                    const bool unreadable =
                        record.value && record.value->starts_with(unreadable_mark);
                    const auto value = unreadable ? "" : record.value.value_or("");
                    const bool changed = std::exchange(known, value) != known;
                    if (unreadable)
                        return relay::deletion;
                    return changed ? relay::record : relay::nothing;
                });
        }
    }

    void append(const std::string& key, const std::string& value)
    {
        log.push_back({key, value, log.size()});
    }

    void run_for(duration time)
    {
        for (const auto end = now + time; now < end; now += step) {
            for (std::size_t i = 0; i < hosts.size(); ++i)
                read_if_due(i);
        }
    }

    std::size_t hosts_that_know(const std::string& key, const std::string& value) const
    {
        return static_cast<std::size_t>(
            std::count_if(hosts.begin(), hosts.end(), [&](const auto& one) {
                const auto found = one->known.find(key);
                return found != one->known.end() && found->second == value;
            }));
    }

    std::vector<std::unique_ptr<host>> hosts;
    std::vector<keyed_record> log;
    time_point now{seconds{100}};
    std::size_t largest_frame = 0;
    std::size_t relayed_bytes = 0; ///< to each other host

private:
    /// Hosts with a smaller index that the others know to run.
    std::size_t rank(std::size_t index) const { return index; }

    store_reply answer(const topic_follower::request& request) const
    {
        store_reply reply;
        reply.answered = true;
        reply.end = log.size();
        if (!request.newest) {
            auto count = log.size() - request.offset;
            if (request.max_records > 0)
                count = std::min(count, request.max_records);
            const auto first = log.begin() + static_cast<std::ptrdiff_t>(request.offset);
            reply.records.assign(first, first + static_cast<std::ptrdiff_t>(count));
            std::size_t bytes = 0;
            for (const auto& record : reply.records)
                bytes += record.key.size() + record.value.value_or("").size();
            if (bytes > max_reply_bytes) {
                reply.answered = false;
                reply.too_large = true;
            }
            return reply;
        }
        std::map<std::string, keyed_record> newest;
        for (const auto& record : log)
            newest.insert_or_assign(record.key, record);
        for (const auto& [key, record] : newest)
            reply.records.push_back(record);
        return reply;
    }

    void read_if_due(std::size_t index)
    {
        auto& reading = *hosts[index];
        if (!reading.running || reading.reader->due(rank(index)) > now)
            return;
        ++reading.reads;
        if (reading.store_refuses) {
            reading.reader->read_failed(milliseconds{500}, now);
            return;
        }
        const auto reply = answer(reading.reader->next());
        if (reply.too_large) {
            reading.reader->reply_too_large(now);
            return;
        }
        for (const auto& message : reading.reader->read_answered(reply, now)) {
            largest_frame = std::max(largest_frame, wire::encode(message).size());
            relayed_bytes += wire::encode(message).size();
            deliver(index, message);
        }
    }

    void deliver(std::size_t from, const wire::store_records& message)
    {
        for (std::size_t i = 0; i < hosts.size(); ++i) {
            if (i != from && hosts[i]->running && hosts[i]->receives)
                hosts[i]->reader->passed_on(message, now);
        }
    }
};

// Guards against reads that grow with hosts times workers: heartbeats of workers change nothing but
// the record itself, and every host used to read all of them.
TEST(topic_reader, one_host_reads_for_its_domain)
{
    followed_log domain{30};
    for (int second = 0; second < 10; ++second) {
        for (int i = 0; i < 20; ++i)
            domain.append("w" + std::to_string(i), "ready");
        domain.append("w0", "change " + std::to_string(second));
        domain.run_for(seconds{1});
        EXPECT_EQ(domain.hosts_that_know("w0", "change " + std::to_string(second)), 30U);
    }
    EXPECT_LE(domain.hosts[0]->reads, 1U + 20U);
    for (std::size_t i = 1; i < domain.hosts.size(); ++i)
        EXPECT_EQ(domain.hosts[i]->reads, 1U) << "host " << i; // the page at its start
}

// Guards against a domain that no longer follows the store after the host that reads it has died.
TEST(topic_reader, next_host_reads_after_the_first_has_fallen_silent)
{
    followed_log domain{10};
    domain.run_for(seconds{2});
    domain.hosts[0]->running = false;
    domain.append("w0", "leaving");
    domain.run_for(plan.pause + topic_reader::standby_delay + 2 * step);
    EXPECT_EQ(domain.hosts_that_know("w0", "leaving"), 9U);
    // The others do not join in: all reads but the second host's are those of the start.
    for (std::size_t i = 2; i < domain.hosts.size(); ++i)
        EXPECT_EQ(domain.hosts[i]->reads, 1U) << "host " << i;
}

// The same while the first host runs, but the store turns it away.
TEST(topic_reader, next_host_reads_while_the_store_refuses_the_first)
{
    followed_log domain{10};
    domain.run_for(seconds{2});
    domain.hosts[0]->store_refuses = true;
    domain.append("w0", "leaving");
    domain.run_for(plan.pause + topic_reader::standby_delay + 2 * step);
    EXPECT_EQ(domain.hosts_that_know("w0", "leaving"), 10U);
}

// Guards against a host that misses a change for good because a message was lost with its link.
TEST(topic_reader, missed_records_are_read_from_the_store)
{
    followed_log domain{3};
    domain.run_for(seconds{2});
    domain.hosts[2]->receives = false;
    domain.append("w0", "leaving");
    domain.run_for(plan.pause + step);
    EXPECT_EQ(domain.hosts_that_know("w0", "leaving"), 2U);
    domain.hosts[2]->receives = true;
    domain.append("w1", "ready");
    domain.run_for(plan.pause + 2 * step);
    EXPECT_EQ(domain.hosts_that_know("w0", "leaving"), 3U);
    EXPECT_EQ(domain.hosts_that_know("w1", "ready"), 3U);
}

// Guards against records that are lost or skipped if a reply holds more than a message may.
TEST(topic_reader, large_reply_is_passed_on_in_several_messages)
{
    followed_log domain{2};
    domain.run_for(seconds{1});
    const auto count = 3 * topic_reader::max_records_per_message + 7;
    for (std::size_t i = 0; i < count; ++i)
        domain.append("w" + std::to_string(i), "ready");
    domain.run_for(plan.pause + step);
    EXPECT_EQ(domain.hosts[1]->known.size(), count);
    EXPECT_EQ(domain.hosts[1]->reads, 1U);
}

// Guards against links that are closed because a message exceeds the size limit of a frame: a few
// large records in one reply were passed on together.
TEST(topic_reader, large_records_are_passed_on_in_frames_within_the_limit)
{
    followed_log domain{2};
    domain.run_for(seconds{1});
    for (int i = 0; i < 24; ++i)
        domain.append("w" + std::to_string(i), std::string(max_record_bytes, 'x'));
    domain.run_for(plan.pause + step);
    EXPECT_EQ(domain.hosts[1]->known.size(), 24U);
    EXPECT_LE(domain.largest_frame, wire::max_frame_bytes);
}

// Guards against an unreadable entry that is written again and again and fills the links between
// hosts: they need to know only that it names no worker.
TEST(topic_reader, unreadable_records_are_passed_on_without_their_value)
{
    followed_log domain{2};
    domain.append("w0", "ready");
    domain.run_for(seconds{1});
    domain.relayed_bytes = 0;
    for (int i = 0; i < 10; ++i) {
        domain.append("w0", std::string{unreadable_mark} + std::string(max_record_bytes / 2, 'x'));
        domain.run_for(plan.pause + step);
    }
    EXPECT_EQ(domain.hosts_that_know("w0", ""), 2U);
    EXPECT_LE(domain.relayed_bytes, 10U * 1024);
}

// Guards against a host that no longer follows the topic because the records that it needs next do
// not fit in a reply.
TEST(topic_reader, reply_that_is_too_large_is_read_in_parts)
{
    followed_log domain{2};
    domain.run_for(seconds{1});
    for (int i = 0; i < 80; ++i)
        domain.append("w" + std::to_string(i), std::string(max_record_bytes, 'x'));
    domain.append("w0", "leaving");
    domain.run_for(seconds{1});
    EXPECT_EQ(domain.hosts_that_know("w0", "leaving"), 2U);
    EXPECT_EQ(domain.hosts[0]->reader->next().max_records, 0U) << "goes on with small reads";
}

// Guards against stale messages that take a host back: a sender that is behind has nothing new.
TEST(topic_reader, messages_of_a_sender_that_is_behind_change_nothing)
{
    followed_log domain{1};
    domain.append("w0", "ready");
    domain.append("w0", "leaving");
    domain.run_for(seconds{1});
    auto& host = *domain.hosts[0];
    host.reader->passed_on({1, 0, 1, {{"w0", 0, false, "ready"}}}, domain.now);
    EXPECT_EQ(host.known.at("w0"), "leaving");
}

} // namespace
} // namespace chivewharf::fleet
