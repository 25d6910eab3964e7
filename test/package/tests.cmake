# Tests of what `cmake --install` gives: the files, and a project outside the tree that embeds libswiftloft.
set(package_prefix ${CMAKE_CURRENT_BINARY_DIR}/package/prefix)
add_test(NAME package-installs
  COMMAND ${CMAKE_COMMAND} -DBUILD=${PROJECT_BINARY_DIR} -DPREFIX=${package_prefix} -DVERSION=${PROJECT_VERSION}
    -P ${CMAKE_CURRENT_LIST_DIR}/install.cmake)
set_tests_properties(package-installs PROPERTIES FIXTURES_SETUP package TIMEOUT 60)
add_test(NAME package-embeds
  COMMAND ${CMAKE_CTEST_COMMAND} --build-and-test ${CMAKE_CURRENT_LIST_DIR} ${CMAKE_CURRENT_BINARY_DIR}/package/build
    --build-generator ${CMAKE_GENERATOR}
    --build-options -DCMAKE_PREFIX_PATH=${package_prefix} -DCMAKE_CXX_COMPILER=${CMAKE_CXX_COMPILER}
    --test-command embeds)
set_tests_properties(package-embeds PROPERTIES FIXTURES_REQUIRED package TIMEOUT 120)

add_test(NAME manual-pages COMMAND ${CMAKE_COMMAND} -E env SWIFTLOFT_BUILD=${PROJECT_BINARY_DIR} ${PROJECT_SOURCE_DIR}/tools/manual-pages --check)
set_tests_properties(manual-pages PROPERTIES TIMEOUT 30)
