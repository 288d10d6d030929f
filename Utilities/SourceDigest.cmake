# Computes a digest of all sources of the programs, so that a program can tell what it was built from.
# With -D OUTPUT=FILE it writes the digest into a header, if it has changed; otherwise it prints the digest.
cmake_minimum_required(VERSION 3.25)

get_filename_component(root "${CMAKE_CURRENT_LIST_DIR}/.." ABSOLUTE)
file(GLOB_RECURSE sources RELATIVE "${root}"
    "${root}/Source/*.h" "${root}/Source/*.cpp" "${root}/Source/*CMakeLists.txt"
    "${root}/platform/*.h" "${root}/platform/*.cpp" "${root}/platform/*.in" "${root}/platform/*CMakeLists.txt"
    "${root}/CMakeLists.txt")
list(SORT sources)
set(lines "")
foreach(source IN LISTS sources)
    file(SHA256 "${root}/${source}" digest)
    string(APPEND lines "${digest} ${source}\n")
endforeach()
string(SHA256 digest "${lines}")
string(SUBSTRING "${digest}" 0 12 digest)

if(OUTPUT)
    file(CONFIGURE OUTPUT "${OUTPUT}" CONTENT "#define WISTERIADOCK_SOURCE_DIGEST \"@digest@\"\n" @ONLY)
else()
    execute_process(COMMAND "${CMAKE_COMMAND}" -E echo "${digest}")
endif()
