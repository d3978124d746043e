include(GNUInstallDirs)
include(CMakePackageConfigHelpers)

install(DIRECTORY src/include/cassiakeel TYPE INCLUDE)
install(EXPORT cassiakeel-targets NAMESPACE cassiakeel::
        DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/cassiakeel)
configure_package_config_file(
  cmake/cassiakeel-config.cmake.in ${CMAKE_BINARY_DIR}/cassiakeel-config.cmake
  INSTALL_DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/cassiakeel)
write_basic_package_version_file(
  ${CMAKE_BINARY_DIR}/cassiakeel-config-version.cmake
  COMPATIBILITY SameMinorVersion)
install(FILES ${CMAKE_BINARY_DIR}/cassiakeel-config.cmake
              ${CMAKE_BINARY_DIR}/cassiakeel-config-version.cmake
              cmake/Dependencies.cmake
        DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/cassiakeel)
