#include <algorithm>
#include <fleet/fleet.h>
#include <gtest/gtest.h>
#include <memory>
#include <set>

namespace chivewharf::fleet {
namespace {

constexpr topic_reader::plan plan{milliseconds{0}, milliseconds{500}};
constexpr duration step = milliseconds{10};

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
                    return std::exchange(known, record.value.value_or("")) != known;
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

private:
    /// Hosts with a smaller index that the others know to run.
    std::size_t rank(std::size_t index) const { return index; }

    store_reply answer(const topic_follower::request& request) const
    {
        store_reply reply;
        reply.answered = true;
        reply.end = log.size();
        if (!request.newest) {
            reply.records.assign(log.begin() + static_cast<std::ptrdiff_t>(request.offset),
                                 log.end());
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
        for (const auto& message :
             reading.reader->read_answered(answer(reading.reader->next()), now))
            deliver(index, message);
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
