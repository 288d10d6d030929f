#include "FaultProxy/FaultProxyAdmin.h"

#include "Core/ListenAddress.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <set>

namespace wisteriadock {

namespace {

    using Json = nlohmann::json;

    Error malformed(std::string detail) { return { ErrorCode::InvalidArgument, std::move(detail) }; }

    // Reads the members of a JSON object and keeps the error of the first invalid one.
    class JsonObjectReader {
    public:
        explicit JsonObjectReader(const std::string& body)
            : object_(Json::parse(body, nullptr, false))
        {
            if (!object_.is_object())
                error_ = "the body is not a JSON object";
        }

        std::string text(const char* name, std::string fallback)
        {
            const Json* member = find(name);
            if (member && !member->is_string())
                fail(name, "a string");
            return member && member->is_string() ? member->get<std::string>() : std::move(fallback);
        }

        bool flag(const char* name)
        {
            const Json* member = find(name);
            if (member && !member->is_boolean())
                fail(name, "true or false");
            return member && member->is_boolean() && member->get<bool>();
        }

        double number(const char* name, double max)
        {
            const Json* member = find(name);
            if (!member)
                return 0;
            if (!member->is_number() || member->get<double>() < 0 || member->get<double>() > max) {
                fail(name, fmt::format("a number from 0 to {}", max));
                return 0;
            }
            return member->get<double>();
        }

        std::chrono::milliseconds milliseconds(const char* name)
        {
            constexpr double maxMilliseconds = 600'000;
            return std::chrono::milliseconds(static_cast<std::int64_t>(number(name, maxMilliseconds)));
        }

        // To be called last: a member that was not read is an error too.
        Result<void> check()
        {
            for (const auto& [name, value] : object_.items()) {
                if (error_.empty() && !requestedNames_.contains(name))
                    error_ = fmt::format("unknown member '{}'", name);
            }
            if (!error_.empty())
                return malformed(error_);
            return boost::outcome_v2::success();
        }

        void fail(const char* name, const std::string& expected)
        {
            if (error_.empty())
                error_ = fmt::format("'{}' is not {}", name, expected);
        }

    private:
        const Json* find(const char* name)
        {
            requestedNames_.insert(name);
            if (!object_.is_object() || !object_.contains(name))
                return nullptr;
            return &object_[name];
        }

        Json object_;
        std::set<std::string> requestedNames_;
        std::string error_;
    };

    FaultSettings readFaultSettings(JsonObjectReader& reader)
    {
        FaultSettings settings;
        settings.delay = reader.milliseconds("delay_ms");
        settings.jitter = reader.milliseconds("jitter_ms");
        settings.loss = reader.number("loss", 1);
        settings.duplicate = reader.number("duplicate", 1);
        settings.reorder = reader.number("reorder", 1);
        settings.cut = reader.flag("cut");
        settings.reset = reader.flag("reset");
        settings.freeze = reader.flag("freeze");
        return settings;
    }

    Json toJson(const FaultCounters& counters)
    {
        return {
            { "units", counters.units },
            { "bytes", counters.bytes },
            { "delayed", counters.delayed },
            { "lost", counters.lost },
            { "duplicated", counters.duplicated },
            { "reordered", counters.reordered },
            { "cut", counters.cut },
            { "frozen", counters.frozen },
            { "overflowed", counters.overflowed },
        };
    }

    HttpResponse toResponse(const Result<std::string>& result)
    {
        HttpResponse response;
        response.headers.push_back({ "content-type", "application/json" });
        if (result) {
            response.body = result.value();
            return response;
        }
        constexpr int badRequest = 400;
        constexpr int serviceUnavailable = 503;
        response.status = result.error().code == ErrorCode::InvalidArgument ? badRequest : serviceUnavailable;
        response.body = Json { { "error", result.error().toString() } }.dump();
        return response;
    }

}

HttpResponse FaultProxyAdmin::answer(const HttpRequest& request)
{
    if (request.method == "POST" && request.path == "/links")
        return toResponse(postLink(request.body));
    if (request.method == "POST" && request.path == "/faults")
        return toResponse(postFaults(request.body));
    if (request.method == "GET" && request.path == "/counters")
        return toResponse(counters());
    constexpr int notFound = 404;
    return { notFound, {}, "" };
}

Result<std::string> FaultProxyAdmin::postLink(const std::string& body)
{
    JsonObjectReader reader(body);
    LinkOptions options;
    options.name = reader.text("name", "");
    const std::string protocol = reader.text("protocol", "tcp");
    const std::string listen = reader.text("listen", "127.0.0.1:0");
    const std::string target = reader.text("target", "");
    if (options.name.empty())
        reader.fail("name", "the name of a link");
    if (protocol != "tcp" && protocol != "udp")
        reader.fail("protocol", "tcp or udp");
    BOOST_OUTCOME_TRYV(reader.check());

    options.protocol = protocol == "udp" ? LinkProtocol::Udp : LinkProtocol::Tcp;
    BOOST_OUTCOME_TRY(listenAddress, parseListenAddress(listen));
    options.listen = listenAddress;
    if (!target.empty()) {
        BOOST_OUTCOME_TRY(targetAddress, Endpoint::parse(target));
        options.target = targetAddress;
    }
    BOOST_OUTCOME_TRY(address, proxy_.putLink(options));
    return Json { { "name", options.name }, { "listen", address.toString() } }.dump();
}

Result<std::string> FaultProxyAdmin::postFaults(const std::string& body)
{
    JsonObjectReader reader(body);
    FaultScope scope;
    scope.link = reader.text("link", "*");
    scope.source = reader.text("source", "*");
    const std::string direction = reader.text("direction", "both");
    const FaultSettings settings = readFaultSettings(reader);
    const bool both = direction == "both";
    if (!both && direction != nameOf(Direction::ToTarget) && direction != nameOf(Direction::ToSource))
        reader.fail("direction", "to_target, to_source or both");
    BOOST_OUTCOME_TRYV(reader.check());

    for (const Direction each : { Direction::ToTarget, Direction::ToSource }) {
        if (both || direction == nameOf(each))
            proxy_.setFaults(scope, each, settings);
    }
    return std::string("{}");
}

std::string FaultProxyAdmin::counters() const
{
    std::uint64_t faultsInjected = 0;
    Json links = Json::object();
    for (const auto& [name, link] : proxy_.links()) {
        for (const Direction direction : { Direction::ToTarget, Direction::ToSource }) {
            const FaultCounters& counted = link->counters(direction);
            faultsInjected += counted.faultsInjected();
            links[name][std::string(nameOf(direction))] = toJson(counted);
        }
    }
    return Json { { "faults_injected", faultsInjected }, { "links", links } }.dump();
}

}
