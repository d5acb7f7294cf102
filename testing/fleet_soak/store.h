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

/// How the store treats calls.
///  - `up`: as it should. `refusing`: answers 503. `silent`: answers nothing.
///  - `losing`: carries appends out and does not answer them.
enum class store_mode { up, refusing, silent, losing };

/// The platform's store: topics of keyed records over the platform's HTTP calls. Each entry host
/// has an address of its own, so that the store can tell them apart.
class standin_store {
public:
    /// Makes the value that a host reads; it may differ between hosts.
    using render = std::function<std::string(const std::string& value, int host)>;

    explicit standin_store(render make_value);

    /// Listens for one host; ends the program if it cannot.
    void listen(int host, const std::string& address);

    /// Appends a record; an empty value removes the key.
    void put(const std::string& topic, const std::string& key, const std::string& value);

    void set_mode(store_mode mode) { mode_ = mode; }

    /// Deletes the records before the newest ones, so that readers must begin anew.
    void forget_history();

private:
    struct record {
        std::string key;
        std::string value;
    };
    struct topic_log {
        std::vector<record> records;
        std::size_t first = 0; ///< records before it have been deleted
        std::map<std::string, std::size_t> newest;
    };
    struct waiting_read {
        std::shared_ptr<runtime::http_exchange> exchange;
        int host;
        std::string topic;
        std::size_t from;
        time_point until;
    };

    void handle(int host, const std::shared_ptr<runtime::http_exchange>& exchange);
    void append(const std::shared_ptr<runtime::http_exchange>& exchange);
    void read(int host, const std::shared_ptr<runtime::http_exchange>& exchange);
    void newest(int host, const std::shared_ptr<runtime::http_exchange>& exchange);
    void respond_records(const waiting_read& to);
    void answer_waiting();

    render make_value_;
    store_mode mode_ = store_mode::up;
    std::map<std::string, topic_log> topics_;
    std::list<waiting_read> waiting_;
    std::vector<std::unique_ptr<runtime::http_server>> servers_;
    runtime::timer tick_;
};

} // namespace chivewharf::fleet_soak
