#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace wisteriadock {

// The result of a run, printed as one "name value" row a line. Names are unique and stay in the order of their first
// use.
class ResultRows {
public:
    void set(std::string_view name, std::uint64_t value);
    // Prints six significant digits.
    void set(std::string_view name, double value);
    void set(std::string_view name, std::string value);

    // The value as it is printed, or an empty view.
    std::string_view value(std::string_view name) const;
    std::string toString() const;

private:
    std::vector<std::pair<std::string, std::string>> rows_;
};

}
