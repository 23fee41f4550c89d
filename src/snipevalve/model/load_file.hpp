#ifndef SNIPEVALVE_MODEL_LOAD_FILE_HPP
#define SNIPEVALVE_MODEL_LOAD_FILE_HPP

#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "snipevalve/model/load.hpp"

namespace snipevalve::model {

/// @brief Reads the loads of a TOML file; see examples/experiments/ for the fields.
/// @param path the file
/// @return the loads, or InvalidArgument with every error found
absl::StatusOr<std::vector<Load>> readLoads(const std::string &path);

} // namespace snipevalve::model

#endif // SNIPEVALVE_MODEL_LOAD_FILE_HPP
