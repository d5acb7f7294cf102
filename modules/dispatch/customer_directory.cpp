#include <dispatch/customer_directory.h>

namespace chivewharf::dispatch {

void customer_directory::apply(const settings::cluster_settings& settings)
{
    credentials_.clear();
    active_.clear();
    for (const auto& customer : settings.customers) {
        const auto next = static_cast<sched::customer_id>(names_.size());
        const auto [entry, added] = numbers_.try_emplace(customer.name, next);
        if (added)
            names_.push_back(customer.name);
        active_.emplace(customer.name, entry->second);
        credentials_.push_back({customer.token_sha256, {customer.name, false}});
    }
    for (const auto& op : settings.operators)
        credentials_.push_back({op.token_sha256, {op.name, true}});
}

std::optional<principal> customer_directory::authenticate(std::string_view token) const
{
    const auto digest = sha256(token);
    const credential* found = nullptr;
    for (const auto& candidate : credentials_) {
        if (equal_constant_time(candidate.digest, digest))
            found = &candidate;
    }
    if (found == nullptr)
        return std::nullopt;
    return found->who;
}

std::optional<sched::customer_id> customer_directory::number(std::string_view name) const
{
    const auto found = active_.find(name);
    if (found == active_.end())
        return std::nullopt;
    return found->second;
}

std::string_view customer_directory::name(sched::customer_id number) const
{
    return number < names_.size() ? std::string_view{names_[number]} : std::string_view{};
}

} // namespace chivewharf::dispatch
