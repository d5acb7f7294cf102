#pragma once

#include <dispatch/action.h>
#include <dispatch/id_authority.h>
#include <dispatch/identity.h>
#include <dispatch/start_guard.h>
#include <map>
#include <metrics/registry.h>
#include <ownership/slot_owner.h>
#include <settings/cluster_settings.h>
#include <string>
#include <submission/submission_table.h>
#include <vector>

namespace chivewharf::dispatch {

/// Rights of this incarnation to start submissions: issued ids by its issuer, callers' ids by the
/// ownership of their slot. Turns the decisions of `ownership::slot_owner` into actions.
class ownership_service final : public id_authority, public start_guard {
public:
    /// \param options fixed for the life of the process, since all hosts of a domain must agree
    ownership_service(identity self, const submission::id_issuer& issuer,
                      const ownership::ownership_options& options, time_point started,
                      action_list& actions, metrics::registry& metrics);

    /// Times of slot ownership from the settings.
    static ownership::ownership_options options_of(const settings::policy_settings& policy);

    /// Takes the seats of the domain from the configuration in force.
    /// \param may_claim_from earliest claim of this seat, see
    /// `ownership::slot_owner::set_configured_hosts`
    void apply(const settings::cluster_settings& settings, time_point may_claim_from);

    void set_live_hosts(std::vector<std::string> others);

    /// Name of the log stream of this domain's slots.
    const std::string& stream() const noexcept { return stream_; }

    /// Offset from which to read the stream.
    std::uint64_t next_offset() const { return owner_.log().next_offset(); }

    /// Takes the result of a read.
    /// \return slots that this incarnation lost
    std::vector<unsigned> on_log(const ownership::log_read& read, time_point now);

    void on_append(const std::string& record_id, ownership::append_outcome outcome, time_point now);

    /// Claims, renews and asks for promises.
    void tick(time_point now);

    void on_promise_request(const std::string& from, const wire::promise_request& request,
                            time_point now);
    void on_promise(const wire::promise& given, time_point now);
    void on_handover_records(const std::string& from, const wire::handover_records& part,
                             submission::submission_table& table, time_point now);

    /// Hands every slot to a live host of the domain, in turn, with one append for each successor.
    /// Without one the slots are left.
    void hand_over(const std::vector<ownership::incarnation_id>& successors,
                   const submission::submission_table& table, time_point now);

    /// True if no append of a handover is under way.
    bool handovers_done() const noexcept { return handovers_.empty(); }

    /// Host that owns the slot according to the log; empty if nobody does.
    std::string owner_host(unsigned slot) const;

    std::size_t owned_slots() const { return owner_.own_slots().size(); }

    id_verdict judge(const submission::submission_id& id, std::string_view customer,
                     time_point now) const override;
    bool may_start(std::uint8_t slot, std::uint64_t epoch, time_point now) const override;
    time_point start_limit(std::uint8_t slot) const override;

private:
    id_verdict judge_slot(unsigned slot, time_point now) const;
    void send_records(unsigned slot, const std::string& to,
                      const submission::submission_table& table, time_point now);

    identity self_;
    const submission::id_issuer& issuer_;
    action_list& actions_;
    ownership::slot_owner owner_;
    std::string stream_;
    std::vector<std::string> other_seats_;
    std::map<std::string, std::string> handovers_; ///< text of unconfirmed handovers by record id
    /// Next part of the records of a slot that arrive from its owner.
    std::map<std::pair<std::uint16_t, std::uint64_t>, std::uint64_t> next_parts_;
    std::uint64_t& claims_;
    std::uint64_t& promise_requests_;
};

} // namespace chivewharf::dispatch
