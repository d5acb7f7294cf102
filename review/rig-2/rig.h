// Stand-ins for the second review: the platform's store, runners, clients and the processes of
// chivewharf, on loopback addresses and the real clock. Header only, used by review/N/case.cpp.
//
// The runners follow PROTOCOL.md, "Running tasks"; the store follows "The platform's metadata
// store" as far as chivewharf uses it. Every start, end and answer goes to record.txt.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <poll.h>
#include <random>
#include <set>
#include <stdexcept>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace rig {

using json = nlohmann::json;
using clk = std::chrono::steady_clock;
using ms = std::chrono::milliseconds;
using lock = std::lock_guard<std::recursive_mutex>;

/// Raised when the case cannot run, for example because a port is taken. Ends with exit code 2.
struct cannot_run : std::runtime_error {
    using std::runtime_error::runtime_error;
};

inline clk::time_point& origin()
{
    static clk::time_point at = clk::now();
    return at;
}
inline std::int64_t now_ms()
{
    return std::chrono::duration_cast<ms>(clk::now() - origin()).count();
}
inline std::int64_t wall_ms()
{
    return std::chrono::duration_cast<ms>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}
inline void sleep_ms(std::int64_t time)
{
    std::this_thread::sleep_for(ms{std::max<std::int64_t>(time, 0)});
}
inline void sleep_until_ms(std::int64_t at)
{
    sleep_ms(at - now_ms());
}

/// The file record.txt of the case, and the violations that were seen.
class record {
public:
    static record& get()
    {
        static record one;
        return one;
    }
    void open(const std::string& path)
    {
        file_ = std::fopen(path.c_str(), "w");
        if (file_ == nullptr)
            throw cannot_run{"cannot write " + path};
    }
    void line(const std::string& text)
    {
        const lock guard{mutex_};
        if (file_ != nullptr) {
            std::fprintf(file_, "%8lld  %s\n", static_cast<long long>(now_ms()), text.c_str());
            std::fflush(file_);
        }
    }
    void violation(const std::string& text)
    {
        line("BROKEN " + text);
        ++violations_;
    }
    int violations() const { return violations_; }

private:
    std::recursive_mutex mutex_;
    std::FILE* file_ = nullptr;
    std::atomic<int> violations_{0};
};
inline void note(const std::string& text)
{
    record::get().line(text);
}

// ---------------------------------------------------------------------------------- sockets, HTTP

inline sockaddr_in socket_address(const std::string& text)
{
    const auto colon = text.rfind(':');
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))));
    inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
    return address;
}

struct request {
    std::string method, path, query, body;
    std::map<std::string, std::string> headers; ///< names in lower case
    std::string parameter(const std::string& name) const
    {
        std::size_t at = 0;
        while (at < query.size()) {
            auto end = query.find('&', at);
            end = end == std::string::npos ? query.size() : end;
            const auto part = query.substr(at, end - at);
            if (part.rfind(name + "=", 0) == 0)
                return part.substr(name.size() + 1);
            at = end + 1;
        }
        return {};
    }
};
struct response {
    int status = 200;
    std::string body;
    std::string type = "application/json";
};
inline response json_response(int status, const json& body)
{
    return {status, body.dump(), "application/json"};
}

/// Reads from a socket until a whole HTTP message is there. `first` gets the first line.
inline bool read_message(int fd, std::string& buffer, std::string& first, request& out,
                         clk::time_point until = clk::time_point::max())
{
    const auto fill = [&] {
        if (until != clk::time_point::max()) {
            const auto left = std::chrono::duration_cast<ms>(until - clk::now()).count();
            pollfd one{fd, POLLIN, 0};
            if (left <= 0 || ::poll(&one, 1, static_cast<int>(left)) <= 0) {
                errno = ETIMEDOUT;
                return false;
            }
        }
        char bytes[16384];
        const auto size = ::recv(fd, bytes, sizeof bytes, 0);
        if (size <= 0) {
            errno = size == 0 ? 0 : errno;
            return false;
        }
        buffer.append(bytes, static_cast<std::size_t>(size));
        return true;
    };
    std::size_t head = 0;
    while ((head = buffer.find("\r\n\r\n")) == std::string::npos)
        if (!fill())
            return false;
    std::size_t at = buffer.find("\r\n");
    first = buffer.substr(0, at);
    out = {};
    while (at < head) {
        const auto begin = at + 2;
        at = buffer.find("\r\n", begin);
        const auto colon = buffer.find(':', begin);
        if (colon == std::string::npos || colon > at)
            continue;
        auto name = buffer.substr(begin, colon - begin);
        std::transform(name.begin(), name.end(), name.begin(), ::tolower);
        const auto value = buffer.find_first_not_of(' ', colon + 1);
        out.headers[name] = buffer.substr(value, at - value);
    }
    std::size_t length = 0;
    if (const auto found = out.headers.find("content-length"); found != out.headers.end())
        length = std::stoul(found->second);
    while (buffer.size() < head + 4 + length)
        if (!fill())
            return false;
    out.body = buffer.substr(head + 4, length);
    buffer.erase(0, head + 4 + length);
    return true;
}

inline bool write_all(int fd, const std::string& text)
{
    std::size_t done = 0;
    while (done < text.size()) {
        const auto size = ::send(fd, text.data() + done, text.size() - done, MSG_NOSIGNAL);
        if (size <= 0)
            return false;
        done += static_cast<std::size_t>(size);
    }
    return true;
}

/// HTTP server with one thread a connection. A handler that returns nothing leaves the call
/// without an answer: the connection stays open until the other end closes it.
class server {
public:
    using handler = std::function<std::optional<response>(const request&)>;
    server(const std::string& address, handler handle) : handle_{std::move(handle)}
    {
        fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const auto at = socket_address(address);
        if (::bind(fd_, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 ||
            ::listen(fd_, 256) != 0)
            throw cannot_run{"cannot listen on " + address};
        std::thread{[this] {
            while (true) {
                const int one = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
                if (one < 0)
                    return;
                std::thread{[this, one] { serve(one); }}.detach();
            }
        }}.detach();
    }

    /// Resets all open connections, as the end of the process does.
    void reset_connections()
    {
        const std::lock_guard guard{open_mutex_};
        for (const int fd : open_) {
            const linger at_once{1, 0};
            ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
            ::shutdown(fd, SHUT_RDWR);
        }
    }

private:
    void serve(int fd)
    {
        const int on = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        {
            const std::lock_guard guard{open_mutex_};
            open_.insert(fd);
        }
        std::string buffer, first;
        request one;
        while (read_message(fd, buffer, first, one)) {
            const auto space = first.find(' ');
            const auto target = first.substr(space + 1, first.rfind(' ') - space - 1);
            one.method = first.substr(0, space);
            const auto mark = target.find('?');
            one.path = target.substr(0, mark);
            one.query = mark == std::string::npos ? "" : target.substr(mark + 1);
            const auto answer = handle_(one);
            if (!answer) {
                char byte = 0;
                while (::recv(fd, &byte, 1, 0) > 0) {
                }
                break;
            }
            if (!write_all(fd, "HTTP/1.1 " + std::to_string(answer->status) +
                                   " X\r\nContent-Type: " + answer->type + "\r\nContent-Length: " +
                                   std::to_string(answer->body.size()) + "\r\n\r\n" + answer->body))
                break;
        }
        const std::lock_guard guard{open_mutex_};
        open_.erase(fd);
        ::close(fd);
    }
    int fd_ = -1;
    handler handle_;
    std::mutex open_mutex_;
    std::set<int> open_;
};

/// A client's call. `status` 0: no response in time; -1: the connection was refused or broken.
struct answer {
    int status = 0;
    std::string body;
    std::int64_t at_ms = 0;
};
/// \param leave_ms the client closes the connection after this time if it has no response
/// \param send_at_ms the request is sent at this time on the connection that is opened now; 0: at
/// once
inline answer call(const std::string& address, const std::string& method, const std::string& host,
                   const std::string& path, const std::string& body, int deadline_ms, int leave_ms,
                   std::int64_t send_at_ms = 0)
{
    answer result;
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto at = socket_address(address);
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    result.status = -1;
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0) {
        sleep_until_ms(send_at_ms);
        const auto text =
            method + ' ' + path + " HTTP/1.1\r\nHost: " + host +
            "\r\nContent-Type: application/json\r\nX-Deadline-Ms: " + std::to_string(deadline_ms) +
            "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        std::string buffer, first;
        request got;
        if (write_all(fd, text)) {
            if (read_message(fd, buffer, first, got, clk::now() + ms{leave_ms})) {
                result.status = std::stoi(first.substr(first.find(' ') + 1));
                result.body = got.body;
            }
            else
                result.status = errno == ETIMEDOUT ? 0 : -1;
        }
    }
    ::close(fd);
    result.at_ms = now_ms();
    return result;
}

// ------------------------------------------------------------------------------------------ store

/// The platform's store: topics of keyed records, one partition each.
class store {
public:
    explicit store(const std::string& address)
        : server_{address, [this](const request& one) { return handle(one); }}
    {
    }
    /// Key of a record.
    std::string key_at(const std::string& topic, std::size_t offset)
    {
        const std::lock_guard guard{mutex_};
        const auto& records = topics_[topic].records;
        return offset < records.size() ? records[offset].key : std::string{};
    }
    std::uint64_t put(const std::string& topic, const std::string& key, const std::string& value)
    {
        const std::lock_guard guard{mutex_};
        const auto offset = append(topic, key, value);
        changed_.notify_all();
        return offset;
    }

private:
    struct keyed {
        std::string key, value;
    };
    struct topic_log {
        std::vector<keyed> records;
        std::map<std::string, std::size_t> newest;
    };
    std::uint64_t append(const std::string& topic, const std::string& key, const std::string& value)
    {
        auto& log = topics_[topic];
        log.records.push_back({key, value});
        if (value.empty())
            log.newest.erase(key);
        else
            log.newest[key] = log.records.size() - 1;
        return log.records.size() - 1;
    }
    static void big_endian(std::string& out, std::uint64_t value, int bytes)
    {
        for (int i = bytes - 1; i >= 0; --i)
            out.push_back(static_cast<char>((value >> (8 * i)) & 0xff));
    }
    static std::string base64(const std::string& text)
    {
        static const char* digits =
            "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string out;
        for (std::size_t i = 0; i < text.size(); i += 3) {
            std::uint32_t three = 0;
            for (std::size_t k = 0; k < 3; ++k)
                three = three << 8 |
                        (i + k < text.size() ? static_cast<unsigned char>(text[i + k]) : 0U);
            for (std::size_t k = 0; k < 4; ++k)
                out.push_back(i + k <= text.size() ? digits[(three >> (18 - 6 * k)) & 63] : '=');
        }
        return out;
    }
    std::optional<response> handle(const request& one)
    {
        const auto topic = one.parameter("topic");
        std::unique_lock guard{mutex_};
        if (one.path == "/log-append") {
            const auto& body = one.body;
            const auto first = topics_[topic].records.size();
            for (std::size_t at = 0; at + 4 < body.size();) {
                std::size_t size = 0;
                for (int i = 0; i < 4; ++i)
                    size = size << 8 | static_cast<unsigned char>(body[at++]);
                const auto key = static_cast<unsigned char>(body[at]);
                append(topic, body.substr(at + 1, key), body.substr(at + 1 + key, size - 1 - key));
                at += size;
            }
            changed_.notify_all();
            return json_response(200, {{"offset", first}, {"end", topics_[topic].records.size()}});
        }
        if (one.path == "/log-newest") {
            json items = json::array();
            for (const auto& [key, offset] : topics_[topic].newest)
                items.push_back({{"key", key},
                                 {"value", base64(topics_[topic].records[offset].value)},
                                 {"offset", offset}});
            return json_response(
                200,
                {{"items", items}, {"more_pages", false}, {"end", topics_[topic].records.size()}});
        }
        if (one.path == "/log-read") {
            const auto from = std::stoul(one.parameter("from"));
            const auto wait = one.parameter("wait_ms");
            if (!wait.empty())
                changed_.wait_for(guard, ms{std::stoi(wait)},
                                  [&] { return topics_[topic].records.size() > from; });
            const auto& records = topics_[topic].records;
            std::string body;
            big_endian(body, records.size(), 8);
            big_endian(body, 0, 8);
            for (auto i = from; i < records.size() && i < from + 500; ++i) {
                big_endian(body, 1 + records[i].key.size() + records[i].value.size(), 4);
                big_endian(body, records[i].key.size(), 1);
                body += records[i].key + records[i].value;
            }
            return response{200, body, "application/octet-stream"};
        }
        return json_response(404, json::object());
    }
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, topic_log> topics_;
    server server_;
};

// ---------------------------------------------------------------------------------------- runners

/// What clients have sent, and what runs where. Shared by all runners; checks each start.
class ledger {
public:
    static ledger& get()
    {
        static ledger one;
        return one;
    }
    std::recursive_mutex mutex;
    std::map<std::string, std::string> specs;             ///< by job
    std::map<std::string, std::set<std::string>> at_work; ///< by task: "RUNNER run N"
    std::map<std::string, int> starts;                    ///< by job
    std::map<std::string, std::int64_t> no_start_after;   ///< by job that was cancelled
    std::map<std::string, int> spread;                    ///< `anti_affinity` of one-step jobs

    static std::string job_of(const std::string& task) { return task.substr(0, task.find('.')); }
    void began(const std::string& task, const std::string& where, const std::string& spec)
    {
        const lock guard{mutex};
        ++starts[job_of(task)];
        auto& others = at_work[task];
        if (!others.empty())
            record::get().violation("TWICE: " + task + " starts as " + where +
                                    " while it runs as " + *others.begin());
        others.insert(where);
        const auto last = no_start_after.find(job_of(task));
        if (last != no_start_after.end() && now_ms() > last->second)
            record::get().violation("UNASKED: " + task + " starts as " + where + ", " +
                                    std::to_string(now_ms() - last->second) +
                                    " ms after the time for cancelling it");
        const auto known = specs.find(job_of(task));
        if (known == specs.end() || known->second != spec)
            record::get().violation("UNASKED: " + task + " was not sent so by a client");
    }
    /// The job's cancelling was acknowledged; none of its tasks may start after this time.
    void cancelled(const std::string& job, std::int64_t last_start_ms)
    {
        const lock guard{mutex};
        no_start_after[job] = last_start_ms;
    }
    void check_spread(const std::string& task, const std::string& where, int of_step)
    {
        const lock guard{mutex};
        const auto limit = spread.find(job_of(task));
        if (limit != spread.end() && of_step > limit->second)
            record::get().violation("ROUTE: " + task + " starts on " + where + " as number " +
                                    std::to_string(of_step) + " of its step there, allowed are " +
                                    std::to_string(limit->second));
    }
    void ended(const std::string& task, const std::string& where)
    {
        const lock guard{mutex};
        at_work[task].erase(where);
    }
};

struct resources {
    std::int64_t cpu = 0, mem = 0;
};

/// A runner. The spec of a job names the work: "cpu=N;ms=N" (ms on a runner of speed 1).
class runner {
public:
    static constexpr std::int64_t hold_max_ms = 1000;
    struct options {
        std::string id, address, zone, service = "desk";
        resources capacity{64000, 131072};
        double speed = 1;
        std::vector<std::string> labels{"a", "r1-1"};
        std::uint64_t seed = 1;
    };
    /// Share of the orders (starts and stops) that get no answer and are carried out 2 to 12 s
    /// later: the disruption `applied_late`.
    std::atomic<double> late_share{0};

    runner(store& where, options given)
        : store_{where}, options_{std::move(given)}, random_{options_.seed}, born_{wall_ms()},
          started_{clk::now() - std::chrono::seconds{50}}, server_{options_.address,
                                                                   [this](const request& one) {
                                                                       return handle(one);
                                                                   }}
    {
        std::thread{[this] {
            for (int tick = 0;; ++tick) {
                if (tick % 750 == 0)
                    announce();
                {
                    const std::lock_guard guard{mutex_};
                    end_due();
                }
                sleep_ms(2);
            }
        }}.detach();
    }
    /// While set, nothing is answered or carried out: the runner is cut off, and runs on.
    std::atomic<bool> cut{false};
    /// If given, tells from the fencing token of a call whether its sender reaches the runner.
    std::function<bool(std::uint64_t token)> reachable;
    /// The process of the runner ends and starts again after a time: it knows nothing of before,
    /// and may be of another kind.
    void crash(int down_ms, std::int64_t cpu)
    {
        cut = true;
        server_.reset_connections();
        sleep_ms(down_ms);
        {
            const std::lock_guard guard{mutex_};
            options_.capacity.cpu = cpu;
            note(options_.id + " has crashed and is back with " + std::to_string(cpu));
            for (const auto& [task, one] : running_) {
                ledger::get().ended(task, where(one.number));
                note("crashed " + task + " " + where(one.number));
            }
            running_.clear();
            highest_.clear();
            ended_.clear();
            ends_ = 0;
            fence_ = 0;
            lease_ = 0;
            born_ = wall_ms();
            started_ = clk::now();
        }
        server_.reset_connections();
        cut = false;
        announce();
    }
    void set_draining(bool draining)
    {
        draining_ = draining;
        announce();
    }
    const std::string& id() const { return options_.id; }

private:
    struct run {
        int number = 0;
        resources demand;
        clk::time_point began, done_at;
        std::optional<clk::time_point> stop_at;
    };
    struct end {
        int number;
        std::string task;
        int run;
        std::string how;
    };
    std::int64_t clock() const
    {
        return std::chrono::duration_cast<ms>(clk::now() - started_).count();
    }
    void announce()
    {
        store_.put(
            "keyed.servers", options_.id,
            json{{"service", options_.service},
                 {"address", options_.address},
                 {"zone", options_.zone},
                 {"version", "v1"},
                 {"slots", 8},
                 {"state", draining_ ? "draining" : "ready"},
                 {"cold_left_ms", 0},
                 {"capacity",
                  {{"cpu", options_.capacity.cpu}, {"mem_mb", options_.capacity.mem}, {"gpu", 0}}},
                 {"labels", options_.labels},
                 {"clock_ms", clock()},
                 {"sequence", ++sequence_},
                 {"born", born_.load()}}
                .dump());
    }
    std::string where(int number) const { return options_.id + " run " + std::to_string(number); }
    void finish(const std::string& task, const std::string& how)
    {
        const auto found = running_.find(task);
        const int number = found->second.number;
        ended_.push_back({++ends_, task, number, how});
        highest_[task] = std::max(highest_[task], number);
        running_.erase(found);
        ledger::get().ended(task, where(number));
        note(how + "  " + task + " " + where(number));
        changed_.notify_all();
    }
    void end_due()
    {
        const auto now = clk::now();
        std::vector<std::pair<std::string, std::string>> due;
        for (const auto& [task, one] : running_) {
            if (clock() >= lease_)
                due.emplace_back(task, "lapsed");
            else if (one.stop_at && now >= *one.stop_at)
                due.emplace_back(task, "stopped");
            else if (now >= one.done_at)
                due.emplace_back(task, "done");
        }
        for (const auto& [task, how] : due)
            finish(task, how);
    }
    static std::int64_t field(const std::string& spec, const std::string& name)
    {
        const auto at = spec.find(name + "=");
        return at == std::string::npos ? 0 : std::stoll(spec.substr(at + name.size() + 1));
    }
    response refuse(const char* reason)
    {
        return json_response(409,
                             {{"clock_ms", clock()}, {"born", born_.load()}, {"reason", reason}});
    }
    bool fenced(const json& body)
    {
        const auto fence = body.value("fence", std::uint64_t{0});
        if (fence < fence_)
            return true;
        fence_ = fence;
        return false;
    }
    std::optional<response> handle(const request& one)
    {
        const auto expected = one.headers.find("x-expected-instance");
        if (expected != one.headers.end() && expected->second != options_.id)
            return json_response(421, json::object());
        const auto body = json::parse(one.body, nullptr, false);
        if (!body.is_object())
            return json_response(400, json::object());
        if (cut || (reachable && !reachable(body.value("fence", std::uint64_t{0}))))
            return std::nullopt;
        if (one.path == "/hold")
            return hold(body);
        std::int64_t delay = 0;
        {
            const std::lock_guard guard{mutex_};
            const double draw = std::uniform_real_distribution<double>{0, 1}(random_);
            const auto later = std::uniform_int_distribution<std::int64_t>{2000, 12000}(random_);
            if (draw < late_share)
                delay = later;
        }
        const bool start_order = one.path == "/run-start";
        if (delay == 0)
            return start_order ? start(body) : stop(body);
        note("unanswered " + one.path + " " + body.value("task", "") + " " +
             where(body.value("run", 0)) + ", carried out in " + std::to_string(delay) + " ms");
        std::thread{[this, body, start_order, delay, life = born_.load()] {
            sleep_ms(delay);
            if (life != born_)
                return;
            start_order ? start(body) : stop(body);
        }}.detach();
        return std::nullopt;
    }
    response start(const json& body)
    {
        const std::lock_guard guard{mutex_};
        end_due();
        if (fenced(body))
            return refuse("fence");
        const auto task = body.at("task").get<std::string>();
        const auto number = body.at("run").get<int>();
        const auto deadline = body.at("deadline_ms").get<std::int64_t>();
        const auto current = running_.find(task);
        if (current != running_.end() && current->second.number == number)
            return json_response(200, {{"clock_ms", clock()}, {"born", born_.load()}});
        if (deadline <= clock())
            return refuse("late");
        lease_ = std::max(lease_, std::min(deadline, clock() + hold_max_ms));
        if (current != running_.end() || (highest_.contains(task) && highest_[task] >= number))
            return refuse("old");
        const auto spec = body.at("spec").get<std::string>();
        run added;
        added.number = number;
        added.demand = {field(spec, "cpu"), 64};
        added.began = clk::now();
        added.done_at =
            added.began +
            ms{static_cast<std::int64_t>(static_cast<double>(field(spec, "ms")) / options_.speed)};
        running_[task] = added;
        note("start " + task + " " + where(number));
        ledger::get().began(task, where(number), spec);
        std::int64_t used = 0;
        int of_step = 0;
        const auto step = task.substr(0, task.rfind('.'));
        for (const auto& [name, one] : running_) {
            used += one.demand.cpu;
            of_step += name.substr(0, name.rfind('.')) == step ? 1 : 0;
        }
        ledger::get().check_spread(task, options_.id, of_step);
        if (used > options_.capacity.cpu)
            record::get().violation("LIMIT: " + task + " brings " + options_.id + " to " +
                                    std::to_string(used));
        return json_response(200, {{"clock_ms", clock()}, {"born", born_.load()}});
    }
    response stop(const json& body)
    {
        const std::lock_guard guard{mutex_};
        end_due();
        if (fenced(body))
            return refuse("fence");
        const auto task = body.at("task").get<std::string>();
        const auto number = body.at("run").get<int>();
        const auto current = running_.find(task);
        if (current != running_.end() && current->second.number == number) {
            if (!current->second.stop_at)
                current->second.stop_at = clk::now() + ms{20};
        }
        else
            highest_[task] = std::max(highest_[task], number);
        return json_response(200, {{"clock_ms", clock()}, {"born", born_.load()}});
    }
    response hold(const json& body)
    {
        std::unique_lock guard{mutex_};
        end_due();
        if (fenced(body))
            return refuse("fence");
        if (body.contains("deadline_ms"))
            lease_ = std::max(
                lease_, std::min(body["deadline_ms"].get<std::int64_t>(), clock() + hold_max_ms));
        const auto seen = body.value("seen_upto", 0);
        std::erase_if(ended_, [&](const end& one) { return one.number <= seen; });
        if (const auto wait = body.value("wait_ms", 0); wait > 0)
            changed_.wait_for(guard, ms{std::min(wait, 2000)}, [&] { return !ended_.empty(); });
        if (body.value("fence", std::uint64_t{0}) < fence_)
            return refuse("fence");
        json running = json::array(), ended = json::array();
        for (const auto& [task, one] : running_) {
            const auto total = std::chrono::duration<double>(one.done_at - one.began).count();
            const auto part = std::chrono::duration<double>(clk::now() - one.began).count();
            running.push_back(
                {task, one.number, "", static_cast<int>(std::min(99.0, 100 * part / total)), 0});
        }
        for (const auto& one : ended_)
            if (ended.size() < 500)
                ended.push_back({one.number, one.task, one.run, one.how, ""});
        return json_response(200, {{"clock_ms", clock()},
                                   {"born", born_.load()},
                                   {"running", running},
                                   {"ended", ended}});
    }

    store& store_;
    options options_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::mt19937_64 random_;
    std::map<std::string, run> running_;
    std::map<std::string, int> highest_;
    std::vector<end> ended_;
    int ends_ = 0;
    std::uint64_t fence_ = 0;
    std::int64_t lease_ = 0;
    std::atomic<std::int64_t> born_{0};
    clk::time_point started_;
    std::atomic<bool> draining_{false};
    std::atomic<std::uint64_t> sequence_{0};
    server server_;
};

// ----------------------------------------------------------------------------- links between hosts

/// Relay in front of the peer port of each host. Hosts on different sides of a cut exchange no
/// bytes: their connections stay open and silent, as behind a partition, and what was sent
/// meanwhile arrives when the cut ends. A cut must be shorter than the 4 s after which chivewharf's
/// sockets give up unacknowledged bytes, which the relay cannot imitate.
class link_relay {
public:
    /// \param names of the hosts, which stand in the first frame of each connection
    explicit link_relay(std::vector<std::string> names)
        : names_{std::move(names)}, side_(names_.size())
    {
    }
    void add(std::size_t host, const std::string& address, const std::string& target)
    {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const auto at = socket_address(address);
        if (::bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 ||
            ::listen(fd, 64) != 0)
            throw cannot_run{"cannot listen on " + address};
        std::thread{[this, fd, host, target] {
            while (true) {
                const int one = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
                if (one < 0)
                    return;
                std::thread{[this, one, host, target] { forward(one, host, target); }}.detach();
            }
        }}.detach();
    }
    void set_cut(std::size_t host, bool cut)
    {
        note(names_[host] + (cut ? " is cut off from the other machines" : " is back"));
        side_[host] = cut;
    }
    bool same_side(std::size_t a, std::size_t b) const { return side_[a] == side_[b]; }

private:
    std::size_t sender_of(const std::string& bytes) const
    {
        for (std::size_t i = 0; i < names_.size(); ++i)
            if (bytes.find(names_[i]) != std::string::npos)
                return i;
        return names_.size();
    }
    void forward(int in, std::size_t target_host, const std::string& target)
    {
        // The sender is known from its first bytes. The target sends its greeting first, too.
        const int out = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const auto at = socket_address(target);
        const int on = 1;
        ::setsockopt(out, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        ::setsockopt(in, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        std::string first(4096, '\0');
        const auto size = ::recv(in, first.data(), first.size(), 0);
        if (size > 0 && ::connect(out, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0) {
            first.resize(static_cast<std::size_t>(size));
            const auto sender = sender_of(first);
            const auto cut = [&] {
                return sender < names_.size() && !same_side(sender, target_host);
            };
            while (cut())
                sleep_ms(5);
            write_all(out, first);
            bool open = true;
            std::vector<char> bytes(65536);
            while (open) {
                if (cut()) {
                    sleep_ms(5);
                    continue;
                }
                pollfd both[2] = {{in, POLLIN, 0}, {out, POLLIN, 0}};
                if (::poll(both, 2, 5) <= 0 || cut())
                    continue;
                for (int side = 0; side < 2 && open; ++side) {
                    if (both[side].revents == 0)
                        continue;
                    const auto got = ::recv(side == 0 ? in : out, bytes.data(), bytes.size(), 0);
                    open = got > 0 &&
                           write_all(side == 0 ? out : in,
                                     std::string{bytes.data(), static_cast<std::size_t>(got)});
                }
            }
        }
        ::close(in);
        ::close(out);
    }
    std::vector<std::string> names_;
    std::vector<std::atomic<bool>> side_;
};

// ------------------------------------------------------------------------- processes of chivewharf

class process {
public:
    process(std::string name, std::string program, std::string settings, std::string log)
        : name_{std::move(name)}, program_{std::move(program)}, settings_{std::move(settings)},
          log_{std::move(log)}
    {
        all().push_back(this);
    }
    process(const process&) = delete;
    ~process() = delete; // kept until the case ends, see run_case()
    static std::vector<process*>& all()
    {
        static std::vector<process*> list;
        return list;
    }
    void start()
    {
        const auto boot = "CHIVEWHARF_BOOT=" + settings_;
        pid_ = ::fork();
        if (pid_ == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int out = ::open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(out, 1);
            ::dup2(out, 2);
            const char* arguments[] = {program_.c_str(), "--platform", nullptr};
            const char* variables[] = {boot.c_str(), "GSETTINGS_BACKEND=memory", nullptr};
            ::execve(program_.c_str(), const_cast<char**>(arguments),
                     const_cast<char**>(variables));
            ::_exit(127);
        }
        note("process " + name_ + " started");
    }
    void signal(int number, const char* what)
    {
        note("process " + name_ + " " + what);
        ::kill(pid_, number);
    }
    /// True if the process has ended by itself.
    bool gone()
    {
        int status = 0;
        if (pid_ > 0 && ::waitpid(pid_, &status, WNOHANG) == pid_) {
            status_ = status;
            pid_ = -1;
        }
        return pid_ <= 0;
    }
    int status() const { return status_; }
    void end()
    {
        if (pid_ <= 0)
            return;
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
        pid_ = -1;
    }
    const std::string& name() const { return name_; }
    pid_t pid() const { return pid_; }

private:
    std::string name_, program_, settings_, log_;
    pid_t pid_ = -1;
    int status_ = 0;
};

struct host_place {
    std::string name, zone, ip;
};

/// A small deployment: two hosts in each of two zones, runners, the store.
class deployment {
public:
    struct options {
        std::string program; ///< path of chivewharfd
        std::string folder;  ///< temporary folder
        std::vector<std::string> zones{"grangemouth", "greenock"};
        int hosts_per_zone = 2;
        int runners_per_zone = 4;
        std::vector<double> speeds{1.0};
        resources capacity{64000, 131072};
        std::uint64_t seed = 1;
        bool relay_links = false; ///< links between hosts pass through `links`
    };
    ~deployment() = delete; // threads of its stand-ins run until the case ends
    explicit deployment(const options& given) : options_{given}
    {
        // A network of its own below 127.0.0.0/8, so that ports are free.
        const auto pid = static_cast<unsigned>(::getpid());
        prefix_ = "127." + std::to_string(20 + pid % 200) + '.' +
                  std::to_string(1 + pid / 200 % 250) + '.';
        store_ = std::make_unique<store>(prefix_ + "7:8169");
        int number = 0;
        for (const auto& zone : given.zones)
            for (int i = 0; i < given.hosts_per_zone; ++i)
                hosts.push_back({"edge-" + zone + "-" + std::to_string(i + 1), zone,
                                 prefix_ + std::to_string(10 + number++)});
        if (given.relay_links) {
            std::vector<std::string> names;
            for (const auto& host : hosts)
                names.push_back(host.name);
            links = new link_relay{names};
            for (std::size_t i = 0; i < hosts.size(); ++i)
                links->add(i, link_address(i), hosts[i].ip + ":8166");
        }
        for (std::size_t i = 0; i < hosts.size(); ++i)
            add_process(i);
        number = 0;
        for (const auto& zone : given.zones)
            for (int i = 0; i < given.runners_per_zone; ++i, ++number) {
                runner::options one;
                one.id = "i-" + std::to_string(1000 + number);
                one.address = prefix_ + std::to_string(50 + number) + ":8080";
                one.zone = zone;
                one.capacity = given.capacity;
                one.speed = given.speeds[static_cast<std::size_t>(number) % given.speeds.size()];
                one.seed = given.seed * 1000 + static_cast<std::uint64_t>(number);
                runners.push_back(std::make_unique<runner>(*store_, one));
                if (given.relay_links)
                    runners.back()->reachable = [this, zone](std::uint64_t token) {
                        return !zone_cut_ || reaches(token, zone);
                    };
            }
        publish(1);
    }
    void publish(int version)
    {
        const json route{{"name", "r-desk"}, {"host", "desk.example"}, {"prefix", "/desk/"},
                         {"kind", "unsafe"}, {"timeout_ms", 1500},     {"target_latency_ms", 60},
                         {"priority", 0},    {"service", "desk"},      {"max_attempts", 3},
                         {"stretch", 1.6}};
        store_->put(
            "keyed.op", "config",
            json{{"version", version},
                 {"routes", json::array({route})},
                 {"services", json::array({json{{"name", "desk"}, {"admission_check", false}}})},
                 {"limits", json::object()}}
                .dump());
    }
    void start_all()
    {
        for (auto& one : processes)
            one->start();
        const auto until = clk::now() + std::chrono::seconds{15};
        for (const auto& host : hosts) {
            while (call(host.ip + ":8167", "GET", "x", "/readiness", "", 500, 500).status != 200) {
                if (clk::now() > until)
                    throw cannot_run{host.name + " does not become ready"};
                sleep_ms(100);
            }
        }
        note("all hosts are ready");
    }
    /// Partitions a zone, with its runners, from the others. Clients still reach it.
    void cut_zone(const std::string& zone, bool cut)
    {
        note("zone " + zone + (cut ? " is cut off" : " is back"));
        for (std::size_t i = 0; i < hosts.size(); ++i)
            if (hosts[i].zone == zone)
                links->set_cut(i, cut);
        zone_cut_ = cut;
    }
    std::string front(std::size_t host) const { return hosts[host].ip + ":8161"; }

    /// Hands a job in, as a client does. Records the call and its result.
    answer submit(std::size_t host, const std::string& job, const std::string& body,
                  int deadline_ms, int leave_ms)
    {
        {
            auto& books = ledger::get();
            const lock guard{books.mutex};
            const auto sent = json::parse(body);
            books.specs[job] = sent["spec"].get<std::string>();
            if (const auto limit = sent["steps"][0].value("anti_affinity", 0); limit > 0)
                books.spread[job] = limit;
        }
        note("POST " + job + " to " + hosts[host].name + ", waits " + std::to_string(leave_ms) +
             " of " + std::to_string(deadline_ms) + " ms");
        auto result =
            call(front(host), "POST", "desk.example", "/desk/" + job, body, deadline_ms, leave_ms);
        note("POST " + job + " to " + hosts[host].name + " ends: " +
             (result.status > 0    ? std::to_string(result.status) + ' ' + result.body
              : result.status == 0 ? std::string{"no response, the client leaves"}
                                   : std::string{"connection broken"}));
        return result;
    }
    /// \param send_at_ms time of the request, on a connection that is opened now; 0: at once
    answer cancel(std::size_t host, const std::string& job, std::int64_t send_at_ms = 0)
    {
        auto result =
            call(front(host), "DELETE", "desk.example", "/desk/" + job, "", 1500, 1500, send_at_ms);
        note("DELETE " + job + " at " + hosts[host].name + ": " + std::to_string(result.status));
        return result;
    }

    link_relay* links = nullptr;
    std::vector<host_place> hosts;
    std::vector<process*> processes;
    std::vector<std::unique_ptr<runner>> runners;
    store& metadata() { return *store_; }

private:
    /// Address under which the other hosts reach the host.
    std::string link_address(std::size_t host) const
    {
        return options_.relay_links ? prefix_ + std::to_string(110 + host) + ":8166"
                                    : hosts[host].ip + ":8166";
    }
    void add_process(std::size_t number)
    {
        const auto& host = hosts[number];
        json seeds = json::array();
        for (std::size_t i = 0; i < hosts.size();
             i += static_cast<std::size_t>(options_.hosts_per_zone))
            if (i != number)
                seeds.push_back(link_address(i));
        // The same fields as deploy/host.json.in.
        json settings{{"host", host.name},
                      {"domain", host.zone},
                      {"domains", options_.zones},
                      {"callers", host.ip + ":8161"},
                      {"readiness", host.ip + ":8167"},
                      {"peers", host.ip + ":8166"},
                      {"store", prefix_ + "7:8169"},
                      {"seeds", seeds},
                      {"core_share", 0.25},
                      {"cores", 1},
                      {"memory_mb", 260},
                      {"metrics_port", 7720}};
        if (options_.relay_links)
            settings["advertised"] = link_address(number);
        const auto file = options_.folder + '/' + host.name + ".json";
        auto* out = std::fopen(file.c_str(), "w");
        if (out == nullptr)
            throw cannot_run{"cannot write " + file};
        std::fputs(settings.dump(1).c_str(), out);
        std::fclose(out);
        processes.push_back(new process{host.name, options_.program, file,
                                        options_.folder + '/' + host.name + ".log"});
    }
    /// True if the sender of a token is on the same side of the cut as the zone. The low 20 bits of
    /// a token tell the record with which the host announced itself in the store; only hosts of
    /// other zones send the token 1.
    bool reaches(std::uint64_t token, const std::string& zone)
    {
        const auto number = token & 0xfffffU;
        const auto name =
            token <= 1 ? std::string{} : store_->key_at("keyed.chivewharf-hosts", number - 1);
        for (std::size_t i = 0; i < hosts.size(); ++i)
            for (std::size_t k = 0; k < hosts.size(); ++k)
                if (hosts[i].name == name && hosts[k].zone == zone)
                    return links->same_side(i, k);
        return false;
    }
    std::atomic<bool> zone_cut_{false};
    options options_;
    std::string prefix_;
    std::unique_ptr<store> store_;
};

inline std::string job_id(std::uint64_t number)
{
    char text[17];
    std::snprintf(text, sizeof text, "%016llx",
                  static_cast<unsigned long long>(number * 0x9e3779b97f4a7c15ULL));
    return text;
}

/// A best-effort job with one step.
/// \param anti_affinity tasks that may run on one runner; 0 for no limit
inline std::string simple_job(int tasks, int cpu, int work_ms, int estimate_ms,
                              int anti_affinity = 0)
{
    json step{{"count", tasks}, {"cpu", cpu}, {"mem_mb", 64}, {"estimate_ms", estimate_ms}};
    if (anti_affinity > 0)
        step["anti_affinity"] = anti_affinity;
    return json{{"spec", "cpu=" + std::to_string(cpu) + ";ms=" + std::to_string(work_ms)},
                {"best_effort", true},
                {"steps", json::array({step})}}
        .dump();
}

/// Runs a case: 1 if a rule was broken, 0 if it held, 2 if the case could not run. Arguments:
/// program, temporary folder, file for the record, seed; TROUBLE=0 leaves the disruption out.
inline int run_case(int argc, char** argv,
                    const std::function<void(const std::string& program, const std::string& folder,
                                             std::uint64_t seed, bool trouble)>& play)
{
    std::signal(SIGPIPE, SIG_IGN);
    origin();
    int code = 2;
    try {
        if (argc != 5)
            throw cannot_run{"usage: case PROGRAM FOLDER RECORD SEED"};
        record::get().open(argv[3]);
        const char* variable = std::getenv("TROUBLE");
        const bool trouble = variable == nullptr || std::string{variable} != "0";
        // A case that hangs ends as one that could not run.
        std::thread{[] {
            std::this_thread::sleep_for(std::chrono::seconds{118});
            note("cannot run: the time is over");
            for (auto* one : process::all())
                one->end();
            ::_exit(2);
        }}.detach();
        note(std::string{"seed "} + argv[4] + (trouble ? ", with" : ", without") +
             " the disruption");
        play(argv[1], argv[2], std::stoull(argv[4]), trouble);
        const int broken = record::get().violations();
        note("result: " + std::to_string(broken) + " violations");
        code = broken > 0 ? 1 : 0;
    }
    catch (const std::exception& error) {
        note(std::string{"cannot run: "} + error.what());
        std::fprintf(stderr, "cannot run: %s\n", error.what());
    }
    for (auto* one : process::all()) {
        one->end();
    }
    std::fflush(nullptr);
    // Threads of the stand-ins still run: leave without waiting for them.
    ::_exit(code);
}

} // namespace rig
