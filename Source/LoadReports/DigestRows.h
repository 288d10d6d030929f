#pragma once

#include "LoadReports/ZoneLoad.h"

#include <cstddef>
#include <vector>

namespace wisteriadock {

// Reduces the zones to this many rows in total. Services with the most requests come first. Each class of requests
// first keeps one row, to which those of its rows that are left out are added, so that the demand of the class is right
// while the zones of its servers are not. Classes without any row are left out.
void limitRows(std::vector<ZoneLoad>&, std::size_t maxRows);

}
