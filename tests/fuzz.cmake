# Fuzz targets: built by clang in a project of their own, run with a fixed seed.
include(ExternalProject)
set(fuzz_build ${CMAKE_CURRENT_BINARY_DIR}/fuzz)
ExternalProject_Add(fuzz_targets
  SOURCE_DIR ${CMAKE_CURRENT_SOURCE_DIR}/fuzz
  BINARY_DIR ${fuzz_build}
  PREFIX ${fuzz_build}/external
  CMAKE_ARGS -DCMAKE_C_COMPILER=clang -DCMAKE_CXX_COMPILER=clang++
  BUILD_ALWAYS ON
  INSTALL_COMMAND "")
foreach(name fuzz_datagram fuzz_command fuzz_worker_report fuzz_platform fuzz_central
        fuzz_requests)
  set(fuzz_flags -runs=20000 -seed=1 -max_len=9000)
  file(GLOB seeds fuzz/corpus/${name}/*)
  if(seeds)
    # Seeds are named one by one: a folder would be written to.
    list(JOIN seeds "," seeds)
    list(APPEND fuzz_flags -seed_inputs=${seeds})
  endif()
  add_test(NAME ${name} COMMAND ${fuzz_build}/${name} ${fuzz_flags})
endforeach()

# Never built; gives the linter the flags of the fuzz targets.
file(GLOB fuzz_sources CONFIGURE_DEPENDS fuzz/*.cpp)
add_library(fuzz_lint OBJECT EXCLUDE_FROM_ALL ${fuzz_sources})
target_include_directories(fuzz_lint PRIVATE ${CMAKE_SOURCE_DIR}/src)
target_link_libraries(fuzz_lint PRIVATE cuminmoor_io cuminmoor_platform)
