#pragma once

#include <array>
#include <base/digest.h>
#include <base/enum_names.h>
#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>
#include <variant>
#include <vector>

namespace chivewharf::wire {

/// Version of the schema that this build speaks. A peer with another major version is refused.
inline constexpr std::uint16_t schema_major = 1;
inline constexpr std::uint16_t schema_minor = 0;

using nonce = std::array<std::uint8_t, 16>;

// Bodies are opaque bytes here: the modules that own the records parse them. Names, addresses and
// ids are text. Durations are whole milliseconds.

/// First frame in each direction: who speaks. The nonce is fresh for each link.
struct hello {
    std::uint16_t major = schema_major;
    std::uint16_t minor = schema_minor;
    std::string domain;
    std::string host;
    std::uint64_t incarnation = 0;
    wire::nonce nonce{};
    bool operator==(const hello&) const = default;
};

/// Second frame in each direction: proves that the sender holds the peer key.
struct proof {
    sha256_digest hmac{};
    bool operator==(const proof&) const = default;
};

/// Keeps a link alive on which nothing else was sent.
struct ping {
    bool operator==(const ping&) const = default;
};

/// What a forwarded request asks the owner to do.
enum class operation : std::uint8_t { submit, fetch, cancel };

/// Value of `forward::wait_ms` for a caller that waits until the deadline.
inline constexpr std::uint32_t unspecified_wait_ms = UINT32_MAX;

/// A caller's request, passed to the host that owns the id. It is never forwarded again.
struct forward {
    std::uint64_t request_id = 0;
    std::string customer;
    std::string submission_id;
    wire::operation operation = operation::submit;
    std::uint32_t wait_ms = 0;
    std::string body;
    bool operator==(const forward&) const = default;
};

/// Answer to `forward`: HTTP status and outcome body, or the host that owns the id.
struct forward_answer {
    std::uint64_t request_id = 0;
    std::uint16_t status = 0;
    std::uint32_t retry_after_ms = 0;
    std::string owner; ///< if not empty, the request was not served: ask this host
    std::string body;
    bool operator==(const forward_answer&) const = default;
};

/// Liveness of the sender, to its watchers. `view` is a hash of the members it holds as live.
struct heartbeat {
    std::uint64_t incarnation = 0;
    std::uint32_t sequence = 0;
    std::uint64_t view = 0;
    bool operator==(const heartbeat&) const = default;
};

/// State of a member in a report.
enum class member_state : std::uint8_t { live, suspected, removed };

/// What the sender of a report holds about one host.
struct member_entry {
    std::string domain;
    std::string host;
    std::string address;
    std::uint64_t incarnation = 0;
    std::uint32_t sequence = 0;
    member_state state = member_state::live;
    std::uint32_t silence_ms = 0;       ///< time since the sender knows the host to have spoken
    std::uint32_t age_ms = 0;           ///< time since the host joined
    std::vector<std::uint64_t> retired; ///< incarnations that this one replaced
    bool operator==(const member_entry&) const = default;
};

/// One entry: a membership change, or a question about a suspected host. Several entries: a whole
/// table. `sync` asks for a table in return.
struct member_report {
    std::vector<member_entry> entries;
    bool sync = false;
    bool operator==(const member_report&) const = default;
};

/// One half of an averaging exchange. `keys` and `values` have the same length; values are
/// slot-seconds a second.
struct usage_average {
    std::uint32_t exchange = 0;
    std::uint32_t epoch = 0;
    bool reply = false;
    std::vector<std::uint32_t> keys;
    std::vector<float> values;
    bool operator==(const usage_average&) const = default;
};

/// Slots of one worker under one grant of the lender.
struct lent_slots {
    std::uint64_t grant = 0;
    std::string worker;
    std::uint32_t slots = 0;
    bool operator==(const lent_slots&) const = default;
};

/// Asks a home entry host for worker slots of a service and renews grants.
struct slot_request {
    std::uint64_t request = 0;
    std::string service;
    std::uint32_t slots = 0;
    std::vector<lent_slots> renew;
    bool operator==(const slot_request&) const = default;
};

/// Lends slots for the lease; without any it is a refusal.
struct slot_grant {
    std::uint64_t request = 0;
    std::string service;
    std::uint32_t lease_ms = 0;
    std::vector<lent_slots> granted;
    std::vector<lent_slots> renewed;
    std::uint32_t spare = 0;
    bool operator==(const slot_grant&) const = default;
};

/// Gives lent slots back early and names workers that announced to the sender that they leave.
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

/// Asks a seat to promise not to claim the ownership slots of the sender.
struct promise_request {
    std::string host;
    std::uint64_t incarnation = 0;
    std::vector<slot_epoch> slots;
    std::int64_t asked_at_ns = 0; ///< clock of the sender, returned unchanged
    bool operator==(const promise_request&) const = default;
};

/// The slots for which the seat promises not to claim.
struct promise {
    std::string configured_host;
    std::vector<slot_epoch> slots;
    std::int64_t asked_at_ns = 0;
    bool operator==(const promise&) const = default;
};

/// Records of an ownership slot, passed to its next owner. `last` marks the final part.
struct handover_records {
    std::uint16_t slot = 0;
    std::uint64_t epoch = 0;
    std::uint32_t quarantine_ms = 0; ///< that the sender had left
    bool last = false;
    std::string body;
    bool operator==(const handover_records&) const = default;
};

/// Configuration version in force at the sender.
struct config_version {
    std::uint64_t version = 0;
    bool operator==(const config_version&) const = default;
};

/// Asks for the record of a configuration version.
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

/// A task that has not started, passed to another domain. It is never spilled again.
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

/// Answer to `spill_task`. `end` is the number of `dispatch::call_end`.
struct spill_answer {
    std::uint64_t request_id = 0;
    std::uint8_t end = 0;
    std::string message;
    std::string body;
    bool operator==(const spill_answer&) const = default;
};

/// Slots of one service that the sender could use at once.
struct service_load {
    std::string service;
    std::uint32_t free_slots = 0;
    bool operator==(const service_load&) const = default;
};

/// Free slots of the sender, in answer to `config_version` from another domain.
struct load_report {
    std::vector<service_load> services;
    bool operator==(const load_report&) const = default;
};

/// A step of a job: tasks of the same size that may run at the same time.
struct job_step {
    std::uint32_t count = 0;
    std::uint32_t cpu_milli = 0;           ///< thousandths of a core, for each task
    std::uint32_t memory_mb = 0;           ///< for each task
    std::uint32_t accelerators = 0;        ///< for each task
    std::uint32_t estimate_ms = 0;         ///< the caller's rough estimate of one task's run time
    std::vector<std::uint32_t> depends_on; ///< earlier steps that must be complete, from 0
    bool gang = false;                     ///< all tasks must run at the same time
    bool same_rack = false;                ///< slower on more than one rack
    bool saves_progress = false;
    std::uint32_t max_per_worker = 0; ///< 0 is no limit
    std::string required_label;       ///< empty: any worker
    std::string data_rack;            ///< empty: no preference
    bool operator==(const job_step&) const = default;
};

/// A part of a failure domain's workers, for which one host orders all starts. A domain with few
/// workers is one shard.
struct shard {
    std::string domain;
    std::uint32_t index = 0; ///< from 0
    std::uint32_t count = 1; ///< shards that the domain is divided into
    bool operator==(const shard&) const = default;
    bool operator<(const shard& other) const
    {
        return std::tie(domain, index, count) < std::tie(other.domain, other.index, other.count);
    }
};

/// A job, sent by the host that its caller reached to the owner of a shard.
struct job_order {
    std::string job;
    std::uint32_t attempt = 1; ///< rises each time the job is sent anew
    std::string queue;
    std::string service;
    std::uint32_t priority = 0;     ///< 0 goes first
    std::uint32_t max_attempts = 1; ///< failed runs of a task after which the job has failed
    float stretch = 1;              ///< the objective is this times the run time, plus the target
    std::uint32_t target_ms = 0;
    std::uint32_t age_ms = 0;       ///< time since the caller's request arrived
    std::uint32_t remaining_ms = 0; ///< time until the caller stops waiting
    std::string payload;
    std::vector<job_step> steps;
    wire::shard shard; ///< whose workers run the tasks
    bool operator==(const job_order&) const = default;
};

/// How an owner's work on a job ended.
///  - `completed`, `failed`: final; the job has run.
///  - `overloaded`, `not_owner`, `impossible`: no task was started.
///  - `interrupted`: tasks have been started, and none of them runs any more.
///  - `abandoned`: tasks have been started and may run until their lease is over, or until the
///    domain's next owner stops them.
///  - `expired`: the caller's time was over; tasks had been started.
enum class job_end : std::uint8_t {
    completed,
    failed,
    overloaded,
    not_owner,
    impossible,
    interrupted,
    abandoned,
    expired
};

/// Result of a `job_order`.
struct job_result {
    std::string job;
    std::uint32_t attempt = 1;
    job_end end = job_end::completed;
    std::uint32_t retry_after_ms = 0;
    bool operator==(const job_result&) const = default;
};

/// The caller has left: the owner stops the job's tasks and sends no result.
struct job_cancel {
    std::string job;
    std::uint32_t attempt = 1;
    bool operator==(const job_cancel&) const = default;
};

/// The sender orders the starts at a shard's workers.
struct shard_claim {
    wire::shard shard;
    std::uint64_t epoch = 0;
    bool takeover_complete = false; ///< nothing that a predecessor started runs any more
    std::uint64_t free_milli = 0;   ///< free room of the usable workers, thousandths of a core
    std::uint32_t backlog_ms = 0;   ///< time that the waiting work will take
    bool leaving = false;           ///< a host that goes before the sender is to claim the shard
    bool operator==(const shard_claim&) const = default;
};

/// Number of shards of a failure domain, as the sender knows it. It never falls.
struct domain_shards {
    std::string domain;
    std::uint32_t count = 1;
    bool operator==(const domain_shards&) const = default;
};

/// What a host tells every other host at short intervals.
struct host_report {
    std::uint64_t fence_base = 0;   ///< 0 until the platform's log has given the host a number
    std::uint64_t known_config = 0; ///< version of the newest configuration that the host has
    bool leaving = false;           ///< the host stops as planned: it claims nothing new
    bool able = false;              ///< the host may claim a shard
    std::vector<shard_claim> claims;
    std::uint32_t processor_milli = 0; ///< processor time that the host has, thousandths of a core
    std::vector<domain_shards> domains;
    bool operator==(const host_report&) const = default;
};

/// Where a host can be reached.
struct host_record {
    std::string host;
    std::string domain;
    std::string address;
    bool operator==(const host_record&) const = default;
};

/// Hosts that the sender knows.
struct host_records {
    std::vector<host_record> hosts;
    bool operator==(const host_records&) const = default;
};

/// A leaving owner runs nothing on this worker any more and will order nothing there.
struct worker_release {
    std::string domain;
    std::string worker;
    bool operator==(const worker_release&) const = default;
};

/// Every message between entry hosts.
using message = std::variant<hello, proof, ping, forward, forward_answer, heartbeat, member_report,
                             usage_average, slot_request, slot_grant, slot_return, promise_request,
                             promise, handover_records, config_version, config_request,
                             config_record, spill_task, spill_answer, load_report, job_order,
                             job_result, job_cancel, host_report, host_records, worker_release>;

/// Name of the message's type, for logs and counters.
std::string_view name_of(const message& m);

} // namespace chivewharf::wire

namespace chivewharf {

template <>
struct enum_names<wire::operation> {
    static constexpr std::array<std::string_view, 3> names{"submit", "fetch", "cancel"};
};

template <>
struct enum_names<wire::job_end> {
    static constexpr std::array<std::string_view, 8> names{"completed", "failed",     "overloaded",
                                                           "not_owner", "impossible", "interrupted",
                                                           "abandoned", "expired"};
};

template <>
struct enum_names<wire::member_state> {
    static constexpr std::array<std::string_view, 3> names{"live", "suspected", "removed"};
};

} // namespace chivewharf
