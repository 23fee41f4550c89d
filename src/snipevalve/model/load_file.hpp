#ifndef SNIPEVALVE_MODEL_LOAD_FILE_HPP
#define SNIPEVALVE_MODEL_LOAD_FILE_HPP

#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "snipevalve/model/load.hpp"

namespace snipevalve::model {

/// @brief Reads the loads of a TOML file; examples/experiments/ shows the fields.
/// @return InvalidArgument with every finding
absl::StatusOr<std::vector<Load>> readLoads(const std::string &path);

} // namespace snipevalve::model

#endif // SNIPEVALVE_MODEL_LOAD_FILE_HPP
