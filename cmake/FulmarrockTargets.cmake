# Helper commands for the layout of the source tree: one folder per layer or
# program, whose sources are found by a glob.

add_library(fulmarrock_options INTERFACE)
target_include_directories(fulmarrock_options INTERFACE ${PROJECT_SOURCE_DIR})
target_compile_options(fulmarrock_options INTERFACE -Wall -Wextra -Wshadow)
if(FULMARROCK_WERROR)
  target_compile_options(fulmarrock_options INTERFACE -Werror)
endif()
if(FULMARROCK_SANITIZER)
  target_compile_options(fulmarrock_options INTERFACE
    -fsanitize=${FULMARROCK_SANITIZER} -fno-omit-frame-pointer -fno-sanitize-recover=all
    # g++ 12 reports members of std::function as uninitialized under sanitizers.
    -Wno-maybe-uninitialized -O1)
  target_link_options(fulmarrock_options INTERFACE -fsanitize=${FULMARROCK_SANITIZER})
endif()
target_link_libraries(fulmarrock_options INTERFACE Threads::Threads)

# easylogging++ ships as a source file. It is built once with warnings off,
# because it does not compile under -Werror.
add_library(easyloggingpp STATIC /usr/include/easylogging++.cc)
target_compile_definitions(easyloggingpp PUBLIC ELPP_THREAD_SAFE ELPP_NO_DEFAULT_LOG_FILE)
target_compile_options(easyloggingpp PRIVATE -w)
target_link_libraries(easyloggingpp PUBLIC Threads::Threads)

# Adds the static library of one layer, or an interface library if its folder
# has no sources. The sources are in source/NAME unless FOLDER is given. Each file
# *_main.cc becomes a program of its own.
function(fulmarrock_add_layer name)
  cmake_parse_arguments(ARG "" "FOLDER" "DEPENDS;LIBRARIES" ${ARGN})
  if(NOT ARG_FOLDER)
    set(ARG_FOLDER source/${name})
  endif()
  file(GLOB sources CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/${ARG_FOLDER}/*.cc)
  list(FILTER sources EXCLUDE REGEX "_main\\.cc$")
  set(scope PUBLIC)
  if(sources)
    add_library(fulmarrock_${name} STATIC ${sources})
  else()
    add_library(fulmarrock_${name} INTERFACE)
    set(scope INTERFACE)
  endif()
  target_link_libraries(fulmarrock_${name} ${scope} fulmarrock_options)
  foreach(dependency IN LISTS ARG_DEPENDS)
    target_link_libraries(fulmarrock_${name} ${scope} fulmarrock_${dependency})
  endforeach()
  target_link_libraries(fulmarrock_${name} ${scope} ${ARG_LIBRARIES})
  file(GLOB mains CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/${ARG_FOLDER}/*_main.cc)
  foreach(main IN LISTS mains)
    get_filename_component(program ${main} NAME_WE)
    string(REPLACE "_main" "" program ${program})
    string(REPLACE "_" "-" program ${program})
    add_executable(${program} ${main})
    target_link_libraries(${program} PRIVATE fulmarrock_${name} boost_program_options)
  endforeach()
endfunction()

# Adds a program from all sources in source/FOLDER; does nothing without sources.
function(fulmarrock_add_program name folder)
  cmake_parse_arguments(ARG "" "" "DEPENDS;LIBRARIES" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/source/${folder}/*.cc)
  if(NOT sources)
    return()
  endif()
  add_executable(${name} ${sources})
  target_link_libraries(${name} PRIVATE fulmarrock_options)
  foreach(dependency IN LISTS ARG_DEPENDS)
    target_link_libraries(${name} PRIVATE fulmarrock_${dependency})
  endforeach()
  target_link_libraries(${name} PRIVATE ${ARG_LIBRARIES})
endfunction()
