#pragma once

#include <base/rng.h>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <runtime/http_server.h>
#include <string>
#include <vector>

namespace chivewharf::fleet_soak {

/// How the store handles calls.
///  - `up`: normally. `refusing`: answers 503. `silent`: does not answer.
///  - `losing`: carries appends out but does not answer them.
enum class store_mode { up, refusing, silent, losing };

/// Stand-in for the platform's store: topics of keyed records, served over the platform's HTTP
/// calls. Each entry host has its own address for the store, which identifies the host.
class standin_store {
public:
    /// Returns the value that a host reads for a stored value; it may differ between hosts.
    using render = std::function<std::string(const std::string& value, int host)>;

    explicit standin_store(render render_value);

    /// Listens for one host; exits the program with 1 if the address cannot be bound.
    void listen(int host, const std::string& address);

    /// Appends a record; an empty value removes the key.
    void put(const std::string& topic, const std::string& key, const std::string& value);

    void set_mode(store_mode mode) { mode_ = mode; }

    /// Deletes all records from the logs, so that readers of old offsets get 410 and must start
    /// again from the newest values.
    void forget_history();

private:
    struct record {
        std::string key;
        std::string value;
    };
    struct topic_log {
        std::vector<record> records;
        std::size_t first = 0;                     ///< offset of the oldest record that is kept
        std::map<std::string, std::size_t> newest; ///< offset of the newest record by key
    };
    struct pending_read {
        std::shared_ptr<runtime::http_exchange> exchange;
        int host;
        std::string topic;
        std::size_t from;
        time_point deadline;
    };

    void handle(int host, const std::shared_ptr<runtime::http_exchange>& exchange);
    void append(const std::shared_ptr<runtime::http_exchange>& exchange);
    void read(int host, const std::shared_ptr<runtime::http_exchange>& exchange);
    void newest(int host, const std::shared_ptr<runtime::http_exchange>& exchange);
    void respond_records(const pending_read& pending);
    void answer_pending_reads();

    render render_value_;
    store_mode mode_ = store_mode::up;
    std::map<std::string, topic_log> topics_;
    std::list<pending_read> pending_reads_;
    std::vector<std::unique_ptr<runtime::http_server>> servers_;
    runtime::timer tick_;
};

} // namespace chivewharf::fleet_soak
