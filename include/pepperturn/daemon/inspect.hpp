// SPDX-License-Identifier: BSL-1.0
/// \file
/// What operators see of a VM's tables, as JSON texts.
#pragma once

#include "pepperturn/core/tables.hpp"

namespace pepperturn {

/// \param verb  programs, runners, vms, partitions, calls or explain
/// \return a JSON array; empty array for an unknown verb
[[nodiscard]] std::string inspect(const core_state& state,
                                  const std::string& verb,
                                  const std::string& argument);

/// Joins the arrays of several VMs into one.
[[nodiscard]] std::string join_arrays(const std::vector<std::string>& parts);

} // namespace pepperturn
