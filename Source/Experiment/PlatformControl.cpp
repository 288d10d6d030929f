#include "Experiment/PlatformControl.h"

namespace wisteriadock {

using Json = nlohmann::json;

Result<std::unique_ptr<PlatformControl>> PlatformControl::start(ProcessStarter& starter, AdminClient& client)
{
    BOOST_OUTCOME_TRY(process,
        starter.startListening("platform", "wisteriadock-standin-platform", { "--listen=127.0.0.1:0" }, { "" }));
    const Endpoint address = process->listening().value();
    return std::unique_ptr<PlatformControl>(new PlatformControl(client, std::move(process), address));
}

Result<void> PlatformControl::setVms(const std::vector<Vm>& vms)
{
    Json list = Json::array();
    for (const Vm& vm : vms) {
        list.push_back({
            { "name", vm.name },
            { "availability_zone", vm.availabilityZone },
            { "peer_address", vm.peerAddress },
            { "state", nameOf(vm.state) },
        });
    }
    BOOST_OUTCOME_TRYV(client_.post(address_, "/admin/vms", { { "vms", list }, { "lag_ms", vmListLag.count() } }));
    return boost::outcome_v2::success();
}

Result<void> PlatformControl::setOutage(bool down)
{
    BOOST_OUTCOME_TRYV(client_.post(address_, "/admin/faults", { { "down", down ? "reset" : "up" } }));
    return boost::outcome_v2::success();
}

Result<void> PlatformControl::setCallDelay(std::chrono::milliseconds delay)
{
    BOOST_OUTCOME_TRYV(client_.post(address_, "/admin/faults", { { "slow_ms", delay.count() } }));
    return boost::outcome_v2::success();
}

Result<void> PlatformControl::loseWriteAnswers(std::uint64_t count)
{
    BOOST_OUTCOME_TRYV(
        client_.post(address_, "/admin/faults", { { "lose_answers", { { "compare_and_swap", count } } } }));
    return boost::outcome_v2::success();
}

Result<void> PlatformControl::takeSnapshot(const std::string& name)
{
    BOOST_OUTCOME_TRYV(client_.post(address_, "/admin/snapshot", { { "name", name } }));
    return boost::outcome_v2::success();
}

Result<void> PlatformControl::restore(const std::string& name)
{
    BOOST_OUTCOME_TRYV(client_.post(address_, "/admin/restore", { { "name", name } }));
    return boost::outcome_v2::success();
}

Result<PlatformControl::Counters> PlatformControl::counters()
{
    BOOST_OUTCOME_TRY(answer, client_.get(address_, "/admin/counters"));
    Counters counters;
    const Json calls = answer.value("calls", Json::object());
    for (const auto& [name, count] : calls.items())
        counters.calls += count.get<std::uint64_t>();
    counters.calls += answer.value("calls_failed", std::uint64_t(0));
    counters.answersLost = answer.value("answers_lost", std::uint64_t(0));
    return counters;
}

}
