#pragma once

#include <array>
#include <base/digest.h>
#include <base/enum_names.h>
#include <cstdint>
#include <string>
#include <string_view>
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
inline constexpr std::uint32_t no_wait = UINT32_MAX;

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
    std::string seat;
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

/// Every message between entry hosts.
using message = std::variant<hello, proof, ping, forward, forward_answer, heartbeat, member_report,
                             usage_average, slot_request, slot_grant, slot_return, promise_request,
                             promise, handover_records, config_version, config_request,
                             config_record, spill_task, spill_answer, load_report>;

/// Name of the message's type, for logs and counters.
std::string_view name_of(const message& m);

} // namespace chivewharf::wire

namespace chivewharf {

template <>
struct enum_names<wire::operation> {
    static constexpr std::array<std::string_view, 3> names{"submit", "fetch", "cancel"};
};

template <>
struct enum_names<wire::member_state> {
    static constexpr std::array<std::string_view, 3> names{"live", "suspected", "removed"};
};

} // namespace chivewharf
