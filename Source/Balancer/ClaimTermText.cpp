#include "Balancer/ClaimTermText.h"

#include <nlohmann/json.hpp>

namespace wisteriadock {

namespace {

    using Json = nlohmann::json;

    Json toJson(const std::vector<BalancerInstance>& holders)
    {
        Json rows = Json::array();
        for (const BalancerInstance& holder : holders)
            rows.push_back(Json::array({ holder.id.value, holder.incarnation }));
        return rows;
    }

    std::vector<BalancerInstance> holdersOf(const Json& rows)
    {
        std::vector<BalancerInstance> holders;
        for (const Json& row : rows)
            holders.push_back({ BalancerId { row.at(0).get<std::uint32_t>() }, row.at(1).get<std::uint64_t>() });
        return holders;
    }

}

std::string claimTermKey(std::string_view zone) { return "claims/" + std::string(zone); }

std::string writeClaimTerm(const ClaimTerm& term)
{
    Json previous = Json::array();
    for (const PastTerm& past : term.previous)
        previous.push_back({ { "epoch", past.epoch }, { "holders", toJson(past.holders) } });
    return Json {
        { "availability_zone", term.zone },
        { "epoch", term.epoch },
        { "holders", toJson(term.holders) },
        { "previous", previous },
        { "history_whole", term.isHistoryComplete },
    }
        .dump();
}

Result<ClaimTerm> readClaimTerm(std::string_view text)
{
    // The JSON library reports errors by exceptions.
    try {
        const Json json = Json::parse(text);
        ClaimTerm term;
        term.zone = json.at("availability_zone").get<std::string>();
        term.epoch = json.at("epoch").get<std::uint64_t>();
        term.holders = holdersOf(json.at("holders"));
        for (const Json& past : json.at("previous"))
            term.previous.push_back({ past.at("epoch").get<std::uint64_t>(), holdersOf(past.at("holders")) });
        term.isHistoryComplete = json.at("history_whole").get<bool>();
        return term;
    } catch (const Json::exception& failure) {
        return Error { ErrorCode::InvalidArgument, std::string("invalid ownership record: ") + failure.what() };
    }
}

}
