#pragma once

#include <array>
#include <deque>
#include <dispatch/dispatch.h>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace chivewharf::policy {

/// Deployment, load and policy of one run.
struct cluster_options {
    std::vector<unsigned> hosts{3, 2, 2}; ///< entry hosts of each domain
    unsigned workers = 50;                ///< in all domains, assigned to them round-robin
    unsigned slots = 8;
    double speed_spread = 4;   ///< speed ratio of the fastest to the slowest worker
    double declared_error = 1; ///< max factor by which declared run times are wrong
    unsigned customers = 12;
    bool equal_weights = false; ///< otherwise weights are 1 to 4
    double load = 0.7;          ///< offered reference work as a share of the capacity; 0 for none
    unsigned caller_retries = 0;
    double domain_latency_ms = 0.5; ///< one way
    double peer_loss = 0;
    duration deadline = seconds{4};
    duration warm_up = seconds{15}; ///< long enough for the weights of joining hosts to ramp up
    duration measured = seconds{20};
    dispatch::policy_options policy;
    std::uint64_t seed = 20261204;
};

enum class runner_mode : std::uint8_t { ok, fails, dead, silent, leaving };

/// Kinds of messages counted. `necessary` is the request and answer of each task and submission.
enum class traffic : std::uint8_t {
    necessary,
    refused_send, ///< a task that was sent but not run, and its refusal
    forward,      ///< including spills
    grant,
    heartbeat,
    usage,
    membership,
    configuration, ///< printed, but not part of the waste of section 1.6
};
inline constexpr std::size_t traffic_kinds = 8;

/// Results of one run, measured from the end of the warm-up.
struct figures {
    std::vector<double> ratio;          ///< response time over the ideal on the fastest free worker
    std::vector<double> absolute_ratio; ///< response time over the ideal on the fastest worker
    std::vector<double> quiet_ratio;    ///< `absolute_ratio` without customer 0
    std::array<std::uint64_t, traffic_kinds> messages{};
    std::map<std::string, std::uint64_t> outcomes; ///< submissions by final reason
    std::map<std::string, std::uint64_t> quiet_outcomes;
    std::map<std::string, std::uint64_t> task_ends;
    std::uint64_t starts = 0;
    std::uint64_t resubmissions = 0;
    double good_work = 0;                    ///< reference seconds of completed submissions
    double busy = 0;                         ///< reference seconds during which tasks ran
    double capacity = 0;                     ///< reference seconds that all slots could have run
    double offered_work = 0;                 ///< reference seconds
    std::map<unsigned, double> usage;        ///< slot-seconds by customer
    std::map<unsigned, std::uint64_t> sends; ///< by worker

    double waste() const;
    double goodput() const { return good_work / capacity; }
};

double quantile(std::vector<double> values, double q);

/// Runs real entry hosts under virtual time; callers, runners, links and platform are simulated.
/// Work is measured in reference seconds: run time on a worker of speed 1.
class cluster_sim {
public:
    struct runner {
        std::string name;
        std::string domain;
        double speed = 1;
        runner_mode mode = runner_mode::ok;
        std::map<std::uint64_t, std::pair<unsigned, dispatch::call_id>> running;
        std::map<std::uint64_t, time_point> started;
        std::map<std::uint64_t, unsigned> customer;
    };

    explicit cluster_sim(cluster_options options);
    ~cluster_sim();
    cluster_sim(const cluster_sim&) = delete;
    cluster_sim& operator=(const cluster_sim&) = delete;

    /// Adds an open-loop stream of submissions of a customer.
    /// \param work offered reference seconds per second
    /// \param host entry host that receives the stream; if none, the hosts are chosen by weight
    void add_stream(unsigned customer, double work, time_point from, time_point to,
                    std::optional<unsigned> host = std::nullopt);

    /// Calls the function at this time after the start of the simulation.
    void at(duration delay, std::function<void()> call)
    {
        schedule(start + delay, std::move(call));
    }

    void set_mode(unsigned worker, runner_mode mode);
    void kill_host(unsigned host);
    void start_host(unsigned host);
    void drain_host(unsigned host);
    void cut_domain(std::optional<std::string> domain);
    /// Cancels the submissions in flight of every customer with an odd number.
    void cancel_half();

    figures run();

    std::vector<runner>& workers() { return workers_; }
    unsigned hosts() const { return static_cast<unsigned>(hosts_.size()); }
    double weight(unsigned customer) const;
    double capacity() const; ///< sum of the workers' slots times speed
    const cluster_options& options() const { return options_; }
    time_point now() const { return now_; }
    time_point measure_from() const { return start + options_.warm_up; }
    time_point end() const { return measure_from() + options_.measured; }
    std::uint64_t starts_of(unsigned worker) const { return total_sends_.at(worker); }
    dispatch::entry_host& host(unsigned index) { return *hosts_[index].core; }

    /// Prints progress to standard error every second of virtual time.
    void trace_seconds();

    static constexpr time_point start{seconds{1000}};

private:
    struct event {
        time_point time;
        std::uint64_t sequence = 0;
        std::function<void()> call;
        friend bool operator<(const event& a, const event& b)
        {
            return std::tie(b.time, b.sequence) < std::tie(a.time, a.sequence);
        }
    };
    struct host_state {
        std::string name;
        std::string domain;
        double weight = 1;
        std::uint64_t incarnation = 0;
        std::unique_ptr<metrics::registry> metrics;
        std::unique_ptr<dispatch::entry_host> core;
        bool ready = false;
        time_point tick_at{};
    };
    struct stream {
        unsigned customer = 0;
        double work = 0;
        time_point to;
        std::optional<unsigned> host;
        rng random;
    };
    struct submission_record {
        unsigned customer = 0;
        unsigned host = 0;
        std::string id;
        std::string body;
        time_point sent;
        double work = 0;
        double ideal = 0;
        double absolute_ideal = 0;
        double longest = 0;
        unsigned tries = 0;
        bool done = false;
    };

    void schedule(time_point time, std::function<void()> call);
    void build_settings();
    std::unique_ptr<dispatch::entry_host> make_core(unsigned host);
    dispatch::clock_reading clock() const
    {
        return {now_, now_.time_since_epoch().count() / 1000000};
    }
    void perform_actions(unsigned host);
    void schedule_tick(unsigned host);
    void perform(unsigned host, dispatch::action action);
    void send_to_runner(unsigned host, dispatch::send_task task);
    void deliver_task(unsigned host, std::uint64_t incarnation, const dispatch::send_task& task);
    void end_call(unsigned host, std::uint64_t incarnation, dispatch::call_id call,
                  dispatch::call_report report, duration delay);
    void stop_running(runner& worker, std::uint64_t token);
    void deliver(unsigned from, dispatch::send_peer message);
    bool is_cut_off(unsigned a, unsigned b) const;
    void count(traffic kind, std::uint64_t n = 1);
    static traffic kind_of(const wire::message& message);
    void schedule_arrival(std::size_t number);
    void make_submission(stream& source);
    void submit(std::uint64_t number, std::optional<unsigned> host, rng& random);
    std::optional<unsigned> choose_host(rng& random);
    void answered(std::uint64_t number, const dispatch::caller_answer& answer);
    double fastest(bool only_free) const;
    void poll_platform();
    void lose_link(unsigned a, unsigned b);

    cluster_options options_;
    std::shared_ptr<settings::cluster_settings> settings_;
    std::priority_queue<event> events_;
    std::uint64_t next_sequence_ = 0;
    time_point now_ = start;
    rng random_;
    std::deque<stream> streams_;
    std::vector<host_state> hosts_;
    std::vector<runner> workers_;
    std::map<std::string, unsigned> host_numbers_;
    std::map<std::string, unsigned> worker_numbers_;
    std::map<std::uint64_t, submission_record> submissions_;
    std::map<unsigned, std::uint64_t> total_sends_;
    std::uint64_t next_submission_ = 1;
    std::uint64_t next_token_ = 1;
    std::optional<std::string> cut_domain_;
    figures figures_;
};

} // namespace chivewharf::policy
