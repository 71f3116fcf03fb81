# Each process_*_test.cpp starts the built programs and is one ctest entry.
add_executable(run_with_parent run_with_parent.cpp)
add_library(process_harness STATIC child_process.cpp process_harness.cpp process_calls.cpp)
target_link_libraries(process_harness PUBLIC cuminmoor_http_exchange nlohmann_json::nlohmann_json)
target_compile_definitions(process_harness PRIVATE
  RUN_WITH_PARENT_PROGRAM="$<TARGET_FILE:run_with_parent>"
  CUMINMOORD_PROGRAM="$<TARGET_FILE:cuminmoord>"
  STANDIN_PLATFORM_PROGRAM="$<TARGET_FILE:standin_platform>"
  STANDIN_WORKER_PROGRAM="$<TARGET_FILE:standin_worker>"
  STANDIN_RUNNER_PROGRAM="$<TARGET_FILE:standin_runner>"
  PROCESS_LOG_FOLDER="${CMAKE_CURRENT_BINARY_DIR}/process_logs")
add_dependencies(process_harness run_with_parent cuminmoord standin_platform standin_worker
                 standin_runner)
file(GLOB process_sources CONFIGURE_DEPENDS process_*_test.cpp)
foreach(source ${process_sources})
  get_filename_component(name ${source} NAME_WE)
  add_executable(${name} ${source})
  target_link_libraries(${name} PRIVATE process_harness criterion)
  add_test(NAME ${name} COMMAND ${name} --timeout 120 -j 2)
  set_tests_properties(${name} PROPERTIES TIMEOUT 300)
endforeach()
