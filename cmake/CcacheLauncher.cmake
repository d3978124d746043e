# Shares compiler output between checkouts: paths below the source folder are
# hashed as relative ones.
find_program(CCACHE_PROGRAM ccache)
if(CCACHE_PROGRAM)
  set(CMAKE_CXX_COMPILER_LAUNCHER
      ${CMAKE_COMMAND} -E env CCACHE_BASEDIR=${CMAKE_SOURCE_DIR}
      CCACHE_NOHASHDIR=1 ${CCACHE_PROGRAM})
endif()
