#pragma once

#include <array>
#include <base/digest.h>
#include <base/enum_names.h>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <variant>
#include <vector>

namespace chivewharf::wire {

/// Schema version of this build. The handshake rejects a peer with another major version.
inline constexpr std::uint16_t schema_major = 1;
inline constexpr std::uint16_t schema_minor = 0;

using nonce = std::array<std::uint8_t, 16>;

// Names, addresses and ids are text; durations are whole milliseconds. Bodies are opaque bytes,
// which are parsed by the modules that define their content.

/// First frame in each direction: identifies the sender. The nonce is new for each link.
struct hello {
    std::uint16_t major = schema_major;
    std::uint16_t minor = schema_minor;
    std::string domain;
    std::string host;
    std::uint64_t incarnation = 0;
    wire::nonce nonce{};
    bool operator==(const hello&) const = default;
};

/// Second frame in each direction: proves that the sender has the peer key.
struct proof {
    sha256_digest hmac{};
    bool operator==(const proof&) const = default;
};

/// Keepalive of a link on which nothing else was sent.
struct ping {
    bool operator==(const ping&) const = default;
};

/// Operation that a forwarded request asks of the owner.
enum class operation : std::uint8_t { submit, fetch, cancel };

/// Value of `forward::wait_ms` if the caller specified no wait and so waits until the deadline.
inline constexpr std::uint32_t unspecified_wait_ms = UINT32_MAX;

/// A caller's request, forwarded to the host that owns the id. The receiver never forwards it
/// again.
struct forward {
    std::uint64_t request_id = 0;
    std::string customer;
    std::string submission_id;
    wire::operation operation = operation::submit;
    std::uint32_t wait_ms = 0;
    std::string body;
    bool operator==(const forward&) const = default;
};

/// Reply to `forward`: HTTP status and result body, or the host that owns the id.
struct forward_answer {
    std::uint64_t request_id = 0;
    std::uint16_t status = 0;
    std::uint32_t retry_after_ms = 0;
    std::string owner; ///< if not empty, the request was not served and belongs to this host
    std::string body;
    bool operator==(const forward_answer&) const = default;
};

/// Tells the hosts that monitor the sender that it is alive. `view` is a hash of the members that
/// the sender considers live.
struct heartbeat {
    std::uint64_t incarnation = 0;
    std::uint32_t sequence = 0;
    std::uint64_t view = 0;
    bool operator==(const heartbeat&) const = default;
};

/// State of a member in a report.
enum class member_state : std::uint8_t { live, suspected, removed };

/// What the sender of a report knows about one host.
struct member_entry {
    std::string domain;
    std::string host;
    std::string address;
    std::uint64_t incarnation = 0;
    std::uint32_t sequence = 0;
    member_state state = member_state::live;
    std::uint32_t silence_ms = 0;       ///< time since the host was last known to be alive
    std::uint32_t age_ms = 0;           ///< time since the host joined
    std::vector<std::uint64_t> retired; ///< incarnations that this one replaced
    bool operator==(const member_entry&) const = default;
};

/// With one entry: a membership change or a query about a suspected host. With several entries: the
/// sender's member table. `sync` requests the receiver's table in return.
struct member_report {
    std::vector<member_entry> entries;
    bool sync = false;
    bool operator==(const member_report&) const = default;
};

/// Request or reply of an exchange that averages usage between two hosts. `keys` and `values` have
/// the same length; values are in slot-seconds per second.
struct usage_average {
    std::uint32_t exchange = 0;
    std::uint32_t epoch = 0;
    bool reply = false;
    std::vector<std::uint32_t> keys;
    std::vector<float> values;
    bool operator==(const usage_average&) const = default;
};

/// Slots of one worker that are lent under one grant.
struct lent_slots {
    std::uint64_t grant = 0;
    std::string worker;
    std::uint32_t slots = 0;
    bool operator==(const lent_slots&) const = default;
};

/// Requests worker slots of a service from their home entry host and renews earlier grants.
struct slot_request {
    std::uint64_t request = 0;
    std::string service;
    std::uint32_t slots = 0;
    std::vector<lent_slots> renew;
    bool operator==(const slot_request&) const = default;
};

/// Reply to `slot_request`: lends slots for `lease_ms`. A grant without slots is a refusal.
struct slot_grant {
    std::uint64_t request = 0;
    std::string service;
    std::uint32_t lease_ms = 0;
    std::vector<lent_slots> granted;
    std::vector<lent_slots> renewed;
    std::uint32_t spare = 0;
    bool operator==(const slot_grant&) const = default;
};

/// Returns lent slots before their lease ends and lists workers that have told the sender that they
/// are leaving.
struct slot_return {
    std::vector<lent_slots> slots;
    std::vector<std::string> leaving;
    bool operator==(const slot_return&) const = default;
};

/// An ownership slot at an epoch.
struct slot_epoch {
    std::uint16_t slot = 0;
    std::uint64_t epoch = 0;
    bool operator==(const slot_epoch&) const = default;
};

/// Asks a configured host to promise that it will not claim the ownership slots of the sender.
struct promise_request {
    std::string host;
    std::uint64_t incarnation = 0;
    std::vector<slot_epoch> slots;
    std::int64_t asked_at_ns = 0; ///< time on the sender's clock, returned unchanged
    bool operator==(const promise_request&) const = default;
};

/// Reply to `promise_request`: the slots that the configured host promises not to claim.
struct promise {
    std::string configured_host;
    std::vector<slot_epoch> slots;
    std::int64_t asked_at_ns = 0;
    bool operator==(const promise&) const = default;
};

/// Part of the records of an ownership slot, sent to its next owner. `last` marks the final part.
struct handover_records {
    std::uint16_t slot = 0;
    std::uint64_t epoch = 0;
    std::uint32_t quarantine_ms = 0; ///< remaining quarantine at the sender
    bool last = false;
    std::string body;
    bool operator==(const handover_records&) const = default;
};

/// Version of the configuration in force at the sender.
struct config_version {
    std::uint64_t version = 0;
    bool operator==(const config_version&) const = default;
};

/// Requests the record of a configuration version.
struct config_request {
    std::uint64_t version = 0;
    bool operator==(const config_request&) const = default;
};

/// A configuration record.
struct config_record {
    std::uint64_t version = 0;
    std::string body;
    bool operator==(const config_record&) const = default;
};

/// A task that has not started, passed to another domain. The receiver never spills it again.
struct spill_task {
    std::uint64_t request_id = 0;
    std::string customer;
    std::string service;
    std::string kind;
    std::string task; ///< `ID/INDEX`
    std::uint32_t attempt = 1;
    std::uint32_t deadline_ms = 0;
    std::string body;
    bool operator==(const spill_task&) const = default;
};

/// Reply to `spill_task`. `end` is the numeric value of a `dispatch::call_end`.
struct spill_answer {
    std::uint64_t request_id = 0;
    std::uint8_t end = 0;
    std::string message;
    std::string body;
    bool operator==(const spill_answer&) const = default;
};

/// Slots of one service that are free at the sender.
struct service_load {
    std::string service;
    std::uint32_t free_slots = 0;
    bool operator==(const service_load&) const = default;
};

/// Free slots of the sender, in reply to `config_version` from another domain.
struct load_report {
    std::vector<service_load> services;
    bool operator==(const load_report&) const = default;
};

/// A step of a job: tasks with the same resource needs that may run concurrently.
struct job_step {
    std::uint32_t count = 0;
    std::uint32_t cpu_milli = 0;           ///< thousandths of a core, per task
    std::uint32_t memory_mb = 0;           ///< per task
    std::uint32_t accelerators = 0;        ///< per task
    std::uint32_t estimate_ms = 0;         ///< the caller's estimate of the run time of one task
    std::vector<std::uint32_t> depends_on; ///< earlier steps to complete first, zero-based
    bool gang = false;                     ///< all tasks must run at the same time
    bool same_rack = false;                ///< tasks run slower when spread over several racks
    bool saves_progress = false;
    std::uint32_t max_per_worker = 0; ///< 0 means no limit
    std::string required_label;       ///< empty: any worker
    std::string data_rack;            ///< empty: no preference
    bool operator==(const job_step&) const = default;
};

/// A subset of a failure domain's workers for which a single host, the owner, orders all task
/// starts. A domain with few workers consists of one shard.
struct shard {
    std::string domain;
    std::uint32_t index = 0; ///< zero-based
    std::uint32_t count = 1; ///< number of shards in the domain
    bool operator==(const shard&) const = default;
    bool operator<(const shard& other) const
    {
        return std::tie(domain, index, count) < std::tie(other.domain, other.index, other.count);
    }
};

/// A job, sent to the owner of a shard by the host that received the caller's request.
struct job_order {
    std::string job;
    std::uint32_t attempt = 1; ///< incremented each time the job is sent again
    std::string queue;
    std::string service;
    std::uint32_t priority = 0;     ///< 0 is the highest priority
    std::uint32_t max_attempts = 1; ///< failed runs of a task after which the job fails
    float stretch = 1;              ///< latency objective: `stretch` * run time + `target_ms`
    std::uint32_t target_ms = 0;
    std::uint32_t age_ms = 0;       ///< time since the caller's request was received
    std::uint32_t remaining_ms = 0; ///< time left until the caller stops waiting
    std::string payload;
    std::vector<job_step> steps;
    wire::shard shard; ///< shard whose workers run the tasks
    /// Newest revision of the owner's workers that the sender knows: no task may start on a worker
    /// that the owner has added since. 0: on any.
    std::uint64_t worker_revision = 0;
    /// Reading of the receiver's clock in milliseconds, CLOCK_BOOTTIME, that was reached before the
    /// order was sent. It bounds the time for which the order was on its way. 0: not told.
    std::int64_t sent_at_ms = 0;
    bool operator==(const job_order&) const = default;
};

/// How an owner's work on a job ended.
///  - `completed`, `failed`: final; the job has run.
///  - `overloaded`, `not_owner`, `impossible`: no task was started.
///  - `interrupted`: tasks were started, and none of them is still running.
///  - `abandoned`: tasks were started and may run until their lease expires or the domain's next
///    owner stops them.
///  - `expired`: the caller's deadline has passed. Tasks may have run, but none starts any more.
///  - `stale`: the order may have been on its way for too long; it started no task. Only sent in
///    reply to an order that states `sent_at_ms`.
enum class job_end : std::uint8_t {
    completed,
    failed,
    overloaded,
    not_owner,
    impossible,
    interrupted,
    abandoned,
    expired,
    stale
};

/// Reply to `job_order`.
struct job_result {
    std::string job;
    std::uint32_t attempt = 1;
    job_end end = job_end::completed;
    std::uint32_t retry_after_ms = 0;
    bool operator==(const job_result&) const = default;
};

/// Ends a job.
///  - `attempt` 0: its caller has cancelled it. Each receiver ends what it has of the job and takes
///    it for cancelled if it arrives later.
///  - Otherwise the sender, which had sent that attempt, has given the job up. The owner stops the
///    job's tasks and sends no result.
struct job_cancel {
    std::string job;
    std::uint32_t attempt = 1;
    bool operator==(const job_cancel&) const = default;
};

/// Expected time until a job of the priority that arrives now can start.
struct priority_wait {
    std::uint32_t priority = 0; ///< 0 is the highest priority
    std::uint32_t wait_ms = 0;
    bool operator==(const priority_wait&) const = default;
};

/// What a shard can still take.
struct shard_room {
    std::uint32_t startable_tasks = 0; ///< tasks of the shard's typical demand that fit now
    std::vector<priority_wait> waits;  ///< by rising priority number
    bool operator==(const shard_room&) const = default;
};

/// States that the sender owns a shard, that is, orders all task starts at the shard's workers.
struct shard_claim {
    wire::shard shard;
    std::uint64_t epoch = 0;
    /// No task that a predecessor started can still run on the workers that the sender uses.
    bool takeover_complete = false;
    std::uint64_t free_milli = 0; ///< free capacity of the usable workers, thousandths of a core
    std::uint32_t backlog_ms = 0; ///< time needed to run the queued work
    bool leaving = false;         ///< the sender wants a host with precedence to claim the shard
    std::uint64_t worker_revision =
        0; ///< rises with each change of the workers in use; 0: not told
    /// Ids of the workers on which the sender may start tasks; empty if the receiver has had those
    /// of this revision.
    std::vector<std::string> workers{};
    std::optional<shard_room> room{}; ///< none if the sender does not tell
    bool operator==(const shard_claim&) const = default;
};

/// Number of shards of a failure domain as known to the sender. It never decreases.
struct domain_shards {
    std::string domain;
    std::uint32_t count = 1;
    bool operator==(const domain_shards&) const = default;
};

/// State that each host sends to every other host at short intervals.
struct host_report {
    std::uint64_t fence_base = 0;   ///< 0 until the platform's store has assigned the host a number
    std::uint64_t known_config = 0; ///< newest configuration version that the host has
    bool leaving = false;           ///< the host is shutting down as planned and claims nothing new
    bool able = false;              ///< the host may claim a shard
    std::vector<shard_claim> claims;
    std::uint32_t processor_milli = 0; ///< CPU available to the host, thousandths of a core
    std::vector<domain_shards> domains;
    bool accepts_store_records = false; ///< the host accepts `store_records`
    /// End of the part of the operators' topic that `drained_domains` is based on; 0: not told.
    std::uint64_t operator_offset = 0;
    std::vector<std::string> drained_domains{}; ///< failure domains in which no task may start
    /// Reading of the sender's clock in milliseconds, CLOCK_BOOTTIME; 0: not told.
    std::int64_t clock_ms = 0;
    bool operator==(const host_report&) const = default;
};

/// Network address of a host.
struct host_record {
    std::string host;
    std::string domain;
    std::string address;
    bool operator==(const host_record&) const = default;
};

/// Hosts that the sender knows. An empty list asks the receiver for its own list.
struct host_records {
    std::vector<host_record> hosts;
    bool operator==(const host_records&) const = default;
};

/// Sent by an owner that is leaving: it runs nothing on the worker and will start nothing there.
struct worker_release {
    std::string domain;
    std::string worker;
    bool operator==(const worker_release&) const = default;
};

/// A record of a compacted topic of the platform's store.
struct store_record {
    std::string key;
    std::uint64_t offset = 0;
    bool deleted = false; ///< the key was deleted; there is no value
    std::string value;
    bool operator==(const store_record&) const = default;
};

/// Sent by the host that reads a topic of the platform's store for its failure domain: the records
/// with offsets from `begin` up to, but not including, `end`. Records that do not change what a
/// host knows are left out, so that the list may be empty.
struct store_records {
    std::uint8_t topic = 0; ///< `fleet::store_topic`
    std::uint64_t begin = 0;
    std::uint64_t end = 0;
    std::vector<store_record> records;
    bool operator==(const store_records&) const = default;
};

/// Any message between entry hosts.
using message =
    std::variant<hello, proof, ping, forward, forward_answer, heartbeat, member_report,
                 usage_average, slot_request, slot_grant, slot_return, promise_request, promise,
                 handover_records, config_version, config_request, config_record, spill_task,
                 spill_answer, load_report, job_order, job_result, job_cancel, host_report,
                 host_records, worker_release, store_records>;

/// Name of the message type, for logs and metrics.
std::string_view name_of(const message& m);

} // namespace chivewharf::wire

namespace chivewharf {

template <>
struct enum_names<wire::operation> {
    static constexpr std::array<std::string_view, 3> names{"submit", "fetch", "cancel"};
};

template <>
struct enum_names<wire::job_end> {
    static constexpr std::array<std::string_view, 9> names{"completed", "failed",     "overloaded",
                                                           "not_owner", "impossible", "interrupted",
                                                           "abandoned", "expired",    "stale"};
};

template <>
struct enum_names<wire::member_state> {
    static constexpr std::array<std::string_view, 3> names{"live", "suspected", "removed"};
};

} // namespace chivewharf
