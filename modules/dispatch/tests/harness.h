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

/// Runs several complete entry hosts in virtual time, with simulated links, platform log, callers
/// and runners. Each command is a line of text, so that a history found by a property test can be
/// stored as a session.
class harness {
public:
    /// A task that a host asked its shell to send and whose outcome has not been reported.
    struct open_call {
        std::string host; ///< with a suffix if that incarnation has stopped
        send_task task;
        bool started = false;
    };

    /// A request of a caller.
    struct caller_record {
        std::string host; ///< with a suffix if that incarnation has stopped
        std::string id;
        std::string text; ///< text of the command
        time_point at;
        std::vector<caller_answer> answers;
        bool abandoned = false; ///< the host was killed or the caller disconnected
    };

    harness();
    ~harness();

    /// Executes one command. Its transcript is returned by `take_output`.
    void run(const std::string& line);

    std::string take_output();

    // State that the checks of the invariants read.
    time_point now() const { return now_; }
    const std::map<std::string, caller_record>& requests() const { return requests_; }
    const std::map<std::string, open_call>& calls() const { return calls_; }
    /// Number of outcomes, by customer and task name, that leave open whether the task ran.
    const std::map<std::string, unsigned>& ambiguous() const { return ambiguous_; }
    /// Number of starts, by customer and task name.
    const std::map<std::string, unsigned>& starts() const { return starts_; }
    const std::map<std::string, std::vector<std::string>>& payloads() const { return payloads_; }
    std::vector<std::string> hosts() const;
    entry_host* host(const std::string& name);
    const std::string& violation() const { return violation_; }

    // Protections that a test can disable, to show that the invariants detect their absence.

    /// Starts tasks without calling `confirm_start`.
    bool ignore_confirm = false;
    bool old_links_deliver = false; ///< the command `stale` delivers messages of replaced links
    bool quiet = false;             ///< writes no transcript
    duration step = milliseconds{20};

private:
    struct node;
    struct queued_message {
        std::string from;
        std::uint64_t from_incarnation = 0;
        std::string to;
        std::uint64_t link = 0;
        wire::message message;
    };
    using arguments = std::vector<std::string>;

    void print(const std::string& text);
    clock_reading clock(const node& host_node) const;
    node* find(const std::string& name);
    void perform_actions(node& host_node);
    void deliver_all();
    void deliver(const queued_message& item);
    void begin_call(const std::string& name);
    bool linked(const std::string& a, const std::string& b) const;
    void link(const std::string& a, const std::string& b, bool up);
    void start_host(const std::string& name);
    void stop_host(const std::string& name);
    void advance(duration by);
    void read_logs(node& host_node);
    void request(const arguments& w, wire::operation operation, const std::string& line);
    void end_call(const arguments& w, const std::string& line);
    void publish(const std::string& line, std::size_t at);
    std::string expand(const std::string& text) const;
    std::shared_ptr<const settings::cluster_settings> settings_now() const;
    void show(const node& host_node, const action& item);
    static std::string text_of(const wire::message& message);

    nlohmann::json base_;
    time_point now_;
    std::map<std::string, std::unique_ptr<node>> nodes_;
    /// Link number by ordered pair of host names.
    std::map<std::pair<std::string, std::string>, std::uint64_t> links_;
    std::uint64_t next_link_ = 1;
    std::set<std::pair<std::string, std::string>> held_links_;
    std::set<std::pair<std::string, std::string>> unlinked_;
    std::vector<queued_message> in_transit_;
    std::vector<queued_message> stale_messages_; ///< sent on links that were replaced
    /// State of each ownership stream.
    std::map<std::string, ownership::ownership_log_state> ownership_logs_;
    std::map<std::string, std::vector<std::pair<wall_ms, std::string>>> log_;
    std::map<std::string, std::string> issued_ids_;
    std::map<std::string, caller_record> requests_;
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
    std::map<std::string, std::int64_t> last_version_;
    std::map<std::string, unsigned> claims_;
    std::set<std::string> shown_messages_;
    std::ostringstream out_;
    std::string violation_;
};

} // namespace chivewharf::dispatch
