#pragma once

#include <base/time.h>
#include <cstdint>
#include <fleet/adoption_probe.h>
#include <fleet/claim_policy.h>
#include <fleet/drain_state.h>
#include <fleet/host_directory.h>
#include <fleet/host_identity.h>
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
#include <set>
#include <string>
#include <vector>
#include <wire/messages.h>

namespace chivewharf::fleet {

/// A shard that this host owns.
struct owned_shard {
    std::unique_ptr<shard_owner> owner;
    std::uint64_t epoch = 0;
    std::string predecessor;             ///< leaving host that has not released all workers yet
    std::optional<time_point> fenced_at; ///< when a worker refused the token in use
    std::uint32_t fence_count = 0;       ///< reclaims since the back-off was last reset
    time_point owned_since{};
    std::optional<time_point> better_since; ///< since when another host should own the shard
    std::optional<time_point> offered_at;   ///< when the shard was offered to other hosts
};

/// The claims of this host on shards, with their owners: which shards it claims, offers, hands over
/// and yields, under which epochs, by the reports of the other hosts.
class shard_claims {
public:
    /// What the claims depend on. The referenced objects must outlive them.
    struct context {
        const host_identity& self;
        const std::vector<std::string>& domains; ///< failure domains of the system
        worker_port& port;
        metrics::registry& metrics;
        request_log& log;
        const host_directory& directory;
        worker_directory& workers;
        const drain_state& drains;
    };

    struct callbacks {
        /// The result of a job at one of the shards, for the host that sent it.
        std::function<void(const std::string& host, const wire::job_result& result, time_point now)>
            result;
        /// A leaving owner runs nothing on the worker any more.
        std::function<void(const std::string& domain, const std::string& worker)> released;
        /// The claims have changed: the other hosts should be told.
        std::function<void(time_point now)> changed;
        /// Returns whether the configuration in force permits claims.
        std::function<bool(time_point now)> config_current;
    };

    shard_claims(context where, callbacks cb, time_point now);

    /// The store has assigned this process its number, on which epochs and tokens are based.
    void fence_base_granted(std::uint64_t number);
    std::uint64_t fence_base() const noexcept { return fence_base_; }

    /// Every listed worker has been read at least once.
    void workers_complete() noexcept { workers_complete_ = true; }

    /// True if this host has the data that a claim needs.
    bool can_claim(time_point now) const
    {
        return callbacks_.config_current(now) && workers_complete_ && fence_base_ != 0;
    }

    /// Adopts the numbers of shards and the epochs that another host has reported.
    void learn(const wire::host_report& report);

    const std::map<wire::shard, owned_shard>& owned() const noexcept { return owned_; }
    /// The owner of the shard; null if this host does not own it.
    shard_owner* find(const wire::shard& shard);
    /// Calls the function with each owner.
    void for_each_owner(const std::function<void(shard_owner& owner)>& call);

    std::vector<wire::domain_shards> shard_counts() const { return plan_.all(); }
    /// The claims, for the report to other hosts, without the lists of workers.
    std::vector<wire::shard_claim> claims(time_point now) const;
    /// Newest revision of the workers in use of any owned shard.
    std::uint64_t worker_revision() const noexcept { return worker_lists_changed_; }
    /// True if a host that is not leaving claims the shard.
    bool claimed_by_staying_host(const wire::shard& shard, time_point now) const;

    /// A leaving predecessor has released the worker.
    void worker_released(const wire::worker_release& released, time_point now);
    /// Passes changes of the list of workers on to the owned shards.
    void update_workers(time_point now);
    /// Applies the drains, and the rise of the load after their end, to the owned shards.
    void apply_drains(time_point now);

    /// Claims, offers and yields shards, if that is due.
    void check(time_point now);
    /// Ticks the owners, and hands over shards that are offered or left.
    void tick(time_point now);

    /// Begins the planned stop: claims nothing further and hands over what is owned.
    /// \param end_by time at which the tasks that still run are stopped
    void leave(time_point end_by, time_point now);
    bool leaving() const noexcept { return leaving_since_.has_value(); }
    /// Stops the tasks at the owned shards once the time of the planned stop is over.
    void interrupt(time_point now);
    /// Ends the planned stop: gives up the shards that are still owned.
    void yield_all(time_point now);

private:
    std::vector<claim_candidate> candidates(const wire::shard& shard, time_point now) const;
    /// Shards of other owners about which this host has nothing to decide.
    std::set<wire::shard> settled_shards(time_point now) const;
    void check_claim(const wire::shard& shard, time_point now);
    void check_predecessor(const wire::shard& shard, owned_shard& owned, time_point now);
    void yield_outdated_shards(time_point now);
    void offer_shards(time_point now);
    void claim(const wire::shard& shard, bool from_leaving_owner, time_point now);
    shard_owner::callbacks owner_callbacks(const wire::shard& shard);
    void update_workers(shard_owner& owner, const std::vector<worker_entry>& workers,
                        time_point now);
    void yield(const wire::shard& shard, time_point now);
    /// Once the back-off has passed, acquires the workers of a fenced shard under a higher epoch.
    void reclaim(const wire::shard& shard, owned_shard& owned, time_point now);
    void hand_over(time_point now);
    std::uint64_t next_epoch(const std::string& domain);
    std::uint64_t token(std::uint64_t epoch) const;

    context context_;
    callbacks callbacks_;
    claim_policy policy_;
    adoption_probe probe_;
    shard_plan plan_;
    std::map<wire::shard, owned_shard> owned_;
    std::map<std::string, std::uint64_t> max_epoch_; ///< highest known epoch, by domain
    std::uint64_t fence_base_ = 0;
    std::uint64_t worker_revision_ = 0;       ///< of the last list that an owner was given
    std::uint64_t worker_lists_changed_ = 0;  ///< last revision that changed an owner's workers
    std::optional<time_point> leaving_since_; ///< none unless a planned stop has begun
    time_point end_by_{};                     ///< end of the planned stop's work
    time_point next_check_{};
    bool workers_complete_ = false;
};

} // namespace chivewharf::fleet
