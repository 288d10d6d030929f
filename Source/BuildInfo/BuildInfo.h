#pragma once

#include <string>
#include <string_view>

namespace wisteriadock {

// The digest of the sources that this program was built from; Utilities/source-digest prints that of a checkout. The
// version alone does not tell two builds apart.
std::string_view sourceDigest();

// What a program prints for --version.
std::string versionText(std::string_view program);

}
