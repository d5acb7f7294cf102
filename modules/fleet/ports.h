#pragma once

#include <array>
#include <base/enum_names.h>
#include <base/time.h>
#include <cstdint>
#include <fleet/topic_follower.h>
#include <fleet/types.h>
#include <functional>
#include <optional>
#include <string>
#include <vector>
#include <wire/messages.h>

namespace chivewharf::fleet {

/// How a worker answered an order.
///  - `accepted`: carried out now or earlier.
///  - `fenced`: the worker has seen a higher fencing token.
///  - `stale_run`: a run of the task with this number or a higher one has ended or been stopped.
///  - `expired`: the order arrived after its expiry.
///  - `no_room`, `refused`: the worker lacks free resources or refused for another reason, and did
///    nothing.
///  - `other_incarnation`: another worker answers at the address.
///  - `not_sent`: no connection to the worker, or none in time; nothing was done.
///  - `unanswered`: no reply arrived; the order may have been carried out, or may still be until it
///    expires.
enum class order_outcome : std::uint8_t {
    accepted,
    fenced,
    stale_run,
    expired,
    no_room,
    refused,
    other_incarnation,
    not_sent,
    unanswered
};

/// The worker that an order is sent to.
struct worker_address {
    std::string id;
    std::string address;
};

/// Starts a run of a task.
struct start_order {
    worker_address to;
    std::uint64_t token = 0; ///< fencing token of the owner
    std::string task;
    std::uint32_t run = 1;
    std::string payload;
    std::string saved;              ///< progress saved by an earlier run; empty if there is none
    std::int64_t expires_at_ms = 0; ///< end of the lease and of the order, by the worker's clock
};

/// Stops a run of a task, or prevents a start that the worker has not carried out yet.
struct stop_order {
    worker_address to;
    std::uint64_t token = 0;
    std::string task;
    std::uint32_t run = 1;
};

/// Status poll: asks a worker which tasks run and which have ended, sets the fencing token and
/// renews the lease. It is a long poll if `wait` is not zero.
struct status_request {
    worker_address to;
    std::uint64_t token = 0;
    std::uint64_t acknowledged_end = 0; ///< number of the last task end that the owner processed
    std::optional<std::int64_t> expires_at_ms; ///< new lease end (worker's clock); none: no renewal
    duration wait{}; ///< maximum delay of the reply; the worker replies earlier if a task ends
};

struct running_task {
    std::string task;
    std::uint32_t run = 0;
    std::string saved;
    int percent = 0;
};

struct ended_task {
    std::uint64_t number = 0; ///< counts up from 1 within an incarnation of the worker
    std::string task;
    std::uint32_t run = 0;
    task_end end = task_end::done;
    std::string saved;
};

/// Reply to a start or stop order.
struct order_reply {
    order_outcome outcome = order_outcome::unanswered;
    std::optional<std::int64_t> clock_ms; ///< reading of the worker's clock
    time_point received{};
};

/// Reply to a status poll. The lists are valid only if the outcome is `accepted`.
struct status_reply {
    order_outcome outcome = order_outcome::unanswered;
    std::int64_t clock_ms = 0;
    std::int64_t incarnation = 0;
    bool more_ends = false; ///< further ended tasks follow in later replies
    std::vector<running_task> running;
    std::vector<ended_task> ended;
    time_point received{};
};

/// Sends orders to workers. Each reply function is called exactly once, and only after the call
/// that sent the order has returned.
class worker_port {
public:
    worker_port() = default;
    worker_port(const worker_port&) = delete;
    worker_port& operator=(const worker_port&) = delete;
    virtual ~worker_port() = default;

    virtual void start(start_order order, std::function<void(const order_reply&)> reply) = 0;
    virtual void stop(stop_order order, std::function<void(const order_reply&)> reply) = 0;
    virtual void poll_status(status_request order, std::function<void(status_reply)> reply) = 0;
};

/// Topics of the platform's store.
///  - `configuration`: written by operators. `workers`: written by workers. `hosts`: addresses of
///    hosts, each written by the host itself.
enum class store_topic : std::uint8_t { configuration, workers, hosts };

/// Result of a read.
struct store_reply {
    bool answered = false;
    bool history_gone = false; ///< the requested records have been deleted
    bool more = false;         ///< further pages follow
    bool too_large = false;    ///< not answered, since the reply was larger than this host accepts
    std::uint64_t end = 0;     ///< offset after the topic's last record
    std::vector<keyed_record> records;
    std::string problem; ///< error message if it was not answered
};

/// Reads from and writes to the platform's store. Each reply function is called exactly once, and
/// only after the call that it was passed to has returned.
class store_port {
public:
    store_port() = default;
    store_port(const store_port&) = delete;
    store_port& operator=(const store_port&) = delete;
    virtual ~store_port() = default;

    /// \param wait how long the store may hold open a read at the topic's end (long poll)
    virtual void read(store_topic topic, const topic_follower::request& what, duration wait,
                      std::function<void(store_reply)> reply) = 0;

    /// Publishes this host's address.
    /// \param reply receives the record's number, which is unique among all hosts' records and
    ///        higher than every earlier one; none if the write was not answered
    virtual void announce(const wire::host_record& self,
                          std::function<void(std::optional<std::uint64_t>)> reply) = 0;
};

/// Sends messages to other hosts. A message to a host without a link is dropped.
class peer_port {
public:
    peer_port() = default;
    peer_port(const peer_port&) = delete;
    peer_port& operator=(const peer_port&) = delete;
    virtual ~peer_port() = default;

    virtual void send(const std::string& host, const wire::message& message) = 0;

    /// Closes the link to a host that has gone silent. Messages that have arrived on it are
    /// delivered from within the call.
    virtual void drop(const std::string& host) = 0;
};

/// Answer to the caller of a job.
///  - `completed`, `failed`: the job has run.
///  - `not_run`: no task was or will be started; the caller may submit the job again later.
///  - `lost`: tasks may have been started, and their result is unknown.
///  - `cancelled`: the caller has cancelled it; no task runs on.
enum class job_answer : std::uint8_t { completed, failed, not_run, lost, cancelled };

/// Answers callers.
class caller_port {
public:
    caller_port() = default;
    caller_port(const caller_port&) = delete;
    caller_port& operator=(const caller_port&) = delete;
    virtual ~caller_port() = default;

    /// \param retry_after for `not_run`: time after which the caller may retry
    virtual void answer(std::uint64_t request, job_answer answer, duration retry_after) = 0;

    /// Reports the callers whose connections have ended, as far as this host has been told: also
    /// those whose end waits unread. They are reported from within the call.
    /// \return their number
    virtual std::size_t report_departures() = 0;
};

} // namespace chivewharf::fleet

template <>
struct chivewharf::enum_names<chivewharf::fleet::order_outcome> {
    static constexpr std::array<std::string_view, 9> names{"accepted",   "fenced",   "stale_run",
                                                           "expired",    "no_room",  "refused",
                                                           "other_life", "not_sent", "unanswered"};
};

template <>
struct chivewharf::enum_names<chivewharf::fleet::store_topic> {
    static constexpr std::array<std::string_view, 3> names{"configuration", "workers", "hosts"};
};

template <>
struct chivewharf::enum_names<chivewharf::fleet::job_answer> {
    static constexpr std::array<std::string_view, 5> names{"completed", "failed", "not_run", "lost",
                                                           "cancelled"};
};
