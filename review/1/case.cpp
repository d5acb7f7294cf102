// The store is down for some seconds, so that the runners' entries lapse. The standby host of a
// zone is killed and started again meanwhile. Just after the store's return, the zone's owner is
// killed.

#include "../standin/rig.h"

using namespace review;

namespace {

const std::string zone = "rosyth";

/// Sends jobs to the two hosts of the zone in turn.
void offer_load(rig& deployment, const std::vector<entry_host*>& hosts,
                const std::atomic<bool>& stop)
{
    for (std::size_t i = 0; !stop; ++i) {
        job_plan plan;
        plan.id = deployment.new_id();
        plan.spec = "load";
        plan.step = {2, 8000, 900, 900, {}, false};
        deployment.add_job(plan);
        const auto& host = *hosts[i % hosts.size()];
        std::thread{[&deployment, &host, id = plan.id] {
            deployment.post(host, id, 1500);
        }}.detach();
        sleep_ms(90);
    }
}

/// Kills the process; the platform starts it again after half a second.
void kill_and_restart(rig& deployment, entry_host& host)
{
    deployment.signal(host, SIGKILL);
    std::thread{[&] {
        sleep_ms(500);
        deployment.start(host);
    }}.detach();
}

} // namespace

int main(int, char** argv)
{
    rig deployment{argv[1], argv[2]};
    // ONLY=outage and ONLY=kills play one of the disruptions.
    const char* text = std::getenv("ONLY");
    const std::string only = text == nullptr ? "" : text;
    const bool outage = deployment.trouble && only != "kills";
    const bool kills = deployment.trouble && only != "outage";

    const std::vector<std::string> zones{"grangemouth", "greenock", zone};
    for (int i = 0; i < 15; ++i)
        deployment.add_runner("i-00000" + std::to_string(100 + i),
                              zones[static_cast<std::size_t>(i % 3)],
                              {64000, 131072, {"a", "r1-" + std::to_string(i)}});
    for (int i = 0; i < 7; ++i)
        deployment.add_host("edge-" + std::to_string(i + 1),
                            zones[static_cast<std::size_t>(i < 3   ? 0
                                                           : i < 5 ? 1
                                                                   : 2)]);
    deployment.start_hosts(zones);
    const std::vector<entry_host*> hosts{&deployment.hosts()[5], &deployment.hosts()[6]};
    std::atomic<bool> stop{false};
    std::thread load{[&] { offer_load(deployment, hosts, stop); }};
    sleep_ms(2000);
    for (int round = 0; round < 4; ++round) {
        auto* owner = deployment.owner(zone);
        if (owner == nullptr)
            deployment.finish(2);
        auto* standby = owner == hosts[0] ? hosts[1] : hosts[0];
        deployment.note("the owner is " + owner->name + ", the standby host " + standby->name);
        if (outage)
            deployment.set_store_down(true);
        sleep_ms(3000);
        if (kills)
            kill_and_restart(deployment, *standby);
        sleep_ms(1500);
        if (outage)
            deployment.set_store_down(false);
        sleep_ms(700);
        if (kills)
            kill_and_restart(deployment, *owner);
        sleep_ms(4800);
    }
    stop = true;
    load.join();
    sleep_ms(1600);
    deployment.finish(0);
}
