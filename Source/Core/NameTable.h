#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

namespace wisteriadock {

// Maps the values of an enum to their names in files, logs and metrics, and back. Look-ups are linear, since the tables
// are small.
template <typename Enum, std::size_t Size> class NameTable {
public:
    using Row = std::pair<Enum, std::string_view>;

    constexpr explicit NameTable(const Row (&rows)[Size])
    {
        for (std::size_t i = 0; i < Size; ++i)
            rows_[i] = rows[i];
    }

    // Returns the name of a value, or "unlisted" for a value that is missing from the table.
    constexpr std::string_view name(Enum value) const
    {
        for (const Row& row : rows_) {
            if (row.first == value)
                return row.second;
        }
        return "unlisted";
    }

    constexpr std::optional<Enum> value(std::string_view name) const
    {
        for (const Row& row : rows_) {
            if (row.second == name)
                return row.first;
        }
        return std::nullopt;
    }

    constexpr const std::array<Row, Size>& rows() const { return rows_; }

private:
    std::array<Row, Size> rows_ {};
};

// Deduces the number of rows: makeNameTable<Color>({ { Color::Red, "red" }, … }).
template <typename Enum, std::size_t Size>
constexpr NameTable<Enum, Size> makeNameTable(const std::pair<Enum, std::string_view> (&rows)[Size])
{
    return NameTable<Enum, Size>(rows);
}

}
