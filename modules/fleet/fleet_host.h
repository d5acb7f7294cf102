#pragma once

#include <base/result.h>
#include <base/time.h>
#include <cstdint>
#include <fleet/adoption_probe.h>
#include <fleet/claim_policy.h>
#include <fleet/cluster_config.h>
#include <fleet/config_state.h>
#include <fleet/host_directory.h>
#include <fleet/job_router.h>
#include <fleet/ports.h>
#include <fleet/request_log.h>
#include <fleet/shard_owner.h>
#include <fleet/shard_plan.h>
#include <fleet/worker_directory.h>
#include <functional>
#include <map>
#include <memory>
#include <metrics/registry.h>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chivewharf::fleet {

/// Who a host is.
struct host_identity {
    std::string host;
    std::string domain;
    std::string address;               ///< for other hosts
    std::uint64_t incarnation = 0;     ///< random number of this process
    std::uint32_t processor_milli = 0; ///< processor time that it has, thousandths of a core
};

/// Why a request is not passed on.
///  - `no_config`: this host has no configuration, or not the newest that it has heard of.
///  - `unknown_queue`: the configuration has no queue for it.
///  - `unsupported`: jobs of this kind are not served yet.
///  - `malformed`: the body is not a job.
enum class rejection : std::uint8_t { no_config, unknown_queue, unsupported, malformed };

/// What a caller asks to run, as decoded from the request's body.
struct job_request {
    std::string job;
    std::string payload;
    std::vector<wire::job_step> steps;
    bool durable = false;        ///< must outlive the caller's connection
    bool repeated = false;       ///< runs more than once
    bool perpetual = false;      ///< runs until it is cancelled
    bool fills_leftover = false; ///< uses only room that others leave
};

/// One host: joins what the store, other hosts, workers and callers tell, and decides. Everything
/// that happens is a call with the time; orders leave through the ports.
class fleet_host {
public:
    using config_decoder =
        std::function<result<cluster_config, std::string>(const std::string& record)>;

    fleet_host(host_identity self, std::vector<std::string> domains, worker_port& workers,
               peer_port& peers, caller_port& callers, metrics::registry& metrics,
               config_decoder decode, time_point now);

    // From the store.

    /// A number that no other process ever gets, and that is greater than all given before.
    void fence_base_granted(std::uint64_t number);
    /// A record of the configuration; an unreadable or older one changes nothing.
    void config_read(const std::string& record, time_point now);
    void worker_listed(worker_entry entry) { workers_.put(std::move(entry)); }
    void worker_unlisted(const std::string& id, time_point now) { workers_.remove(id, now); }
    /// Every listed worker has been read at least once: this host may claim shards.
    void workers_complete() { workers_complete_ = true; }
    void host_listed(const wire::host_record& record, time_point now);
    void store_answered(bool answered, time_point now) { workers_.store_answered(answered, now); }

    // From other hosts.

    void peer_linked(const std::string& host, const std::string& domain, std::uint64_t incarnation,
                     time_point now);
    void peer_unlinked(const std::string& host, time_point now);
    void peer_message(const std::string& host, const wire::message& message, time_point now);

    // From callers.

    /// Queue of a request, or why it is refused. It holds until the configuration changes.
    result<const queue_config*, rejection> find_queue(const std::string& virtual_host,
                                                      const std::string& path, time_point now);
    /// Takes a job for the queue, or says why not. The answer comes through the port.
    std::optional<rejection> submit(std::uint64_t request, const queue_config& queue,
                                    job_request job, duration patience, time_point now);
    /// Counts and logs a refusal.
    /// \param job id of the job, or the end of the path where that is not known
    /// \return the reason
    rejection reject(rejection why, const std::string& job, time_point now);
    job_router& router() noexcept { return *router_; }
    /// Cancels a job wherever it runs.
    /// \return false if this host does not know it
    bool cancel(const std::string& job, time_point now);

    void tick(time_point now);

    /// True if requests can be served: configuration and an owner are known.
    bool ready(time_point now) const;
    /// True if this host has a configuration, and no other has shown a newer one for longer than a
    /// moment.
    bool config_current(time_point now) const { return config_.current(now); }
    const std::optional<cluster_config>& config() const noexcept { return config_.config(); }

    /// Begins the planned stop: claims nothing new and hands over what it owns.
    void leave(time_point now);
    /// True once nothing is owned and no job is unanswered.
    bool drained() const;

    /// Known hosts that are not linked, for the shell to dial.
    std::vector<wire::host_record> unlinked_hosts() const;

    const host_identity& self() const noexcept { return self_; }

    /// What this host tells others.
    wire::host_report report(time_point now) const;

private:
    struct owned_shard {
        std::unique_ptr<shard_owner> owner;
        std::uint64_t epoch = 0;
        std::string predecessor; ///< leaving host that still has workers
        std::optional<time_point> fenced;
        std::uint32_t fences = 0;
        time_point owned_since{};
        std::optional<time_point> better_since; ///< another host should own the shard
        std::optional<time_point> offered;      ///< the shard is to be claimed by another host
    };

    std::vector<owner_view> owners(time_point now) const;
    void check_claims(time_point now);
    void check_claim(const wire::shard& shard, time_point now);
    void check_predecessor(const wire::shard& shard, owned_shard& owned, time_point now);
    void follow_plan(time_point now);
    void offer_shards(time_point now);
    std::vector<claim_candidate> candidates(const wire::shard& shard, time_point now) const;
    void claim(const wire::shard& shard, bool after_leaving, time_point now);
    void yield(const wire::shard& shard, time_point now);
    void take_again(const wire::shard& shard, owned_shard& owned, time_point now);
    std::uint64_t next_epoch(const std::string& domain);
    std::uint64_t token(std::uint64_t epoch) const;
    void to_owner(const std::string& host, const wire::message& message, time_point now);
    void take_order(const std::string& from, const wire::job_order& order, time_point now);
    void take_report(const std::string& from, const wire::host_report& report, time_point now);
    void send_report(time_point now);
    void send_due_reports(time_point now);
    void fetch_config(time_point now);
    void broadcast(const wire::message& message);
    /// Cancels the job at the shards that this host owns.
    void cancel_owned(const std::string& job, time_point now);
    void hand_over(time_point now);
    bool claimed_by_staying_host(const wire::shard& shard, time_point now) const;
    void drop_silent(time_point now);
    bool able(time_point now) const
    {
        return config_current(now) && workers_complete_ && fence_base_ != 0;
    }

    host_identity self_;
    std::vector<std::string> domains_;
    worker_port& worker_port_;
    peer_port& peers_;
    metrics::registry& metrics_;
    config_decoder decode_;
    request_log log_;
    host_directory directory_;
    worker_directory workers_;
    claim_policy policy_;
    std::unique_ptr<job_router> router_;
    shard_plan plan_;
    std::map<wire::shard, owned_shard> owned_;
    adoption_probe probe_;
    std::map<std::string, std::uint64_t> greatest_epoch_; ///< heard of, by domain
    config_state config_;
    std::uint64_t config_requests_ = 0;
    std::uint64_t fence_base_ = 0;
    time_point leaving_since_{};
    time_point next_claims_{};
    bool workers_complete_ = false;
    bool leaving_ = false;
};

} // namespace chivewharf::fleet

template <>
struct chivewharf::enum_names<chivewharf::fleet::rejection> {
    static constexpr std::array<std::string_view, 4> names{"no_config", "unknown_queue",
                                                           "unsupported", "malformed"};
};
