#include "Experiment/FaultProxyControl.h"

namespace wisteriadock {

using Json = nlohmann::json;

Result<std::unique_ptr<FaultProxyControl>> FaultProxyControl::start(
    ProcessStarter& starter, AdminClient& client, std::uint64_t seed)
{
    BOOST_OUTCOME_TRY(process,
        starter.startListening(
            "fault-proxy", "wisteriadock-fault-proxy", { "--seed=" + std::to_string(seed) }, { "admin" }));
    const Endpoint admin = process->listening("admin").value();
    return std::unique_ptr<FaultProxyControl>(new FaultProxyControl(client, std::move(process), admin));
}

Result<Endpoint> FaultProxyControl::putLink(
    const std::string& name, LinkProtocol protocol, std::optional<Endpoint> target)
{
    Json body { { "name", name }, { "protocol", nameOf(protocol) } };
    if (target)
        body["target"] = target->toString();
    BOOST_OUTCOME_TRY(answer, client_.post(admin_, "/links", body));
    return Endpoint::parse(answer.value("listen", ""));
}

Result<void> FaultProxyControl::setFaults(
    const FaultScope& scope, const FaultSettings& settings, std::optional<Direction> direction)
{
    const Json body {
        { "link", scope.link },
        { "source", scope.source },
        { "direction", direction ? nameOf(*direction) : "both" },
        { "delay_ms", settings.delay.count() },
        { "jitter_ms", settings.jitter.count() },
        { "loss", settings.loss },
        { "duplicate", settings.duplicate },
        { "reorder", settings.reorder },
        { "cut", settings.cut },
        { "reset", settings.reset },
        { "freeze", settings.freeze },
    };
    BOOST_OUTCOME_TRYV(client_.post(admin_, "/faults", body));
    return boost::outcome_v2::success();
}

Result<FaultProxyControl::Totals> FaultProxyControl::totals()
{
    BOOST_OUTCOME_TRY(counters, client_.get(admin_, "/counters"));
    Totals totals;
    totals.faultsInjected = counters.value("faults_injected", std::uint64_t(0));
    const Json links = counters.value("links", Json::object());
    for (const auto& [name, link] : links.items()) {
        for (const Json& direction : link) {
            const auto bytes = direction.value("bytes", std::uint64_t(0));
            totals.overflowed += direction.value("overflowed", std::uint64_t(0));
            if (name.starts_with("peer/") || name.starts_with("request/"))
                totals.balancerBytes += bytes;
            if (name.starts_with("platform/"))
                totals.platformBytes += bytes;
        }
    }
    return totals;
}

}
