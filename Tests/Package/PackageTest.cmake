cmake_minimum_required(VERSION 3.25)

# Installs the built tree into WORK_FOLDER, then configures, builds and runs Embedding/ against the installation.
function(run)
  execute_process(COMMAND ${ARGV} RESULT_VARIABLE status OUTPUT_VARIABLE output ERROR_VARIABLE output)
  if(NOT status EQUAL 0)
    string(JOIN " " command ${ARGV})
    message(FATAL_ERROR "package: \"${command}\" failed with ${status}:\n${output}")
  endif()
  set(output "${output}" PARENT_SCOPE)
endfunction()

set(prefix ${WORK_FOLDER}/prefix)
file(REMOVE_RECURSE ${WORK_FOLDER})
run(${CMAKE_COMMAND} --install ${BUILD_FOLDER} --prefix ${prefix})

file(GLOB_RECURSE package_files ${prefix}/*.cmake)
if(NOT package_files)
  message(FATAL_ERROR "package: no CMake package file was installed below ${prefix}")
endif()
foreach(package_file ${package_files})
  file(READ ${package_file} content)
  # The build folder may lie outside the source folder.
  foreach(folder ${SOURCE_FOLDER} ${BUILD_FOLDER})
    string(FIND "${content}" "${folder}" position)
    if(NOT position EQUAL -1)
      message(FATAL_ERROR "package: ${package_file} contains the path ${folder}, which does not exist where the package is used")
    endif()
  endforeach()
endforeach()

file(GLOB_RECURSE headers RELATIVE ${SOURCE_FOLDER}/Source ${SOURCE_FOLDER}/Source/*.h)
foreach(header ${headers})
  if(NOT EXISTS ${prefix}/include/hickorypick/${header})
    message(FATAL_ERROR "package: the header ${header} was not installed")
  endif()
endforeach()

file(GLOB programs RELATIVE ${prefix}/bin ${prefix}/bin/*)
foreach(program hickoryd hickoryctl hickory-timeline hickory-audit)
  if(NOT program IN_LIST programs)
    message(FATAL_ERROR "package: ${program} was not installed")
  endif()
endforeach()

run(${CMAKE_COMMAND} -S ${EMBEDDING_SOURCE} -B ${WORK_FOLDER}/build -G ${GENERATOR}
  -DCMAKE_PREFIX_PATH=${prefix} -DCMAKE_CXX_COMPILER=${CXX_COMPILER} "-DCMAKE_CXX_FLAGS=${CXX_FLAGS}"
  "-DCMAKE_EXE_LINKER_FLAGS=${LINKER_FLAGS}")
run(${CMAKE_COMMAND} --build ${WORK_FOLDER}/build)
run(${WORK_FOLDER}/build/embedding)
if(NOT output STREQUAL "albany-port north-1\n")
  message(FATAL_ERROR "package: the embedding program printed \"${output}\"")
endif()
