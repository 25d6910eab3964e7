# libswiftloft: the parts with public headers under include/swiftloft/ as one archive, for programs that embed them.
# `find_package(swiftloft)` gives them swiftloft::swiftloft. The daemons link the folders' own libraries.
include(CMakePackageConfigHelpers)

set(library_parts base log policy settings expertmap membership)
set(library_objects "")
foreach(part ${library_parts})
  list(APPEND library_objects $<TARGET_OBJECTS:swiftloft-${part}>)
endforeach()

add_library(swiftloft STATIC ${library_objects})
add_library(swiftloft::swiftloft ALIAS swiftloft)
target_compile_features(swiftloft PUBLIC cxx_std_20)
target_include_directories(swiftloft PUBLIC
  $<BUILD_INTERFACE:${PROJECT_SOURCE_DIR}/include>
  $<INSTALL_INTERFACE:${CMAKE_INSTALL_INCLUDEDIR}>)
target_link_libraries(swiftloft
  PUBLIC Threads::Threads Boost::headers fmt::fmt
  PRIVATE Boost::json OpenSSL::Crypto PkgConfig::CAPNP PkgConfig::INIH PkgConfig::XXHASH)

set(package_folder ${CMAKE_INSTALL_LIBDIR}/cmake/swiftloft)
install(TARGETS swiftloft EXPORT swiftloft-targets ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR} COMPONENT development)
install(EXPORT swiftloft-targets NAMESPACE swiftloft:: DESTINATION ${package_folder} COMPONENT development)
install(DIRECTORY ${PROJECT_SOURCE_DIR}/include/swiftloft DESTINATION ${CMAKE_INSTALL_INCLUDEDIR} COMPONENT development
  FILES_MATCHING PATTERN "*.h" PATTERN "*.def")
configure_package_config_file(${PROJECT_SOURCE_DIR}/cmake/swiftloft-config.cmake.in
  ${CMAKE_CURRENT_BINARY_DIR}/swiftloft-config.cmake INSTALL_DESTINATION ${package_folder})
write_basic_package_version_file(${CMAKE_CURRENT_BINARY_DIR}/swiftloft-config-version.cmake COMPATIBILITY SameMinorVersion)
install(FILES ${CMAKE_CURRENT_BINARY_DIR}/swiftloft-config.cmake ${CMAKE_CURRENT_BINARY_DIR}/swiftloft-config-version.cmake
  DESTINATION ${package_folder} COMPONENT development)
