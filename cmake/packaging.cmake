# What an installation has beside programs and library: manual pages, unit files and the sample settings.
install(DIRECTORY ${PROJECT_SOURCE_DIR}/docs/man/ DESTINATION ${CMAKE_INSTALL_MANDIR}/man1 FILES_MATCHING PATTERN "*.1")
install(DIRECTORY ${PROJECT_SOURCE_DIR}/samples/settings DESTINATION ${CMAKE_INSTALL_DATADIR}/swiftloft)

# The prefix is known only when the installation runs, so the unit files are filled in then.
foreach(unit swiftloft-agent swiftloft-entry)
  install(CODE "
    set(PREFIX \"\${CMAKE_INSTALL_PREFIX}\")
    set(unit_folder \"\${CMAKE_INSTALL_PREFIX}/lib/systemd/system\")
    configure_file(\"${PROJECT_SOURCE_DIR}/packaging/${unit}.service\" \"\$ENV{DESTDIR}\${unit_folder}/${unit}.service\" @ONLY)")
endforeach()
