# Tests of the pages: their commands run as written, and what they refer to exists.
add_test(NAME page-operators-start COMMAND ${CMAKE_CURRENT_LIST_DIR}/run-page docs/operators/README.md ${PROJECT_BINARY_DIR})
set_tests_properties(page-operators-start PROPERTIES LABELS "page;process" TIMEOUT 120)
add_test(NAME page-links COMMAND ${CMAKE_CURRENT_LIST_DIR}/check-links)
set_tests_properties(page-links PROPERTIES LABELS page TIMEOUT 30)
