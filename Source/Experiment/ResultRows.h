#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace wisteriadock {

// The results of a run, printed as one "name value" row per line. Names are unique and keep the order of their first
// use.
class ResultRows {
public:
    void set(std::string_view name, std::uint64_t value);
    // Printed with six significant digits.
    void set(std::string_view name, double value);
    void set(std::string_view name, std::string value);

    // The value as printed, or an empty view if there is no such row.
    std::string_view value(std::string_view name) const;
    std::string toString() const;

private:
    std::vector<std::pair<std::string, std::string>> rows_;
};

}
