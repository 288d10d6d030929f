#pragma once

#include "Configuration/ConfigurationParser.h"

#include <gtest/gtest.h>

#include <string>
#include <string_view>

namespace wisteriadock {

// Two services, one with two backend servers and one with one, without optional keys.
constexpr std::string_view exampleText = R"([service tryon]
address = 10.0.0.1:443
[service scanintake]
address = 10.0.0.2:443
[backend_server tryon-1]
service = tryon
flow_address = 10.1.0.1:9000
request_address = 10.1.0.1:9000
availability_zone = walu
[backend_server tryon-2]
service = tryon
flow_address = 10.1.0.2:9000
request_address = 10.1.0.2:9001
availability_zone = nabua
[backend_server scan-1]
service = scanintake
flow_address = 10.1.0.3:9000
request_address = 10.1.0.3:9000
availability_zone = walu
)";

// Returns exampleText with every occurrence of one text replaced by another.
inline std::string exampleWith(std::string_view from, std::string_view to)
{
    std::string text(exampleText);
    std::size_t at = text.find(from);
    EXPECT_NE(at, std::string::npos) << from;
    while (at != std::string::npos) {
        text.replace(at, from.size(), to);
        at = text.find(from, at + to.size());
    }
    return text;
}

inline Configuration parsed(std::string_view text)
{
    const auto result = parseConfiguration("f.ini", text);
    EXPECT_TRUE(result) << result.error().toString();
    return result ? result.value() : Configuration();
}

}
