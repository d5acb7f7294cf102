#include <upstream/upstream.h>

#include <algorithm>
#include <base/digest.h>
#include <cmath>
#include <deque>
#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <rapidcheck/gtest.h>

namespace chivewharf::upstream {
namespace {

const std::string service = "plugdesk";
constexpr duration run_time = milliseconds{50};
constexpr duration step_time = milliseconds{20};

/// Entry hosts of one domain that exchange slot messages over links with delay and loss.
class domain {
public:
    domain(int host_count, int worker_count, std::uint64_t seed) : random(seed)
    {
        for (int i = 0; i < host_count; ++i)
            members.push_back({"e" + std::to_string(i), 1.0, true});
        for (const auto& m : members) {
            auto& h = hosts.emplace_back(std::make_unique<host>(m.host));
            for (int w = 0; w < worker_count; ++w) {
                const auto name = "w" + std::to_string(w);
                EXPECT_TRUE(h->pool.put({name, name, service, 4, 60}));
            }
            h->sharing.set_members(now, members);
        }
    }

    struct task {
        worker_id worker;
        time_point end;
    };
    struct host {
        explicit host(std::string host_name)
            : name(std::move(host_name)), sharing(pool, name, stable_hash(name))
        {
        }
        std::string name;
        worker_pool pool;
        slot_sharing sharing;
        std::vector<task> tasks;
        std::uint32_t queued = 0;
    };
    struct packet {
        time_point arrives;
        std::string from;
        outgoing_slot_message content;
    };

    /// Advances the time by one step: ends tasks, delivers messages, starts queued tasks and calls
    /// `tick` on every host.
    void step()
    {
        now += step_time;
        for (auto& h : hosts)
            end_tasks(*h);
        deliver();
        for (auto& h : hosts) {
            start_tasks(*h);
            h->sharing.set_backlog(service, h->queued);
            for (auto& message : h->sharing.tick(now, random))
                send(h->name, std::move(message));
        }
    }

    void start_tasks(host& h)
    {
        while (h.queued > 0) {
            const auto deadline = now + seconds{5};
            const auto id = h.pool.choose(now, service, run_time, deadline, random);
            if (!id)
                return;
            h.pool.task_started(*id);
            h.tasks.push_back({*id, slow ? now + seconds{4} + uniform_duration(random, seconds{1})
                                         : now + run_time});
            --h.queued;
        }
    }

    void end_tasks(host& h)
    {
        std::erase_if(h.tasks, [&](const task& t) {
            if (t.end <= now)
                h.pool.task_ended(t.worker, now, task_outcome::ok, run_time, run_time);
            return t.end <= now;
        });
    }

    void send(const std::string& from, outgoing_slot_message message)
    {
        ++messages;
        if (uniform(random) >= loss)
            in_flight.push_back({now + uniform_duration(random, delay), from, std::move(message)});
    }

    void deliver()
    {
        std::vector<packet> due;
        std::erase_if(in_flight, [&](packet& p) {
            if (p.arrives <= now)
                due.push_back(p);
            return p.arrives <= now;
        });
        for (const auto& p : due) {
            auto& to = *find(p.content.to);
            if (const auto* request = std::get_if<slot_request>(&p.content.message))
                send(to.name, {p.from, to.sharing.on_request(now, p.from, *request)});
            else if (const auto* grant = std::get_if<slot_grant>(&p.content.message))
                to.sharing.on_grant(now, p.from, *grant, random);
            else
                to.sharing.on_return(now, p.from, std::get<slot_return>(p.content.message));
        }
    }

    host* find(const std::string& name)
    {
        return std::find_if(hosts.begin(), hosts.end(),
                            [&](const auto& h) { return h->name == name; })
            ->get();
    }

    /// Maximum number of tasks on one worker, summed over all hosts.
    std::uint32_t max_running() const
    {
        std::uint32_t max_tasks = 0;
        for (const auto id : hosts[0]->pool.workers()) {
            std::uint32_t sum = 0;
            for (const auto& h : hosts)
                sum += h->pool.running(id);
            max_tasks = std::max(max_tasks, sum);
        }
        return max_tasks;
    }

    rng random;
    time_point now{seconds{100}};
    std::vector<member> members;
    std::vector<std::unique_ptr<host>> hosts;
    std::vector<packet> in_flight;
    double loss = 0;
    duration delay = milliseconds{1};
    bool slow = false; // tasks of 4 to 5 s instead of 50 ms
    std::uint64_t messages = 0;
};

// Guards against a worker with more tasks than slots: lender and borrower use the same slot because
// messages are delayed, reordered or lost, or because tasks outlive the lease.
RC_GTEST_PROP(slot_sharing, slots_are_never_used_twice, ())
{
    domain d{3, 4, *rc::gen::arbitrary<std::uint64_t>()};
    d.loss = *rc::gen::inRange(0, 60) / 100.0;
    d.delay = milliseconds{*rc::gen::inRange(1, 3000)};
    d.slow = *rc::gen::arbitrary<bool>();
    for (int i = 0; i < 1000; ++i) {
        auto& h = *d.hosts[d.random() % d.hosts.size()];
        h.queued = std::min(h.queued + static_cast<std::uint32_t>(d.random() % 3), 20U);
        if (d.random() % 100 == 0)
            h.queued = 0;
        d.step();
        RC_ASSERT(d.max_running() <= 4U);
    }
}

// Guards against slots that stay idle while a peer has a backlog, against borrowed slots that are
// not returned when idle, and against a message per task.
TEST(slot_sharing, backlog_borrows_the_idle_slots_and_returns_them)
{
    domain d{4, 20, 1};
    auto& busy = *d.hosts[0];
    std::uint64_t done = 0;
    for (int i = 0; i < 250; ++i) {
        done += 200 - busy.queued;
        busy.queued = 200;
        d.step();
    }
    EXPECT_GE(busy.tasks.size(), 64U) << "of 80 slots in the domain";
    EXPECT_GT(done, 4000U);
    EXPECT_LT(d.messages, 200U);
    busy.queued = 0;
    for (int i = 0; i < 50; ++i)
        d.step();
    for (const auto& h : d.hosts) {
        std::uint32_t own = 0;
        for (const auto id : h->pool.workers())
            own += h->sharing.home(h->pool.config(id).name) == h->name ? 4 : 0;
        EXPECT_EQ(h->pool.capacity(service).total_slots, own);
    }
    EXPECT_EQ(busy.sharing.counters().expired_borrowed, 0U);
}

// Guards against a borrower that counts the lease from the arrival of the grant. It would start
// tasks after the lease has expired at the lender.
TEST(slot_sharing, lease_counts_from_the_request)
{
    domain d{2, 20, 1};
    auto& borrower = *d.hosts[0];
    const auto slots = [&] { return borrower.pool.capacity(service).total_slots; };
    const auto own = slots();
    borrower.sharing.set_backlog(service, 10);
    const auto sent = borrower.sharing.tick(d.now, d.random);
    ASSERT_EQ(sent.size(), 1U);
    const auto grant = d.hosts[1]->sharing.on_request(d.now, borrower.name,
                                                      std::get<slot_request>(sent[0].message));
    borrower.sharing.on_grant(d.now + milliseconds{1900}, "e1", grant, d.random);
    EXPECT_EQ(slots(), own + 10);
    borrower.pool.tick(d.now + seconds{2});
    EXPECT_EQ(slots(), own);
}

// Guards against new work for a leaving worker (P6): only the borrower receives the header that
// announces the shutdown, and the idle home host would not learn of it.
TEST(slot_sharing, home_learns_that_a_borrowed_worker_leaves)
{
    domain d{2, 1, 1};
    const auto name = d.hosts[0]->sharing.home("w0");
    const auto& home = name == "e0" ? *d.hosts[0] : *d.hosts[1];
    auto& other = name == "e0" ? *d.hosts[1] : *d.hosts[0];
    const auto id = *other.pool.find("w0");
    other.pool.header_leaving(id, d.now);
    other.sharing.note_leaving(d.now, "w0");
    for (int i = 0; i < 5; ++i)
        d.step();
    EXPECT_EQ(home.pool.state(*home.pool.find("w0")), worker_state::leaving);
    EXPECT_LE(d.messages, 2U);
    for (int i = 0; i < 500; ++i)
        d.step();
    EXPECT_LE(d.messages, 10U);
}

// Guards against a flood of requests while the whole domain is full. Each host may send at most 8
// requests per second, each with one answer.
TEST(slot_sharing, refusals_back_off)
{
    domain d{30, 60, 1};
    for (int i = 0; i < 250; ++i) {
        for (auto& h : d.hosts)
            h->queued = 200;
        d.step();
    }
    EXPECT_LT(d.messages, 30U * 5 * 8 * 2);
}

// Guards against a worker that its old and its new home use at the same time after a host joined,
// and against a moved worker that is never used again.
TEST(slot_sharing, moved_worker_is_used_after_the_old_leases_lapsed)
{
    domain d{2, 40, 1};
    auto& joining = *d.hosts[1];
    joining.sharing.set_members(d.now, {{"e0", 1.0, true}});
    joining.sharing.set_members(d.now, d.members);
    EXPECT_EQ(joining.pool.capacity(service).total_slots, 0U);
    d.now += milliseconds{2099};
    joining.sharing.tick(d.now, d.random);
    EXPECT_EQ(joining.pool.capacity(service).total_slots, 0U);
    d.now += milliseconds{1};
    joining.sharing.tick(d.now, d.random);
    EXPECT_EQ(joining.pool.capacity(service).total_slots +
                  d.hosts[0]->pool.capacity(service).total_slots,
              160U);
}

// Guards against workers that move between hosts that neither joined nor left, and against a
// distribution of workers that is not proportional to the weights.
RC_GTEST_PROP(home_map, only_workers_of_the_changed_host_move, ())
{
    std::vector<member> members;
    const int hosts = *rc::gen::inRange(2, 12);
    members.reserve(static_cast<std::size_t>(hosts));
    for (int i = 0; i < hosts; ++i)
        members.push_back({"e" + std::to_string(i), 1.0 + i % 3, true});
    const auto changed = static_cast<std::size_t>(*rc::gen::inRange(0, hosts));
    const home_map before{members};
    members[changed].live = false;
    const home_map after{members};
    std::map<std::string, int, std::less<>> counts;
    for (int i = 0; i < 3000; ++i) {
        const auto name = "w" + std::to_string(i);
        const auto old = before.home(name);
        ++counts[std::string{old}];
        RC_ASSERT(old == members[changed].host || after.home(name) == old);
        RC_ASSERT(after.home(name) != members[changed].host);
    }
    double weights = 0;
    for (const auto& m : members)
        weights += m.weight;
    for (const auto& m : members)
        RC_ASSERT(std::abs(counts[m.host] - 3000 * m.weight / weights) < 150);
}

} // namespace
} // namespace chivewharf::upstream
