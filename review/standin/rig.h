// A small deployment on loopback addresses: the platform's store, runners and clients are stand-ins
// in this process, the entry hosts are `chivewharfd --platform` processes. Runners and store behave
// as PROTOCOL.md says. Everything that is sent, answered and run goes to record.txt.
#pragma once

#include "http.h"

#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <list>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <vector>

namespace review {

using nlohmann::json;
using clock_type = std::chrono::steady_clock;
using lock_type = std::unique_lock<std::recursive_mutex>;

inline std::int64_t ms_between(clock_type::time_point a, clock_type::time_point b)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(b - a).count();
}

inline void sleep_ms(std::int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds{ms});
}

/// What the stand-ins share. One lock guards all of it.
struct world {
    std::recursive_mutex mutex;
    std::condition_variable_any changed;
    clock_type::time_point begin = clock_type::now();
    std::ofstream record;
    std::vector<std::string> violations;

    void note(const std::string& text)
    {
        const lock_type lock{mutex};
        char time[32];
        std::snprintf(time, sizeof time, "%9.3f ",
                      double(ms_between(begin, clock_type::now())) / 1e3);
        record << time << text << std::endl;
    }

    void violation(const std::string& text)
    {
        const lock_type lock{mutex};
        violations.push_back(text);
        note("RULE BROKEN " + text);
    }
};

// --- The platform's store
// -------------------------------------------------------------------------

class store {
public:
    explicit store(world& w) : world_{w}, server_{[this](const request& r) { return handle(r); }}
    {
        server_.open(0);
    }

    std::string address() const { return server_.address(); }

    bool down = false; ///< refuses every call with 503, of hosts and of runners

    /// Writes a record of a keyed topic; no value drops the key.
    std::size_t put(const std::string& topic, const std::string& key,
                    const std::optional<std::string>& value)
    {
        const lock_type lock{world_.mutex};
        auto& log = topics_[topic];
        log.records.push_back({key, value});
        if (value)
            log.newest[key] = log.records.size() - 1;
        else
            log.newest.erase(key);
        world_.changed.notify_all();
        return log.records.size() - 1;
    }

private:
    struct record {
        std::string key;
        std::optional<std::string> value;
    };
    struct topic_log {
        std::vector<record> records;
        std::map<std::string, std::size_t> newest;
    };

    static void append_number(std::string& out, std::uint64_t number, int bytes)
    {
        for (int i = bytes - 1; i >= 0; --i)
            out += static_cast<char>((number >> (8 * i)) & 0xff);
    }

    static std::string base64(const std::string& text)
    {
        static const char* digits =
            "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string out;
        for (std::size_t i = 0; i < text.size(); i += 3) {
            std::uint32_t group = 0;
            for (std::size_t k = 0; k < 3; ++k)
                group = group << 8 |
                        (i + k < text.size() ? static_cast<unsigned char>(text[i + k]) : 0U);
            for (int k = 0; k < 4; ++k)
                out += i + static_cast<std::size_t>(k) <= text.size()
                           ? digits[group >> (18 - 6 * k) & 63]
                           : '=';
        }
        return out;
    }

    response handle(const request& one)
    {
        {
            const lock_type lock{world_.mutex};
            if (down)
                return {503, "{}"};
        }
        if (one.path == "/log-append")
            return append(one);
        if (one.path == "/log-read")
            return read(one);
        if (one.path == "/log-newest")
            return newest(one);
        return {404, "{}"};
    }

    response append(const request& one)
    {
        const lock_type lock{world_.mutex};
        const auto topic = one.parameter("topic");
        if (topic == "keyed.op" || topic == "keyed.servers")
            return {403, "{}"};
        const auto offset = topics_[topic].records.size();
        auto body = one.body;
        while (body.size() > 4) {
            std::size_t size = 0;
            for (int i = 0; i < 4; ++i)
                size = size << 8 | static_cast<unsigned char>(body[static_cast<std::size_t>(i)]);
            const auto content = body.substr(4, size);
            const auto key_size = static_cast<unsigned char>(content[0]);
            const auto value = content.substr(1U + key_size);
            put(topic, content.substr(1, key_size),
                value.empty() ? std::nullopt : std::optional{value});
            body.erase(0, 4 + size);
        }
        return {200, json{{"offset", offset}, {"end", topics_[topic].records.size()}}.dump()};
    }

    response read(const request& one)
    {
        lock_type lock{world_.mutex};
        auto& log = topics_[one.parameter("topic")];
        const auto from = std::stoull(one.parameter("from"));
        const auto wait = one.parameter("wait_ms");
        const auto until =
            clock_type::now() + std::chrono::milliseconds{wait.empty() ? 0 : std::stoi(wait)};
        while (log.records.size() <= from && clock_type::now() < until)
            world_.changed.wait_until(lock, until);
        std::string body;
        append_number(body, log.records.size(), 8);
        append_number(body, 0, 8);
        for (auto i = from; i < log.records.size() && i < from + 1024; ++i) {
            const auto& entry = log.records[i];
            const auto value = entry.value.value_or("");
            append_number(body, 1 + entry.key.size() + value.size(), 4);
            append_number(body, entry.key.size(), 1);
            body += entry.key + value;
        }
        return {200, body, "application/octet-stream"};
    }

    response newest(const request& one)
    {
        const lock_type lock{world_.mutex};
        const auto& log = topics_[one.parameter("topic")];
        json items = json::array();
        for (const auto& [key, offset] : log.newest)
            items.push_back({{"key", key},
                             {"value", base64(log.records[offset].value.value_or(""))},
                             {"offset", offset}});
        return {200,
                json{{"items", items}, {"more_pages", false}, {"end", log.records.size()}}.dump()};
    }

    world& world_;
    std::map<std::string, topic_log> topics_;
    server server_;
};

// --- Jobs and runners
// -----------------------------------------------------------------------------

/// One step of a job as submitted, and how long its tasks really run.
struct step_plan {
    int count = 1;
    std::int64_t cpu = 1000; ///< thousandths of a core
    std::int64_t run_ms = 100;
    std::int64_t estimate_ms = 100;
    std::string requires_label;
    bool gang = false;
};

struct job_plan {
    std::string id;
    std::string spec;
    step_plan step;
    bool cancel_acknowledged = false;
    clock_type::time_point cancelled_at{};
};

class runner;

struct job_table {
    std::map<std::string, job_plan> jobs;
    std::vector<runner*> runners;
};

/// A kind of machine.
struct kind {
    std::int64_t cpu = 64000;
    std::int64_t mem_mb = 131072;
    std::vector<std::string> labels;
};

constexpr std::int64_t heartbeat_ms = 1500;
constexpr std::int64_t hold_max_ms = 1000;
constexpr std::int64_t gang_wait_ms = 3000;
constexpr std::int64_t stop_ms = 20; ///< below `stop_grace_ms`, 50

class runner {
public:
    runner(world& w, store& s, job_table& jobs, std::string id, std::string zone, kind k)
        : world_{w}, store_{s}, jobs_{jobs}, id_{std::move(id)}, zone_{std::move(zone)},
          kind_{std::move(k)}
    {
        start_life(0);
    }

    const std::string& id() const { return id_; }
    std::size_t busy() const { return running_.size(); }
    bool runs(const std::string& task) const { return up_ && running_.count(task) > 0; }
    /// Loses everything that runs and resets all connections.
    void crash()
    {
        {
            const lock_type lock{world_.mutex};
            up_ = false;
            running_.clear();
            ended_.clear();
            highest_.clear();
            world_.note("runner " + id_ + " crashes");
            world_.changed.notify_all();
        }
        server_->crash();
    }

    /// Starts again under the same id and at the same address, maybe as another kind.
    void restart(kind k)
    {
        const lock_type lock{world_.mutex};
        kind_ = std::move(k);
        start_life(server_->port());
        world_.note("runner " + id_ + " starts again, cpu " + std::to_string(kind_.cpu));
    }

    /// Ends runs that are due, lapsed or stopped, and registers in the store.
    void tick()
    {
        const lock_type lock{world_.mutex};
        if (!up_)
            return;
        const auto now = clock_type::now();
        if (now >= next_beat_) {
            next_beat_ += std::chrono::milliseconds{heartbeat_ms};
            beat();
        }
        if (listed_ && ms_between(last_beat_, now) >= 3 * heartbeat_ms) {
            listed_ = false;
            store_.put("keyed.servers", id_, std::nullopt);
            world_.note("store removes the entry of " + id_ + " after three heartbeats of silence");
        }
        std::vector<std::pair<std::string, std::string>> ends;
        for (auto& [task, run] : running_) {
            if (clock_ms() >= lease_ms_)
                ends.emplace_back(task, "lapsed");
            else if (run.stop_at && now >= *run.stop_at)
                ends.emplace_back(task, "stopped");
            else if (run.work_since && ms_between(*run.work_since, now) >= run.plan.run_ms)
                ends.emplace_back(task, "done");
            else if (!run.work_since && ms_between(run.started, now) >= gang_wait_ms)
                ends.emplace_back(task, "alone");
        }
        for (const auto& [task, how] : ends)
            end(task, how);
        for (auto& [task, run] : running_)
            check_cancelled(task, run);
    }

    /// A member of a gang ended: the others end with it.
    void end_gang_member(const std::string& step, std::uint32_t run_number, const std::string& how)
    {
        std::vector<std::string> members;
        for (const auto& [task, run] : running_)
            if (run.plan.gang && run.number == run_number && task.rfind(step, 0) == 0)
                members.push_back(task);
        for (const auto& task : members)
            end(task, how, false);
    }

    int count_gang(const std::string& step, std::uint32_t run_number) const
    {
        int count = 0;
        for (const auto& [task, run] : running_)
            count += up_ && run.number == run_number && task.rfind(step, 0) == 0 ? 1 : 0;
        return count;
    }

    void begin_gang(const std::string& step, std::uint32_t run_number)
    {
        for (auto& [task, run] : running_)
            if (run.number == run_number && task.rfind(step, 0) == 0 && !run.work_since)
                run.work_since = clock_type::now();
    }

private:
    struct run_state {
        std::uint32_t number = 0;
        step_plan plan;
        clock_type::time_point started{};
        std::optional<clock_type::time_point> work_since;
        std::optional<clock_type::time_point> stop_at;
        bool reported = false; ///< its running on after a cancelling is in the record
    };

    void start_life(int port)
    {
        born_ = std::chrono::duration_cast<std::chrono::milliseconds>(
                    std::chrono::system_clock::now().time_since_epoch())
                    .count();
        life_begin_ = clock_type::now();
        fence_ = 0;
        lease_ms_ = 0;
        next_end_ = 1;
        sequence_ = 0;
        auto fresh = std::make_unique<server>([this](const request& one) { return handle(one); });
        if (!fresh->open(port)) {
            world_.note("cannot listen again at the address of " + id_);
            std::exit(2);
        }
        if (server_)
            old_servers_.push_back(std::move(server_));
        server_ = std::move(fresh);
        up_ = true;
        beat();
        // The runners of a deployment do not write at the same moments.
        next_beat_ =
            life_begin_ + std::chrono::milliseconds{heartbeat_ms * (1 + beats_++ % 15) / 15};
    }

    std::int64_t clock_ms() const { return ms_between(life_begin_, clock_type::now()); }

    void beat()
    {
        if (store_.down)
            return;
        if (!listed_ && sequence_ > 0)
            world_.note("the entry of " + id_ + " is back");
        last_beat_ = clock_type::now();
        listed_ = true;
        store_.put("keyed.servers", id_,
                   json{{"service", "desk"},
                        {"address", server_->address()},
                        {"zone", zone_},
                        {"version", "v1"},
                        {"slots", 8},
                        {"state", "ready"},
                        {"cold_left_ms", 0},
                        {"capacity", {{"cpu", kind_.cpu}, {"mem_mb", kind_.mem_mb}, {"gpu", 0}}},
                        {"labels", kind_.labels},
                        {"clock_ms", clock_ms()},
                        {"born", born_},
                        {"sequence", ++sequence_}}
                       .dump());
    }

    static std::string step_of(const std::string& task)
    {
        return task.substr(0, task.rfind('.') + 1);
    }

    void end(const std::string& task, const std::string& how, bool tell_gang = true)
    {
        const auto found = running_.find(task);
        if (found == running_.end())
            return;
        const auto run = found->second;
        running_.erase(found);
        auto& highest = highest_[task];
        highest = std::max(highest, run.number);
        ended_.push_back({next_end_++, task, run.number, how, ""});
        world_.note("  end   " + task + " run " + std::to_string(run.number) + " on " + id_ + ": " +
                    how);
        const auto job = jobs_.jobs.find(task.substr(0, task.find('.')));
        if (how == "alone" && job != jobs_.jobs.end() && !job->second.cancel_acknowledged)
            world_.violation("GANG: " + task + " run " + std::to_string(run.number) + " on " + id_ +
                             " ends alone");
        if (run.plan.gang && tell_gang) {
            const auto others = how == "done" ? "done" : "broken";
            if (run.work_since)
                for (auto* one : jobs_.runners)
                    one->end_gang_member(step_of(task), run.number, others);
        }
        world_.changed.notify_all();
    }

    response handle(const request& one)
    {
        lock_type lock{world_.mutex};
        if (!up_)
            return {0, "", "", true};
        const auto expected = one.headers.find("x-expected-instance");
        if (expected != one.headers.end() && expected->second != id_)
            return {421, "{}"};
        const auto body = json::parse(one.body, nullptr, false);
        if (!body.is_object())
            return {400, "{}"};
        const std::uint64_t fence = body.value("fence", std::uint64_t{0});
        if (fence < fence_)
            return conflict("fence");
        fence_ = fence;
        if (one.path == "/run-start")
            return start(body);
        if (one.path == "/run-stop")
            return stop(body);
        if (one.path == "/hold")
            return hold(body, lock);
        return {404, "{}"};
    }

    response conflict(const char* reason) const
    {
        return {409, json{{"clock_ms", clock_ms()}, {"reason", reason}}.dump()};
    }

    void extend_lease(std::int64_t deadline_ms)
    {
        lease_ms_ = std::max(lease_ms_, std::min(deadline_ms, clock_ms() + hold_max_ms));
    }

    response start(const json& body)
    {
        const std::string task = body["task"];
        const std::uint32_t number = body["run"];
        const std::int64_t deadline = body["deadline_ms"];
        const auto known = running_.find(task);
        if (known != running_.end() && known->second.number == number)
            return {200, json{{"clock_ms", clock_ms()}}.dump()};
        const auto highest = highest_.find(task);
        if ((known != running_.end() && known->second.number > number) ||
            (highest != highest_.end() && highest->second >= number)) {
            extend_lease(deadline);
            world_.note("  start " + task + " run " + std::to_string(number) + " on " + id_ +
                        ": refused, old");
            return conflict("old");
        }
        if (deadline <= clock_ms())
            return conflict("late");
        extend_lease(deadline);
        world_.note("  start " + task + " run " + std::to_string(number) + " on " + id_ +
                    ", fence " + std::to_string(fence_));
        check_start(task, body["spec"]);
        const auto& plan = jobs_.jobs[task.substr(0, task.find('.'))].step;
        run_state run{number, plan, clock_type::now(), {}, {}, false};
        if (!plan.gang)
            run.work_since = run.started;
        running_[task] = run;
        check_capacity(task);
        if (plan.gang) {
            int present = 0;
            for (const auto* one : jobs_.runners)
                present += one->count_gang(step_of(task), number);
            if (present == plan.count)
                for (auto* one : jobs_.runners)
                    one->begin_gang(step_of(task), number);
        }
        return {200, json{{"clock_ms", clock_ms()}}.dump()};
    }

    /// A task that still runs `stop_grace_ms` after the time by which the cancelling of its job has
    /// to be carried out.
    void check_cancelled(const std::string& task, run_state& run)
    {
        constexpr std::int64_t cancel_ms = 3000;
        constexpr std::int64_t stop_grace_ms = 50;
        const auto& job = jobs_.jobs[task.substr(0, task.find('.'))];
        if (!job.cancel_acknowledged || run.reported)
            return;
        const auto after = ms_between(job.cancelled_at, clock_type::now());
        if (after <= cancel_ms + stop_grace_ms)
            return;
        run.reported = true;
        world_.violation("UNASKED: " + task + " run " + std::to_string(run.number) +
                         " still runs on " + id_ + ' ' + std::to_string(after) +
                         " ms after its job's cancelling was acknowledged");
    }

    void check_start(const std::string& task, const std::string& spec)
    {
        for (const auto* other : jobs_.runners)
            if (other != this && other->runs(task))
                world_.violation("TWICE: " + task + " starts on " + id_ + " while it runs on " +
                                 other->id_);
        const auto job = jobs_.jobs.find(task.substr(0, task.find('.')));
        if (job == jobs_.jobs.end() || job->second.spec != spec) {
            world_.violation("UNASKED: nobody sent " + task);
            return;
        }
        constexpr std::int64_t cancel_ms = 3000;
        if (job->second.cancel_acknowledged) {
            const auto after = ms_between(job->second.cancelled_at, clock_type::now());
            world_.note("  " + task + " starts " + std::to_string(after) +
                        " ms after the acknowledgement of the job's cancelling");
            if (after > cancel_ms)
                world_.violation("UNASKED: " + task + " starts on " + id_ + ' ' +
                                 std::to_string(after) +
                                 " ms after its job's cancelling was "
                                 "acknowledged");
        }
    }

    void check_capacity(const std::string& task)
    {
        std::int64_t used = 0;
        for (const auto& [name, run] : running_)
            used += run.plan.cpu;
        if (used > kind_.cpu)
            world_.violation("LIMIT: " + task + " brings " + id_ + " to " + std::to_string(used) +
                             " of " + std::to_string(kind_.cpu) + " thousandths of a core");
    }

    response stop(const json& body)
    {
        const std::string task = body["task"];
        const std::uint32_t number = body["run"];
        auto& highest = highest_[task];
        highest = std::max(highest, number);
        const auto known = running_.find(task);
        if (known != running_.end() && known->second.number <= number && !known->second.stop_at)
            known->second.stop_at = clock_type::now() + std::chrono::milliseconds{stop_ms};
        world_.note("  stop  " + task + " run " + std::to_string(number) + " on " + id_);
        return {200, json{{"clock_ms", clock_ms()}}.dump()};
    }

    response hold(const json& body, lock_type& lock)
    {
        const std::uint64_t seen = body.value("seen_upto", std::uint64_t{0});
        if (body.contains("deadline_ms"))
            extend_lease(body["deadline_ms"]);
        while (!ended_.empty() && ended_.front()[0].get<std::uint64_t>() <= seen)
            ended_.pop_front();
        const auto until = clock_type::now() + std::chrono::milliseconds{body.value("wait_ms", 0)};
        const auto life = born_;
        while (ended_.empty() && up_ && life == born_ && clock_type::now() < until)
            world_.changed.wait_until(lock, until);
        if (!up_ || life != born_)
            return {0, "", "", true};
        json running = json::array();
        for (const auto& [task, run] : running_) {
            const auto worked = run.work_since ? ms_between(*run.work_since, clock_type::now()) : 0;
            const auto percent = std::min<std::int64_t>(99, 100 * worked / run.plan.run_ms);
            running.push_back({task, run.number, "", percent, run.plan.cpu});
        }
        json ended = json::array();
        for (const auto& row : ended_)
            if (ended.size() < 500)
                ended.push_back(row);
        return {
            200,
            json{{"clock_ms", clock_ms()}, {"born", born_}, {"running", running}, {"ended", ended}}
                .dump()};
    }

    world& world_;
    store& store_;
    job_table& jobs_;
    std::string id_;
    std::string zone_;
    kind kind_;
    std::unique_ptr<server> server_;
    std::vector<std::unique_ptr<server>> old_servers_;
    std::map<std::string, run_state> running_;
    std::map<std::string, std::uint32_t> highest_; ///< highest run that was stopped or has ended
    std::list<json> ended_;
    std::uint64_t fence_ = 0;
    std::uint64_t next_end_ = 1;
    std::int64_t lease_ms_ = 0;
    std::int64_t born_ = 0;
    std::uint64_t sequence_ = 0;
    clock_type::time_point life_begin_{};
    clock_type::time_point last_beat_{};
    clock_type::time_point next_beat_{};
    static inline int beats_ = 0;
    bool listed_ = false;
    bool up_ = false;
};

// --- Entry hosts and clients
// ----------------------------------------------------------------------

struct entry_host {
    std::string name;
    std::string zone;
    int front = 0;
    int ready = 0;
    int control = 0;
    int metrics = 0;
    pid_t pid = -1;
    std::string settings;
    std::string log;
};

/// Outcome of one attempt of a client.
struct attempt {
    std::string job;
    int status = 0;
    std::int64_t took_ms = 0;
};

class rig {
public:
    rig(const std::string& folder, const std::string& repository)
        : store_{world_}, repository_{repository}
    {
        world_.record.open(folder + "/record.txt");
        hosts_.reserve(16);
        const char* text = std::getenv("TROUBLE");
        trouble = text == nullptr || std::string{text} != "0";
        char name[] = "/tmp/review-XXXXXX";
        temporary_ = mkdtemp(name);
        std::signal(SIGPIPE, SIG_IGN);
        world_.note(trouble ? "with the disruption" : "TROUBLE=0: without the disruption");
        std::thread{[this] {
            for (;; sleep_ms(2)) {
                const lock_type lock{world_.mutex};
                for (auto* one : jobs_.runners)
                    one->tick();
            }
        }}.detach();
        std::thread{[this] {
            sleep_ms(110'000);
            world_.note("time limit of the script");
            finish(2);
        }}.detach();
    }

    bool trouble = true;

    world& state() { return world_; }

    void set_store_down(bool down)
    {
        const lock_type lock{world_.mutex};
        store_.down = down;
        note(down ? "the store is down" : "the store is back");
    }

    void note(const std::string& text) { world_.note(text); }

    runner& add_runner(const std::string& id, const std::string& zone, const kind& k)
    {
        const lock_type lock{world_.mutex};
        jobs_.runners.push_back(new runner{world_, store_, jobs_, id, zone, k});
        return *jobs_.runners.back();
    }

    entry_host& add_host(const std::string& name, const std::string& zone)
    {
        hosts_.push_back(
            {name, zone, free_port(), free_port(), free_port(), free_port(), -1, {}, {}});
        return hosts_.back();
    }

    /// Publishes the configuration, writes the settings files and starts all hosts.
    void start_hosts(const std::vector<std::string>& zones)
    {
        store_.put("keyed.op", "config",
                   json{{"version", 7},
                        {"routes",
                         {{{"name", "r-1"},
                           {"host", "desk.example"},
                           {"prefix", "/desk/"},
                           {"kind", "unsafe"},
                           {"timeout_ms", 1500},
                           {"target_latency_ms", 60},
                           {"priority", 0},
                           {"service", "desk"},
                           {"max_attempts", 3},
                           {"stretch", 1.6}}}},
                        {"services",
                         {{{"name", "desk"},
                           {"health_path", "/health"},
                           {"max_conns", 64},
                           {"admission_check", false},
                           {"spare", false}}}},
                        {"limits", {{"max_body_bytes", 262144}, {"header_timeout_ms", 3000}}}}
                       .dump());
        json seeds = json::array();
        for (const auto& host : hosts_)
            if (seeds.size() < 3)
                seeds.push_back("127.0.0.1:" + std::to_string(host.control));
        for (auto& host : hosts_) {
            auto at = [](int port) { return "127.0.0.1:" + std::to_string(port); };
            host.settings = temporary_ + '/' + host.name + ".json";
            host.log = temporary_ + '/' + host.name + ".log";
            std::ofstream{host.settings} << json{
                {"host", host.name},
                {"domain", host.zone},
                {"domains", zones},
                {"callers", at(host.front)},
                {"readiness", at(host.ready)},
                {"peers", at(host.control)},
                {"store", store_.address()},
                {"seeds", seeds},
                {"core_share", 0.25},
                {"cores", 1},
                {"metrics_port", host.metrics}}.dump(1);
            start(host);
        }
        wait_ready();
    }

    void start(entry_host& host)
    {
        const auto program = repository_ + "/target/bin/chivewharfd";
        const auto boot = "CHIVEWHARF_BOOT=" + host.settings;
        host.pid = fork();
        if (host.pid == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (freopen(host.log.c_str(), "a", stdout) == nullptr ||
                freopen(host.log.c_str(), "a", stderr) == nullptr ||
                chdir(repository_.c_str()) != 0)
                _exit(127);
            char path[] = "PATH=/usr/bin:/bin";
            char home[] = "HOME=/tmp";
            char backend[] = "GSETTINGS_BACKEND=memory";
            char* environment[] = {path, home, backend, const_cast<char*>(boot.c_str()), nullptr};
            char flag[] = "--platform";
            char* arguments[] = {const_cast<char*>(program.c_str()), flag, nullptr};
            execve(program.c_str(), arguments, environment);
            _exit(127);
        }
        note("host " + host.name + " starts");
    }

    void signal(entry_host& host, int number)
    {
        note("host " + host.name + " gets signal " + std::to_string(number));
        kill(host.pid, number);
        if (number == SIGKILL) {
            waitpid(host.pid, nullptr, 0);
            host.pid = -1;
        }
    }

    /// True if the process has ended by now.
    bool ended(entry_host& host)
    {
        if (host.pid > 0 && waitpid(host.pid, nullptr, WNOHANG) == host.pid)
            host.pid = -1;
        return host.pid < 0;
    }

    std::vector<entry_host>& hosts() { return hosts_; }

    /// The live host with the claim of the highest epoch on the zone's shard, by the hosts' logs.
    entry_host* owner(const std::string& zone)
    {
        entry_host* best = nullptr;
        long best_epoch = -1;
        for (auto& host : hosts_) {
            if (host.pid < 0)
                continue;
            std::ifstream log{host.log};
            std::string line;
            while (std::getline(log, line)) {
                const auto epoch = line.find(" epoch=");
                if (line.find("event=claim shard=" + zone) == std::string::npos ||
                    epoch == std::string::npos)
                    continue;
                const long number = std::stol(line.substr(epoch + 7));
                if (number > best_epoch) {
                    best_epoch = number;
                    best = &host;
                }
            }
        }
        return best;
    }

    /// True if the host's log has a line with both texts.
    static bool logged(const entry_host& host, const std::string& event, const std::string& other)
    {
        std::ifstream log{host.log};
        std::string line;
        while (std::getline(log, line))
            if (line.find("event=" + event) != std::string::npos &&
                line.find(other) != std::string::npos)
                return true;
        return false;
    }

    std::string new_id()
    {
        char text[17];
        std::snprintf(text, sizeof text, "%016llx",
                      0x5c0e7a2100000000ULL + static_cast<unsigned long long>(++last_id_));
        return text;
    }

    void add_job(const job_plan& plan)
    {
        const lock_type lock{world_.mutex};
        jobs_.jobs[plan.id] = plan;
    }

    /// One attempt to hand the job in. Blocks until the answer or the deadline.
    attempt post(const entry_host& host, const std::string& id, int deadline_ms)
    {
        job_plan plan;
        {
            const lock_type lock{world_.mutex};
            plan = jobs_.jobs.at(id);
        }
        json step{{"count", plan.step.count},
                  {"cpu", plan.step.cpu},
                  {"mem_mb", 64},
                  {"estimate_ms", plan.step.estimate_ms}};
        if (!plan.step.requires_label.empty())
            step["requires"] = plan.step.requires_label;
        if (plan.step.gang)
            step["gang"] = true;
        const json body{{"spec", plan.spec}, {"best_effort", true}, {"steps", {step}}};
        note("POST " + id + " to " + host.name + ", deadline " + std::to_string(deadline_ms));
        const auto sent = clock_type::now();
        const auto result = call(host.front, "POST", "/desk/" + id,
                                 "Host: desk.example\r\nContent-Type: application/json\r\n"
                                 "X-Deadline-Ms: " +
                                     std::to_string(deadline_ms) + "\r\n",
                                 body.dump(), deadline_ms);
        const attempt one{id, result.status, ms_between(sent, clock_type::now())};
        note("answer to POST " + id + " from " + host.name + ": " +
             (one.status == 0 ? "none" : std::to_string(one.status)) + " after " +
             std::to_string(one.took_ms) + " ms " + result.body);
        return one;
    }

    /// Cancels the job at a host.
    int cancel(const entry_host& host, const std::string& id)
    {
        note("DELETE " + id + " to " + host.name);
        const auto result =
            call(host.front, "DELETE", "/desk/" + id, "Host: desk.example\r\n", {}, 2000);
        const lock_type lock{world_.mutex};
        note("answer to DELETE " + id + " from " + host.name + ": " +
             std::to_string(result.status));
        if (result.status / 100 == 2 || result.status == 410) {
            jobs_.jobs[id].cancel_acknowledged = true;
            jobs_.jobs[id].cancelled_at = clock_type::now();
        }
        return result.status;
    }

    /// Ends all processes, writes the verdict and exits: 1 if a rule was broken, else `otherwise`.
    [[noreturn]] void finish(int otherwise)
    {
        for (auto& host : hosts_)
            if (!ended(host)) {
                kill(host.pid, SIGKILL);
                waitpid(host.pid, nullptr, 0);
            }
        const lock_type lock{world_.mutex};
        const int code = world_.violations.empty() ? otherwise : 1;
        const std::string verdict = code == 1   ? "the rule was broken"
                                    : code == 0 ? "the rule held"
                                                : "the case could not run";
        note(verdict);
        for (const auto& one : world_.violations)
            std::cout << one << '\n';
        std::cout << verdict << std::endl;
        if (std::getenv("KEEP_LOGS") == nullptr)
            std::filesystem::remove_all(temporary_);
        else
            std::cout << "logs in " << temporary_ << std::endl;
        world_.record.flush();
        _exit(code);
    }

private:
    void wait_ready()
    {
        for (int i = 0; i < 200; ++i, sleep_ms(100)) {
            std::size_t ready = 0;
            for (const auto& host : hosts_)
                ready +=
                    call(host.ready, "GET", "/readiness", "Host: ready\r\n", {}, 500).status == 200
                        ? 1U
                        : 0U;
            if (ready == hosts_.size()) {
                note("all hosts are ready");
                sleep_ms(1000);
                return;
            }
        }
        note("not all hosts became ready");
        finish(2);
    }

    world world_;
    store store_;
    job_table jobs_;
    std::vector<entry_host> hosts_;
    std::string repository_;
    std::string temporary_;
    std::uint64_t last_id_ = 0;
};

} // namespace review
