#pragma once

#include <configlog/config_record.h>
#include <dispatch/entry_host.h>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <vector>

namespace chivewharf::dispatch {

/// Several whole entry hosts in virtual time with links, a platform's log, callers and runners.
/// Each command is a line of text, so a history of a property can be kept as a session.
class rig {
public:
    /// A task that a host gave to its shell and whose end was not reported.
    struct open_call {
        std::string host; ///< and incarnation
        send_task task;
        bool started = false;
    };

    /// A request of a caller.
    struct asked {
        std::string host; ///< and incarnation
        std::string id;
        std::string text; ///< of the command
        time_point at;
        std::vector<caller_answer> answers;
        bool cut = false; ///< the host died or the caller left
    };

    rig();
    ~rig();

    /// Carries out one command. Lines of the transcript are collected in `out`.
    void run(const std::string& line);

    std::string take_output();

    // Facts for invariants.
    time_point now() const { return now_; }
    const std::map<std::string, asked>& requests() const { return requests_; }
    const std::map<std::string, open_call>& calls() const { return calls_; }
    /// Ends by task after which it is not known whether the task ran.
    const std::map<std::string, unsigned>& ambiguous() const { return ambiguous_; }
    /// Starts by customer and task name.
    const std::map<std::string, unsigned>& starts() const { return starts_; }
    const std::map<std::string, std::vector<std::string>>& payloads() const { return payloads_; }
    std::vector<std::string> hosts() const;
    entry_host* host(const std::string& name);
    const std::string& violation() const { return violation_; }

    /// Guards that a test leaves out, to show that an invariant depends on them.
    bool ignore_confirm = false;
    bool old_links_deliver = false; ///< the command `stale` delivers messages of replaced links
    bool quiet = false;             ///< no transcript
    duration step = milliseconds{20};

private:
    struct node;
    struct letter {
        std::string from;
        std::uint64_t from_incarnation = 0;
        std::string to;
        std::uint64_t link = 0;
        wire::message message;
    };
    using words = std::vector<std::string>;

    void say(const std::string& text);
    clock_reading clock(const node& of) const;
    node* find(const std::string& name);
    void perform(node& of);
    void deliver_all();
    void hand_in(const letter& one);
    void begin_call(const std::string& name);
    bool linked(const std::string& a, const std::string& b) const;
    void link(const std::string& a, const std::string& b, bool up);
    void start_host(const std::string& name);
    void stop_host(const std::string& name);
    void advance(duration by);
    void read_logs(node& of);
    void request(const words& w, wire::operation operation, const std::string& line);
    void end_call(const words& w, const std::string& line);
    void publish(const std::string& line, std::size_t at);
    std::string expand(const std::string& text) const;
    std::shared_ptr<const settings::cluster_settings> settings_now() const;
    void show(const node& of, const action& one);
    static std::string text_of(const wire::message& message);

    nlohmann::json base_;
    time_point now_;
    std::map<std::string, std::unique_ptr<node>> nodes_;
    std::map<std::pair<std::string, std::string>, std::uint64_t> links_; ///< by ordered names
    std::uint64_t next_link_ = 1;
    std::set<std::pair<std::string, std::string>> held_;
    std::set<std::pair<std::string, std::string>> cut_;
    std::vector<letter> mail_;
    std::vector<letter> stale_;                                    ///< of links that were replaced
    std::map<std::string, ownership::ownership_log_state> owners_; ///< fold of each stream
    std::map<std::string, std::vector<std::pair<wall_ms, std::string>>> log_;
    std::map<std::string, std::string> names_;
    std::map<std::string, asked> requests_;
    std::map<submission::waiter, std::string> waiter_names_;
    submission::waiter next_waiter_ = 1;
    std::map<std::string, open_call> calls_;
    std::uint64_t next_call_ = 1;
    std::map<std::string, unsigned> starts_;
    std::map<std::string, unsigned> ambiguous_;
    std::map<std::string, std::vector<std::string>> payloads_;
    std::string log_mode_ = "up";
    std::int64_t version_ = 0;
    std::uint64_t incarnations_ = 0;
    std::map<std::string, std::int64_t> seen_version_;
    std::map<std::string, unsigned> claims_;
    std::set<std::string> shown_;
    std::ostringstream out_;
    std::string violation_;
};

} // namespace chivewharf::dispatch
